#pragma once

#include <string>
#include <string_view>

namespace lovagecleat::transport {

// `text` with a space for each control character, as a header field's value.
std::string HeaderValue(std::string_view text);

}  // namespace lovagecleat::transport
