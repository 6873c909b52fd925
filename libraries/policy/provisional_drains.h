#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "policy/change_request.h"
#include "policy/commands.h"

namespace lovagecleat::policy {

// Holds the drains that were submitted while the table could not be written. A
// held drain is pending, never accepted. A configuration of a higher revision
// removes it, since that configuration either contains or supersedes the drain.
class ProvisionalDrains {
 public:
  static constexpr std::size_t kMaximumDrains = 16;

  enum class HoldResult { kHeld, kAlreadyHeld, kRefused };

  // Returns kRefused if the change is not a drain, is superseded by the current
  // revision or does not apply to it, or if kMaximumDrains are held already.
  HoldResult Hold(const ChangeRequest& drain);
  void Drop(const std::string& change_id);

  // Applies a configuration that came into force, and returns the drains that
  // it removed.
  std::vector<ChangeRequest> ObserveConfiguration(
      const configuration::Configuration& configuration);

  bool IsZoneOut(const ZoneId& zone) const;
  bool IsServerOut(const ServerId& server) const;
  const ChangeRequest* Find(const std::string& change_id) const;
  const std::vector<ChangeRequest>& drains() const { return drains_; }
  const configuration::Configuration& current() const { return current_; }

  messages::PeerMessage ToMessage() const;

 private:
  configuration::Configuration current_;
  std::vector<ChangeRequest> drains_;
};

// Returns nullopt if the message does not carry a well-formed drain.
std::optional<ChangeRequest> ReadDrain(
    const messages::ProvisionalDrain& message);

}  // namespace lovagecleat::policy
