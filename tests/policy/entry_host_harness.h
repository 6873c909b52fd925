#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace lovagecleat::policy {

// Runs the core of one entry host against a fake table that answers at once.
// The test acts as the backend servers.
class EntryHostHarness {
 public:
  struct Options {
    std::uint32_t servers = 2;
    std::uint32_t limit = 4;  // both cold and warm
    std::string own_zone_state = "in";
    PlacementKind placement = PlacementKind::kExpectedFinish;
  };

  explicit EntryHostHarness(const Options& options);

  // Passes the event and the table answers that result from it to the core.
  void Send(const Event& event);
  void Advance(Duration step);

  CallId SubmitRequest(const char* request_class, const char* key = "",
                       std::optional<Duration> deadline = std::nullopt,
                       Delivery delivery = Delivery::kSingleResponse);
  void Finish(const StartBackendCall& call, AttemptOutcome outcome,
              std::string output = "{}");
  void Deliver(const messages::PeerMessage& message);

  // Returns and removes the pending commands of type `Kind`.
  template <typename Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> taken;
    std::vector<Command> others;
    for (Command& command : commands_) {
      if (auto* one = std::get_if<Kind>(&command)) {
        taken.push_back(std::move(*one));
      } else {
        others.push_back(std::move(command));
      }
    }
    commands_ = std::move(others);
    return taken;
  }

  void SetTableOutcome(TableOutcome outcome) { table_outcome_ = outcome; }
  // Drops the responses to the next `count` table operations, which take
  // effect.
  void DropResponses(int count) { responses_to_drop_ = count; }
  TimePoint now() const { return clock_.Now(); }

 private:
  void Run(const Event& event);
  void Answer(const ReadTable& read);
  void Answer(const WriteTable& write);
  void Reply(TableAnswered answer);

  ManualClock clock_;
  std::map<std::string, TableRow> rows_;
  TableOutcome table_outcome_ = TableOutcome::kOk;
  int responses_to_drop_ = 0;
  std::vector<Event> pending_events_;
  std::vector<Command> commands_;
  std::optional<Core> core_;
  std::uint64_t last_call_ = 0;
};

}  // namespace lovagecleat::policy
