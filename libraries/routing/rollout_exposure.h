#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/base.h"
#include "routing/rollout_order.h"

namespace lovagecleat::routing {

// Whether this host has a part of the slack. One that started after the order
// has none, since its earlier process may have used it.
enum class SlackUse { kNone, kOwnPart };

// Keeps the requests that all hosts together send to a version on trial within
// RolloutBounds. Every host keeps its own within its share of the requests that
// it has seen and its part of the slack, without messages.
class RolloutExposure {
 public:
  explicit RolloutExposure(const RolloutBounds& bounds) : bounds_(bounds) {}

  void SetSlackUse(SlackUse slack_use) { slack_use_ = slack_use; }

  // Sets the known hosts, this one included. The slack is split in whole
  // requests, by rendezvous hashing with `seed`. This host's part does not grow
  // when others leave: they may have used theirs.
  void SetHosts(const HostId& self, std::span<const HostId> hosts,
                std::uint64_t seed);

  // Counts requests for the service.
  void CountRequests(std::uint64_t count) { requests_ += count; }
  // Counts requests that were sent to the version on trial.
  void CountNew(std::uint64_t count) { sent_new_ += count; }

  // Returns how many more may be sent.
  std::uint64_t Remaining() const;

  std::uint64_t requests() const { return requests_; }
  std::uint64_t sent_new() const { return sent_new_; }

 private:
  RolloutBounds bounds_;
  SlackUse slack_use_ = SlackUse::kNone;
  std::optional<std::uint64_t> own_slack_;
  std::uint64_t requests_ = 0;
  std::uint64_t sent_new_ = 0;
};

}  // namespace lovagecleat::routing
