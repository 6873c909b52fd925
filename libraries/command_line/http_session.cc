#include "command_line/http_session.h"

#include <utility>

namespace lovagecleat::command_line {

HttpSession::HttpSession() : loop_(clock_), client_(loop_) {}

HttpSession::~HttpSession() = default;

transport::HttpResponse HttpSession::Call(
    transport::HttpRequest request,
    transport::HttpClient::EventCallback on_event) {
  transport::HttpResponse result;
  const auto on_finished = [&](const transport::HttpResponse& response) {
    result = response;
    loop_.Quit();
  };
  client_.Start(std::move(request), on_finished, std::move(on_event));
  loop_.Run();
  return result;
}

}  // namespace lovagecleat::command_line
