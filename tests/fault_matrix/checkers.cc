#include "tests/fault_matrix/checkers.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace lovagecleat::fault_matrix {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time of one message between hosts.
constexpr Duration kGenerationReportGrace = milliseconds(50);
constexpr Duration kDrainTimeLimit = seconds(4);
constexpr Duration kRevisionTimeLimit = seconds(9);
constexpr Duration kCompletionTimeLimit = seconds(9);

std::string TimeSuffix(TimePoint at) {
  return " at " + std::to_string(at.time_since_epoch().count() / 1000) + " ms";
}

std::string NameOf(CallId call) {
  return "call " + std::to_string(call.value());
}

// Tracks since when each host is undisturbed.
class Disturbances {
 public:
  void Observe(const TraceEvent& event) {
    if (const auto* disturbed = std::get_if<HostDisturbed>(&event.body))
      disturbed_.insert(disturbed->host);
    if (const auto* restored = std::get_if<HostRestored>(&event.body)) {
      disturbed_.erase(restored->host);
      restored_at_[restored->host] = event.at;
    }
  }
  bool IsUndisturbedSince(const HostId& host, TimePoint since) const {
    if (disturbed_.contains(host)) return false;
    const auto restored = restored_at_.find(host);
    return restored == restored_at_.end() || restored->second <= since;
  }

 private:
  std::set<HostId> disturbed_;
  std::map<HostId, TimePoint> restored_at_;
};

}  // namespace

Violations CheckAnswers(const Trace& trace) {
  Violations violations;
  std::map<CallId, std::string> markers;
  std::set<CallId> ended;
  const auto end = [&](CallId call, TimePoint at) {
    if (!ended.insert(call).second)
      violations.push_back(NameOf(call) + " ended twice" + TimeSuffix(at));
  };
  for (const TraceEvent& event : trace) {
    if (const auto* sent = std::get_if<RequestSent>(&event.body))
      markers[sent->call] = sent->marker;
    if (const auto* token = std::get_if<TokenDelivered>(&event.body)) {
      if (ended.contains(token->call))
        violations.push_back(NameOf(token->call) +
                             " received a token after its end");
    }
    if (const auto* refusal = std::get_if<RefusalDelivered>(&event.body))
      end(refusal->call, event.at);
    const auto* answer = std::get_if<AnswerDelivered>(&event.body);
    if (answer == nullptr) continue;
    end(answer->call, event.at);
    const std::string& marker = markers[answer->call];
    if (marker.empty() || answer->output.find(marker) == std::string::npos)
      violations.push_back(NameOf(answer->call) +
                           " received the answer of another request" +
                           TimeSuffix(event.at));
  }
  return violations;
}

Violations CheckLimits(const Trace& trace,
                       const std::vector<ServerFacts>& servers) {
  struct State {
    ServerFacts facts;
    bool is_warm = false;
    std::optional<TimePoint> cold_counted_from = TimePoint{};
    std::map<std::uint64_t, TimePoint> running;
  };
  std::map<ServerId, State> states;
  for (const ServerFacts& facts : servers) states[facts.id].facts = facts;
  Violations violations;
  for (const TraceEvent& event : trace) {
    if (const auto* cold = std::get_if<ServerTurnedCold>(&event.body)) {
      states[cold->server].is_warm = false;
      states[cold->server].cold_counted_from.reset();
    }
    if (const auto* warm = std::get_if<ServerTurnedWarm>(&event.body))
      states[warm->server].is_warm = true;
    if (const auto* report = std::get_if<GenerationReported>(&event.body)) {
      auto& from = states[report->server].cold_counted_from;
      if (!from) from = event.at + kGenerationReportGrace;
    }
    if (const auto* ended = std::get_if<ExecutionEnded>(&event.body))
      states[ended->server].running.erase(ended->execution);
    const auto* started = std::get_if<ExecutionStarted>(&event.body);
    if (started == nullptr) continue;
    State& state = states[started->server];
    state.running[started->execution] = event.at;
    const TimePoint from =
        state.is_warm ? TimePoint{}
                      : state.cold_counted_from.value_or(event.at + seconds(1));
    const auto counted = static_cast<std::uint32_t>(
        std::count_if(state.running.begin(), state.running.end(),
                      [&](const auto& entry) { return entry.second >= from; }));
    const std::uint32_t limit =
        state.is_warm ? state.facts.warm_limit : state.facts.cold_limit;
    if (counted > limit)
      violations.push_back(
          started->server.value() + " runs " + std::to_string(counted) +
          " calls at a limit of " + std::to_string(limit) +
          (state.is_warm ? " warm" : " cold") + TimeSuffix(event.at));
  }
  return violations;
}

