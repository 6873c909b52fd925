#include "transport/http_routes.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::transport {

bool HttpRoutes::Entry::Matches(std::string_view other) const {
  if (match == Match::kExact) return other == path;
  return other.starts_with(path);
}

void HttpRoutes::Add(std::string_view method, std::string_view path,
                     HttpServer::Handler handler) {
  Entry entry;
  entry.method = method;
  entry.handler = std::move(handler);
  if (path.ends_with('*')) {
    entry.match = Match::kPrefix;
    path.remove_suffix(1);
  }
  entry.path = path;
  entries_.push_back(std::move(entry));
}

const HttpServer::Handler* HttpRoutes::Find(std::string_view method,
                                            std::string_view path) const {
  for (const Entry& entry : entries_)
    if (entry.method == method && entry.Matches(path)) return &entry.handler;
  return nullptr;
}

bool HttpRoutes::HasPath(std::string_view path) const {
  const auto matches = [path](const Entry& e) { return e.Matches(path); };
  return std::any_of(entries_.begin(), entries_.end(), matches);
}

}  // namespace lovagecleat::transport
