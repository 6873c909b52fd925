#pragma once

#include <memory>

#include "base/base.h"
#include "transport/transport.h"

namespace lovagecleat::command_line {

// HTTP calls one after the other, each waited for.
class HttpSession {
 public:
  HttpSession();
  ~HttpSession();

  transport::HttpResponse Call(
      transport::HttpRequest request,
      transport::HttpClient::EventCallback on_event = nullptr);

  TimePoint Now() const { return clock_.Now(); }

 private:
  SystemClock clock_;
  transport::Loop loop_;
  transport::HttpClient client_;
};

}  // namespace lovagecleat::command_line
