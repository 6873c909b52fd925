#pragma once

#include <functional>
#include <map>
#include <memory>

#include "policy/policy.h"
#include "transport/transport.h"

namespace lovagecleat::entry {

// Converts operators' HTTP calls to events, and responds to them.
class OperatorApi {
 public:
  using EventSink = std::function<void(const policy::Event&)>;

  OperatorApi(transport::HttpServer& server, EventSink sink);

  void Respond(const policy::RespondToOperator& response);

 private:
  using HttpCall = std::shared_ptr<transport::HttpServerCall>;

  void RouteQuery(transport::HttpServer& server, std::string_view path,
                  policy::OperatorQueryKind kind, std::string_view parameter);
  void HandleChange(HttpCall http);
  CallId RegisterCall(HttpCall http);

  EventSink sink_;
  std::uint64_t last_call_ = 0;
  std::map<CallId, HttpCall> calls_;
};

}  // namespace lovagecleat::entry
