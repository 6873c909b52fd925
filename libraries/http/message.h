#pragma once

#include <cstdint>
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

// Compares field names without regard to case.
bool EqualNames(std::string_view left, std::string_view right);

// Returns the value of the first field with this name.
std::optional<std::string_view> FindField(const HeaderFields& fields,
                                          std::string_view name);
std::size_t CountFields(const HeaderFields& fields, std::string_view name);

// Returns the fields without the hop-by-hop fields: the fixed ones and those
// that the Connection field names.
HeaderFields WithoutConnectionFields(const HeaderFields& fields);

// Returns whether any occurrence of a comma-separated field contains `token`.
bool HasToken(const HeaderFields& fields, std::string_view name,
              std::string_view token);

// Returns the length that the fields announce, if any.
std::optional<std::uint64_t> ContentLength(const HeaderFields& fields);

// Returns whether the body of the response has neither a length nor chunks, so
// that it ends with its connection.
bool EndsWithConnection(const ResponseHead& head);

// Return the head including its empty line.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HeaderFields& fields);
std::string FormatResponseHead(int status, const HeaderFields& fields);

}  // namespace lovagecleat::http
