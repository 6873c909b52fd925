#include "policy/provisional_drains.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::policy {
namespace {

using configuration::Configuration;
using configuration::SetServerState;
using configuration::SetZoneState;

constexpr std::size_t kMaximumNameBytes = 256;

}  // namespace

ProvisionalDrains::HoldResult ProvisionalDrains::Hold(
    const ChangeRequest& drain) {
  if (Find(drain.change_id) != nullptr) return HoldResult::kAlreadyHeld;
  if (!IsDrain(drain.change) || drains_.size() >= kMaximumDrains ||
      drain.expected_revision < current_.revision) {
    return HoldResult::kRefused;
  }
  configuration::ChangeApplier applier;
  if (!applier.Apply(current_, drain.change)) return HoldResult::kRefused;
  drains_.push_back(drain);
  return HoldResult::kHeld;
}

void ProvisionalDrains::Drop(const std::string& change_id) {
  std::erase_if(drains_, [&](const ChangeRequest& drain) {
    return drain.change_id == change_id;
  });
}

std::vector<ChangeRequest> ProvisionalDrains::ObserveConfiguration(
    const Configuration& configuration) {
  if (configuration.revision <= current_.revision) return {};
  current_ = configuration;
  const auto removed = std::stable_partition(
      drains_.begin(), drains_.end(), [&](const ChangeRequest& drain) {
        return drain.expected_revision >= current_.revision;
      });
  std::vector<ChangeRequest> result(removed, drains_.end());
  drains_.erase(removed, drains_.end());
  return result;
}

bool ProvisionalDrains::IsZoneOut(const ZoneId& zone) const {
  return std::any_of(
      drains_.begin(), drains_.end(), [&](const ChangeRequest& drain) {
        const auto* change = std::get_if<SetZoneState>(&drain.change);
        return change != nullptr && change->zone == zone;
      });
}

bool ProvisionalDrains::IsServerOut(const ServerId& server) const {
  return std::any_of(
      drains_.begin(), drains_.end(), [&](const ChangeRequest& drain) {
        const auto* change = std::get_if<SetServerState>(&drain.change);
        return change != nullptr && change->server == server;
      });
}

const ChangeRequest* ProvisionalDrains::Find(
    const std::string& change_id) const {
  const auto found = std::find_if(
      drains_.begin(), drains_.end(),
      [&](const ChangeRequest& drain) { return drain.change_id == change_id; });
  return found == drains_.end() ? nullptr : &*found;
}

messages::PeerMessage ProvisionalDrains::ToMessage() const {
  messages::PeerMessage message;
  for (const ChangeRequest& drain : drains_) {
    messages::ProvisionalDrain* item =
        message.mutable_provisional_drains()->add_drains();
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        drain.submitted_at.time_since_epoch());
    item->set_change_id(drain.change_id);
    item->set_who(drain.operator_name);
    item->set_expected_revision(drain.expected_revision);
    item->set_change(configuration::WriteChange(drain.change));
    item->set_origin(drain.host.value());
    item->set_submitted_unix_ms(at.count());
  }
  return message;
}

std::optional<ChangeRequest> ReadDrain(
    const messages::ProvisionalDrain& message) {
  if (message.change_id().empty() ||
      message.change_id().size() > kMaximumNameBytes ||
      message.who().size() > kMaximumNameBytes) {
    return std::nullopt;
  }
  configuration::ChangeReader reader;
  std::optional<configuration::Change> change = reader.Read(message.change());
  if (!change || !IsDrain(*change)) return std::nullopt;
  return ChangeRequest{
      message.change_id(),
      message.who(),
      message.expected_revision(),
      std::move(*change),
      WallTime(std::chrono::milliseconds(message.submitted_unix_ms())),
      HostId(message.origin())};
}

}  // namespace lovagecleat::policy
