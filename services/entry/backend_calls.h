#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "policy/policy.h"
#include "transport/transport.h"

namespace lovagecleat::entry {

// Makes calls to backend servers (docs/PROTOCOLS.md) and reports their tokens
// and outcomes as events.
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
    std::string final_output;  // data of a stream's "done" event
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

// Returns the outcome of the attempt that got `response`.
policy::AttemptOutcome OutcomeOf(const transport::HttpResponse& response);

// Reads the server's state from the headers of its response; nullopt without a
// valid generation.
std::optional<policy::ServerReport> ReadReportHeaders(
    const transport::HttpResponse& response);

// Reads the body of a load report; nullopt if a field is missing or invalid.
std::optional<policy::ServerReport> ReadLoadReport(std::string_view body);

}  // namespace lovagecleat::entry
