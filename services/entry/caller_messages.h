#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "policy/policy.h"

// The JSON of requests and responses of callers (docs/PROTOCOLS.md).
namespace lovagecleat::entry {

// The reason for refusing a caller's request.
struct RequestProblem {
  policy::RefusalReason reason = policy::RefusalReason::kMalformed;
  std::string detail;
};

class CallerRequestReader {
 public:
  // Returns nullopt and sets last_problem() if the body is invalid. The caller
  // fills in the call id and the fields from HTTP headers.
  std::optional<policy::CallerRequestArrived> Read(std::string_view body);

  const RequestProblem& last_problem() const { return last_problem_; }

 private:
  RequestProblem last_problem_;
};

// Returns true for 1 to 128 printable ASCII characters.
bool IsValidIdempotencyKey(std::string_view key);

// An HTTP error response.
struct ProblemDocument {
  int status = 500;
  std::string body;  // application/problem+json
  std::map<std::string, std::string> headers;
};

// Returns the data of a token event: {"text": ...}.
std::string FormatToken(std::string_view text);

std::string FormatAnswer(const policy::DeliverAnswer& answer);
ProblemDocument FormatProblem(const policy::DeliverRefusal& refusal);

// Returns the HTTP status for a refusal.
int StatusOf(policy::RefusalReason reason);

}  // namespace lovagecleat::entry
