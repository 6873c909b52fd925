#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "transport/http_server.h"

namespace lovagecleat::transport {

// Maps method and path to a handler; the first matching route is used.
class HttpRoutes {
 public:
  // A path that ends in '*' matches every path with that prefix.
  void Add(std::string_view method, std::string_view path,
           HttpServer::Handler handler);

  const HttpServer::Handler* Find(std::string_view method,
                                  std::string_view path) const;
  // Returns whether a route of any method matches the path.
  bool HasPath(std::string_view path) const;

 private:
  enum class Match { kExact, kPrefix };

  struct Entry {
    std::string method;
    std::string path;  // without the '*'
    Match match = Match::kExact;
    HttpServer::Handler handler;

    bool Matches(std::string_view other) const;
  };

  std::vector<Entry> entries_;
};

}  // namespace lovagecleat::transport