Violations CheckDrains(const Trace& trace,
                       const std::vector<ServerFacts>& servers) {
  std::map<ServerId, ZoneId> zones;
  for (const ServerFacts& facts : servers) zones[facts.id] = facts.zone;
  std::map<ServerId, TimePoint> leaving;
  std::map<ZoneId, TimePoint> out;
  Disturbances disturbances;
  Violations violations;
  for (const TraceEvent& event : trace) {
    disturbances.Observe(event);
    if (const auto* leaves = std::get_if<ServerLeaves>(&event.body))
      leaving.emplace(leaves->server, event.at);
    if (const auto* returns = std::get_if<ServerReturns>(&event.body))
      leaving.erase(returns->server);
    if (const auto* change = std::get_if<ChangeAccepted>(&event.body)) {
      if (!change->zone_out.empty()) out.emplace(change->zone_out, event.at);
    }
    const auto* started = std::get_if<ExecutionStarted>(&event.body);
    if (started == nullptr) continue;
    const auto check = [&](TimePoint since, const std::string& what) {
      const bool is_late = event.at >= since + kDrainTimeLimit;
      const TimePoint notified_at = event.at - kDrainTimeLimit;
      if (is_late &&
          disturbances.IsUndisturbedSince(started->host, notified_at))
        violations.push_back(started->host.value() + " sent work to " +
                             started->server.value() + ", " + what +
                             TimeSuffix(event.at));
    };
    const auto left = leaving.find(started->server);
    if (left != leaving.end()) check(left->second, "which is leaving");
    const auto zone = out.find(zones[started->server]);
    if (zone != out.end()) check(zone->second, "whose zone is out");
  }
  return violations;
}

Violations CheckNotRun(const Trace& trace) {
  std::map<CallId, std::string> markers;
  std::set<std::string> executed;
  std::set<std::string> reported_not_run;
  for (const TraceEvent& event : trace) {
    if (const auto* sent = std::get_if<RequestSent>(&event.body))
      markers[sent->call] = sent->marker;
    if (const auto* started = std::get_if<ExecutionStarted>(&event.body)) {
      if (started->repeatability == Repeatability::kNonIdempotent)
        executed.insert(started->marker);
    }
    if (const auto* refusal = std::get_if<RefusalDelivered>(&event.body)) {
      if (refusal->outcome == policy::RequestOutcome::kNotRun)
        reported_not_run.insert(markers[refusal->call]);
    }
  }
  Violations violations;
  for (const std::string& marker : reported_not_run) {
    if (executed.contains(marker))
      violations.push_back(marker + " was refused as not run but was executed");
  }
  return violations;
}

Violations CheckAtMostOnce(const Trace& trace) {
  std::map<std::string, int> executions;
  for (const TraceEvent& event : trace) {
    const auto* started = std::get_if<ExecutionStarted>(&event.body);
    if (started == nullptr) continue;
    if (started->repeatability == Repeatability::kNonIdempotent)
      ++executions[started->key];
  }
  Violations violations;
  for (const auto& [key, count] : executions) {
    if (key.empty())
      violations.emplace_back("a call without an idempotency key was executed");
    if (count > 1)
      violations.push_back(key + " was executed " + std::to_string(count) +
                           " times");
  }
  return violations;
}

Violations CheckStreams(const Trace& trace) {
  std::map<CallId, std::string> texts;
  std::map<CallId, std::uint64_t> next;
  Violations violations;
  for (const TraceEvent& event : trace) {
    if (const auto* token = std::get_if<TokenDelivered>(&event.body)) {
      if (token->offset != next[token->call]++)
        violations.push_back(NameOf(token->call) + " received offset " +
                             std::to_string(token->offset) +
                             TimeSuffix(event.at));
      texts[token->call] += token->text;
    }
    const auto* answer = std::get_if<AnswerDelivered>(&event.body);
    if (answer == nullptr || !texts.contains(answer->call)) continue;
    if (answer->output.find(texts[answer->call]) == std::string::npos)
      violations.push_back(NameOf(answer->call) +
                           " streamed a text that differs from its answer");
  }
  return violations;
}

