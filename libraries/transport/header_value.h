#pragma once

#include <string>
#include <string_view>

namespace lovagecleat::transport {

// Returns `text` with each control character replaced by a space, for use as
// the value of a header field.
std::string SanitizeHeaderValue(std::string_view text);

}  // namespace lovagecleat::transport
