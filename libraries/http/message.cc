#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace lovagecleat::http {

namespace {

// Statuses of responses without a body.
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::array<std::string_view, 8> kHopByHopFields = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Proxy-Authenticate"};

char ToLower(char character) {
  return character >= 'A' && character <= 'Z'
             ? static_cast<char>(character + 32)
             : character;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

template <typename Visitor>
void ForEachToken(std::string_view list, Visitor visitor) {
  while (true) {
    const std::size_t comma = list.find(',');
    const std::string_view token = Trim(list.substr(0, comma));
    if (!token.empty()) visitor(token);
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

void AppendFields(std::string& text, const HeaderFields& fields) {
  for (const HeaderField& field : fields)
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  text.append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace

bool EqualNames(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

std::optional<std::string_view> FindField(const HeaderFields& fields,
                                          std::string_view name) {
  for (const HeaderField& field : fields)
    if (EqualNames(field.name, name)) return field.value;
  return std::nullopt;
}

std::size_t CountFields(const HeaderFields& fields, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [name](const auto& field) { return EqualNames(field.name, name); }));
}

bool HasToken(const HeaderFields& fields, std::string_view name,
              std::string_view token) {
  bool found = false;
  for (const HeaderField& field : fields) {
    if (!EqualNames(field.name, name)) continue;
    ForEachToken(field.value, [&](std::string_view part) {
      found = found || EqualNames(part, token);
    });
  }
  return found;
}

HeaderFields WithoutConnectionFields(const HeaderFields& fields) {
  std::vector<std::string_view> connection_options;
  for (const HeaderField& field : fields) {
    if (!EqualNames(field.name, "Connection")) continue;
    ForEachToken(field.value, [&](std::string_view token) {
      connection_options.push_back(token);
    });
  }
  HeaderFields kept;
  for (const HeaderField& field : fields) {
    const auto is_same = [&field](std::string_view name) {
      return EqualNames(name, field.name);
    };
    if (std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), is_same))
      continue;
    if (std::any_of(connection_options.begin(), connection_options.end(),
                    is_same))
      continue;
    kept.push_back(field);
  }
  return kept;
}

std::optional<std::uint64_t> ContentLength(const HeaderFields& fields) {
  const auto field = FindField(fields, "Content-Length");
  if (!field) return std::nullopt;
  std::uint64_t length = 0;
  const char* end = field->data() + field->size();
  const auto [stop, error] = std::from_chars(field->data(), end, length);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return length;
}

bool EndsWithConnection(const ResponseHead& head) {
  return head.status != kNoContent && head.status != kNotModified &&
         !FindField(head.fields, "Content-Length") &&
         !HasToken(head.fields, "Transfer-Encoding", "chunked");
}

std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HeaderFields& fields) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(text, fields);
  return text;
}

std::string FormatResponseHead(int status, const HeaderFields& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(ReasonPhrase(status)).append("\r\n");
  AppendFields(text, fields);
  return text;
}

}  // namespace lovagecleat::http
