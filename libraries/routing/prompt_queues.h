#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// One process of a server, as hosts name it to each other.
struct ServerStart {
  ServerId id;
  std::uint64_t started_unix_ms = 0;

  friend bool operator==(const ServerStart&, const ServerStart&) = default;
  friend bool operator<(const ServerStart& a, const ServerStart& b) {
    return std::tie(a.id, a.started_unix_ms) <
           std::tie(b.id, b.started_unix_ms);
  }
};

// Prompt tokens that a server has yet to read.
struct PromptQueue {
  ServerStart server;
  std::uint64_t tokens = 0;

  friend bool operator==(const PromptQueue&, const PromptQueue&) = default;
};

// What waits at the servers for which this host adds up the prompts of all
// hosts, and when the others need to hear of it. A queue shrinks by itself, so
// they are told only where it differs from what they expect.
class PromptQueueSums {
 public:
  // Differences in tokens that are told.
  static constexpr std::uint64_t kToldTokens = 3000;
  // Least time between two calls of TakeDue that return something for a server.
  static constexpr Duration kTellPeriod = std::chrono::milliseconds(100);
  // A host that has repeated nothing for this long is not counted any more.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(2500);
  // Bounds on what other hosts may make this one keep.
  static constexpr std::size_t kMaximumServers = 4096;
  static constexpr std::size_t kMaximumHosts = 1024;  // of one server
  static constexpr std::uint64_t kMaximumTokens = 100'000'000;

  // `tokens` of the host's requests wait at the server; replaces what it said
  // before.
  void Report(const std::string& host, const ServerStart& server,
              std::uint64_t tokens, TimePoint now);

  // Returns the sums that all hosts have to be told now.
  std::vector<PromptQueue> TakeDue(TimePoint now);
  // Returns when TakeDue should be called next, or nothing without queues.
  std::optional<TimePoint> NextDue() const;

  std::uint64_t TokensAt(const ServerStart& server) const;
  std::size_t server_count() const { return servers_.size(); }

 private:
  struct Reported {
    std::uint64_t tokens = 0;
    TimePoint at;
  };
  struct Server {
    std::map<std::string, Reported> hosts;
    std::uint64_t sum = 0;
    std::uint64_t told = 0;
    TimePoint told_at{};
  };

  static void RemoveExpired(Server& server, TimePoint now);
  void RemoveIdle(TimePoint now);

  std::map<ServerStart, Server> servers_;
};

// The prompts that wait at servers: those of this host as they change, and the
// sums over all hosts that others told.
class PromptQueues {
 public:
  // Forgets what was told this long ago.
  static constexpr Duration kToldLifetime = std::chrono::milliseconds(2500);

  // `on_change` is called when TakeChanged has something to return.
  void SetObserver(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }
  // The tokens of this host's requests at a server have changed.
  void OnOwnChange(const ServerId& server);
  std::set<ServerId> TakeChanged();

  void OnTold(const PromptQueue& queue, TimePoint now);
  void RemoveExpired(TimePoint now);

  // Returns how many tokens of all hosts the server has yet to read by now; 0
  // if nothing was told.
  std::uint64_t TokensAt(const ServerEntry& server, TimePoint now) const;

 private:
  struct Told {
    std::uint64_t started_unix_ms = 0;
    std::uint64_t tokens = 0;
    TimePoint at;
  };

  std::function<void()> on_change_;
  std::set<ServerId> changed_;
  std::map<ServerId, Told> told_;
};

// The queues at one moment, for a request whose response should begin within
// `time_left`. Without queues every server has none.
class PromptQueueView {
 public:
  PromptQueueView() = default;
  PromptQueueView(const PromptQueues& queues, TimePoint now, Duration time_left)
      : queues_(&queues), now_(now), time_left_(time_left) {}

  std::uint64_t TokensAt(const ServerEntry& server) const {
    return queues_ == nullptr ? 0 : queues_->TokensAt(server, now_);
  }
  Duration time_left() const { return time_left_; }

 private:
  const PromptQueues* queues_ = nullptr;
  TimePoint now_{};
  Duration time_left_{};
};

}  // namespace lovagecleat::routing
