#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "transport/http_server.h"

namespace lovagecleat::transport {

// Which handler takes a call; the first that fits.
class HttpRoutes {
 public:
  // A path that ends in '*' takes all that start so.
  void Add(std::string_view method, std::string_view path,
           HttpServer::Handler handler);

  const HttpServer::Handler* Find(std::string_view method,
                                  std::string_view path) const;
  // Whether any method has this path.
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
