#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "policy/policy.h"

// The JSON that callers send and get (docs/PROTOCOLS.md).
namespace lovagecleat::entry {

// What is wrong with a caller's request.
struct RequestProblem {
  policy::RefusalReason reason = policy::RefusalReason::kMalformed;
  std::string detail;
};

// Reads the body of a caller's request.
class CallerRequestReader {
 public:
  // The headers and the call are filled in by whoever has them.
  std::optional<policy::CallerRequestArrived> Read(std::string_view body);

  const RequestProblem& last_problem() const { return last_problem_; }

 private:
  RequestProblem last_problem_;
};

// True for 1 to 128 printable ASCII characters.
bool IsValidIdempotencyKey(std::string_view key);

// An HTTP answer that refuses, with its headers.
struct ProblemDocument {
  int status = 500;
  std::string body;  // application/problem+json
  std::map<std::string, std::string> headers;
};

// The data of a token event: {"text": ...}.
std::string FormatToken(std::string_view text);

std::string FormatAnswer(const policy::DeliverAnswer& answer);
ProblemDocument FormatProblem(const policy::DeliverRefusal& refusal);

// The HTTP status that stands for a reason.
int StatusOf(policy::RefusalReason reason);

}  // namespace lovagecleat::entry
