#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::http {

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

using HeaderFields = std::vector<HeaderField>;

struct RequestHead {
  std::string method;
  std::string target;
  int minor_version = 1;  // of HTTP/1
  HeaderFields fields;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  HeaderFields fields;
};

// Field names are compared without regard to case.
bool EqualNames(std::string_view left, std::string_view right);

// The first field of that name.
std::optional<std::string_view> FindField(const HeaderFields& fields,
                                          std::string_view name);
std::size_t CountFields(const HeaderFields& fields, std::string_view name);

// Fields that concern one connection only: the fixed ones and those that
// Connection names.
HeaderFields WithoutConnectionFields(const HeaderFields& fields);

// Whether a comma-separated field, in any of its occurrences, has `token`.
bool HasToken(const HeaderFields& fields, std::string_view name,
              std::string_view token);

// The whole head as bytes, with the empty line.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HeaderFields& fields);
std::string FormatResponseHead(int status, const HeaderFields& fields);

}  // namespace lovagecleat::http
