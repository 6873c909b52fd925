#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "policy/policy.h"
#include "transport/transport.h"

namespace lovagecleat::entry {

// Carries out calls to backend servers (docs/PROTOCOLS.md) and reports their
// tokens and ends as events.
class BackendCalls {
 public:
  using EventSink = std::function<void(const policy::Event&)>;

  BackendCalls(transport::HttpClient& client, const Clock& clock,
               EventSink sink);

  void Start(const policy::StartBackendCall& command);
  void Cancel(AttemptId attempt);
  void PollLoad(const policy::PollLoad& command);

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    transport::HttpCallId http;
    std::string final_output;  // of an engine's "done" event
    bool has_final_output = false;
  };

  void HandleEvent(AttemptId attempt, const transport::ServerSentEvent& event);
  void HandleFinished(AttemptId attempt,
                      const transport::HttpResponse& response);

  transport::HttpClient& client_;
  const Clock& clock_;
  EventSink sink_;
  std::map<AttemptId, Call> calls_;
};

// How an HTTP answer counts as the end of an attempt.
policy::AttemptOutcome OutcomeOf(const transport::HttpResponse& response);

// What a backend server says of itself in its answer's headers.
std::optional<policy::ServerReport> ReportOf(
    const transport::HttpResponse& response);

// Reads a load report's body; nothing where it is not as it should be.
std::optional<policy::ServerReport> ReadLoadReport(std::string_view body);

}  // namespace lovagecleat::entry
