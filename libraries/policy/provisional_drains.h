#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "policy/change_request.h"
#include "policy/commands.h"

namespace lovagecleat::policy {

// The drains that hosts hold while the table cannot take them. A held drain is
// pending, never accepted; a configuration of a higher revision ends it, since
// it holds the drain or has overruled it.
class ProvisionalDrains {
 public:
  static constexpr std::size_t kMaximumDrains = 16;

  enum class HoldResult { kHeld, kAlreadyHeld, kRefused };

  // Refused: no drain, overruled already, unfit for the configuration in
  // force, or one too many.
  HoldResult Hold(const ChangeRequest& drain);
  void Drop(const std::string& change_id);

  // A configuration came into force; returns the drains that it ended.
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

// Nothing if the message does not carry a well-formed drain.
std::optional<ChangeRequest> ReadDrain(
    const messages::ProvisionalDrain& message);

}  // namespace lovagecleat::policy
