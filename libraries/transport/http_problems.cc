#include "transport/http_problems.h"

namespace lovagecleat::transport {

std::string ProblemBody(const BuiltInProblem& problem) {
  std::string body = R"({"type": "urn:lovagecleat:)";
  body.append(problem.type).append(R"(", "title": ")").append(problem.title);
  body.append(R"(", "status": )").append(std::to_string(problem.status));
  body.append(R"(, "outcome": "not_run"})");
  return body;
}

std::string ProblemResponse(const BuiltInProblem& problem) {
  const std::string body = ProblemBody(problem);
  std::string text = "HTTP/1.1 " + std::to_string(problem.status) + " ";
  text.append(problem.title)
      .append("\r\nContent-Type: ")
      .append(kProblemContentType);
  if (problem.status == kNoMemory.status)
    text.append("\r\nRetry-After: ").append(kRetryAfterSeconds);
  text.append("\r\nContent-Length: ").append(std::to_string(body.size()));
  text.append("\r\nConnection: close\r\n\r\n").append(body);
  return text;
}

}  // namespace lovagecleat::transport
