#include "command_line/files.h"

#include <fstream>
#include <vector>

namespace lovagecleat::command_line {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream.is_open()) return std::nullopt;
  // Reads one byte more than allowed, to detect a file over the limit.
  std::string text(kMaximumFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad()) return std::nullopt;
  const auto size = static_cast<std::size_t>(stream.gcount());
  if (size > kMaximumFileBytes) return std::nullopt;
  text.resize(size);
  return text;
}

}  // namespace lovagecleat::command_line
