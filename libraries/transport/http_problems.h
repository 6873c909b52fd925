#pragma once

#include <string>

namespace lovagecleat::transport {

// A problem response (RFC 9457) that the server sends without calling a
// handler, so nothing of the request has been executed.
struct BuiltInProblem {
  int status;
  const char* type;
  const char* title;
};

inline constexpr BuiltInProblem kNotFound{404, "not_found", "No such path"};
inline constexpr BuiltInProblem kMethodNotAllowed{
    405, "method_not_allowed", "The path has no such method"};
inline constexpr BuiltInProblem kBodyTooLarge{413, "body_too_large",
                                              "The body is too large"};
inline constexpr BuiltInProblem kHeadersTooLarge{
    431, "headers_too_large", "The header fields are too large"};
inline constexpr BuiltInProblem kTooManyCalls{503, "too_many_calls",
                                              "Too many calls are open"};

inline constexpr BuiltInProblem kNoMemory{503, "no_memory",
                                          "No memory for the request"};

// Value of Retry-After in seconds, for problems with status 503.
inline constexpr const char* kRetryAfterSeconds = "1";
inline constexpr const char* kProblemContentType = "application/problem+json";

// Returns the problem as a JSON document.
std::string ProblemBody(const BuiltInProblem& problem);

// Returns the complete HTTP response, with "Connection: close".
std::string ProblemResponse(const BuiltInProblem& problem);

}  // namespace lovagecleat::transport