Violations CheckGracefulStop(const Trace& trace) {
  std::map<CallId, HostId> waiting;
  std::map<HostId, std::set<CallId>> open_at_stop;
  Violations violations;
  const auto close = [&](CallId call) {
    const auto call_host = waiting.find(call);
    if (call_host == waiting.end()) return;
    open_at_stop[call_host->second].erase(call);
    waiting.erase(call_host);
  };
  for (const TraceEvent& event : trace) {
    if (const auto* sent = std::get_if<RequestSent>(&event.body))
      waiting[sent->call] = sent->host;
    if (const auto* answer = std::get_if<AnswerDelivered>(&event.body))
      close(answer->call);
    if (const auto* refusal = std::get_if<RefusalDelivered>(&event.body)) {
      const auto call_host = waiting.find(refusal->call);
      const bool was_open_at_stop =
          call_host != waiting.end() &&
          open_at_stop[call_host->second].contains(refusal->call);
      if (was_open_at_stop &&
          refusal->outcome == policy::RequestOutcome::kUnknown)
        violations.push_back(NameOf(refusal->call) +
                             " was aborted by the stop of its host");
      close(refusal->call);
    }
    if (const auto* died = std::get_if<HostDied>(&event.body))
      open_at_stop.erase(died->host);
    if (const auto* requested = std::get_if<HostStopRequested>(&event.body)) {
      for (const auto& [call, host] : waiting) {
        if (host == requested->host) open_at_stop[host].insert(call);
      }
    }
    if (const auto* stopped = std::get_if<HostStopped>(&event.body)) {
      for (const CallId call : open_at_stop[stopped->host])
        violations.push_back(NameOf(call) + " was open when its host stopped");
    }
  }
  return violations;
}

Violations CheckRevisions(const Trace& trace, TimePoint end) {
  std::map<HostId, std::uint64_t> in_force;
  std::set<HostId> alive;
  std::vector<std::pair<TimePoint, std::uint64_t>> due;
  Disturbances disturbances;
  Violations violations;
  const auto check_due = [&](TimePoint now) {
    while (!due.empty() && now >= due.front().first + kRevisionTimeLimit) {
      for (const HostId& host : alive) {
        const bool must_have_revision =
            disturbances.IsUndisturbedSince(host, due.front().first);
        if (must_have_revision && in_force[host] < due.front().second)
          violations.push_back(host.value() + " has not reached revision " +
                               std::to_string(due.front().second) +
                               TimeSuffix(now));
      }
      due.erase(due.begin());
    }
  };
  for (const TraceEvent& event : trace) {
    check_due(event.at);
    disturbances.Observe(event);
    if (const auto* started = std::get_if<HostStarted>(&event.body)) {
      alive.insert(started->host);
      in_force[started->host] = 0;
    }
    if (const auto* died = std::get_if<HostDied>(&event.body))
      alive.erase(died->host);
    if (const auto* stopped = std::get_if<HostStopped>(&event.body))
      alive.erase(stopped->host);
    if (const auto* change = std::get_if<ChangeAccepted>(&event.body))
      due.emplace_back(event.at, change->revision);
    const auto* revision = std::get_if<RevisionInForce>(&event.body);
    if (revision == nullptr) continue;
    if (revision->revision < in_force[revision->host])
      violations.push_back(revision->host.value() + " fell back to revision " +
                           std::to_string(revision->revision) +
                           TimeSuffix(event.at));
    in_force[revision->host] = revision->revision;
  }
  check_due(end);
  return violations;
}

Violations CheckCompletion(const Trace& trace, TimePoint end) {
  struct Open {
    HostId host;
    TimePoint at{};
  };
  std::map<CallId, Open> open;
  for (const TraceEvent& event : trace) {
    if (const auto* sent = std::get_if<RequestSent>(&event.body))
      open[sent->call] = {sent->host, event.at};
    if (const auto* answer = std::get_if<AnswerDelivered>(&event.body))
      open.erase(answer->call);
    if (const auto* refusal = std::get_if<RefusalDelivered>(&event.body))
      open.erase(refusal->call);
    const auto* died = std::get_if<HostDied>(&event.body);
    if (died == nullptr) continue;
    std::erase_if(open, [&](const auto& entry) {
      return entry.second.host == died->host;
    });
  }
  Violations violations;
  for (const auto& [call, entry] : open) {
    if (end >= entry.at + kCompletionTimeLimit)
      violations.push_back(NameOf(call) +
                           " received neither an answer nor a refusal");
  }
  return violations;
}

}  // namespace lovagecleat::fault_matrix
