#include "transport/header_value.h"

#include <algorithm>

namespace lovagecleat::transport {

// Values may come from callers. libsoup omits a field whose value contains a
// line break and logs a critical warning, so the server would not get the
// field.
std::string SanitizeHeaderValue(std::string_view text) {
  constexpr char first_printable = ' ';
  constexpr char delete_character = '\x7f';
  std::string value(text);
  const auto is_control = [](char character) {
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == delete_character;
  };
  std::replace_if(value.begin(), value.end(), is_control, ' ');
  return value;
}

}  // namespace lovagecleat::transport
