#pragma once

#include <memory>

#include "base/base.h"
#include "transport/transport.h"

namespace lovagecleat::command_line {

// Makes blocking HTTP calls, one at a time.
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
