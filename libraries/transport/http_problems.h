#pragma once

#include <string>

namespace lovagecleat::transport {

// The answers that the server gives by itself (RFC 9457). Nothing was run for
// any of them.
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

inline constexpr const char* kProblemType = "application/problem+json";

// The JSON document.
std::string ProblemBody(const BuiltInProblem& problem);

// The whole HTTP response, for a connection that is closed after it.
std::string ProblemResponse(const BuiltInProblem& problem);

}  // namespace lovagecleat::transport
