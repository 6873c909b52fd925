#include "tests/policy/credit_simulation.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace lovagecleat::policy {

namespace {
using std::chrono::milliseconds;
constexpr std::size_t kMaximumMessages = 200;
}  // namespace

CreditSimulation::CreditSimulation(const Options& options) : options_(options) {
  roster_row_.zone = ZoneId("zone");
  roster_row_.epoch = 1;
  roster_row_.origin = RosterOrigin::kAfterStart;
  for (std::size_t i = 0; i < options.hosts; ++i) {
    Host& host = hosts_.emplace_back();
    host.id = HostId("host-" + std::to_string(i));
    roster_row_.hosts.push_back(host.id);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Restart(i);
    ReadTable(i);
  }
}

void CreditSimulation::Restart(std::size_t index) {
  Host& host = hosts_[index];
  ++host.incarnation;
  host.frozen = false;
  host.received_epochs.clear();
  host.ledger = std::make_unique<CreditLedger>(host.id, options_.settings, now_,
                                               host.incarnation);
  host.ledger->SetServer(server_, options_.cold_limit, options_.warm_limit,
                         now_);
  // The server continues the calls that a crashed host has sent; calls that it
  // has not sent are lost.
  std::erase_if(calls_, [&](const Call& call) {
    return call.host == index && !call.sent;
  });
}

bool CreditSimulation::CanReadTable(const Host& host) const {
  return CanAct(host) && host.reaches_table;
}

void CreditSimulation::ReadTable(std::size_t index) {
  Host& host = hosts_[index];
  if (!CanReadTable(host)) return;
  Roster read = roster_row_;
  // Only the first incarnations started before the first epoch.
  const bool is_first = host.incarnation == 2;
  read.origin =
      is_first ? RosterOrigin::kAfterStart : RosterOrigin::kBeforeStart;
  host.ledger->AdoptRoster(read, now_);
  host.ledger->ConfirmRoster(roster_row_.epoch, now_);
}

void CreditSimulation::SendHeartbeats(std::size_t from) {
  Host& host = hosts_[from];
  if (!CanAct(host)) return;
  host.ledger->Tick(now_);
  const Heartbeat heartbeat{host.ledger->epoch(), host.ledger->IsSettled(),
                            now_};
  if (heartbeat.epoch == 0) return;
  for (std::size_t to = 0; to < hosts_.size(); ++to) {
    if (to != from) messages_.push_back({from, to, {}, heartbeat});
  }
}

void CreditSimulation::CollectMessages(std::size_t from) {
  Host& host = hosts_[from];
  for (OutgoingPeerMessage& outgoing : host.ledger->TakeOutgoing()) {
    const auto to = std::find_if(
        hosts_.begin(), hosts_.end(),
        [&](const Host& other) { return other.id == outgoing.host; });
    outgoing.message.set_sender(host.id.value());
    outgoing.message.set_incarnation(host.incarnation);
    messages_.push_back({from,
                         static_cast<std::size_t>(to - hosts_.begin()),
                         outgoing.message,
                         {}});
  }
  while (messages_.size() > kMaximumMessages)
    messages_.erase(messages_.begin());
}

void CreditSimulation::Receive(const Message& message) {
  Host& to = hosts_[message.to];
  if (!CanAct(to)) return;
  if (!to.reaches_peers || !hosts_[message.from].reaches_peers) return;
  if (message.heartbeat.epoch == 0) {
    to.ledger->HandlePeer(message.body, now_);
    CollectMessages(message.to);
    return;
  }
  const HostId& from = hosts_[message.from].id;
  std::uint64_t& received = to.received_epochs[from];
  received = std::max(received, message.heartbeat.epoch);
  to.ledger->ObservePeer(from, message.heartbeat.epoch,
                         message.heartbeat.settled, now_,
                         message.heartbeat.sent_at);
}

// Delivers any message in flight. One message in four stays in flight and may
// be delivered again.
void CreditSimulation::Deliver(std::size_t index, std::uint32_t detail) {
  const Message message = messages_[index];
  const bool is_duplicated = detail % 4 == 0;
  if (!is_duplicated)
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  Receive(message);
}

void CreditSimulation::ExchangeHeartbeats() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) SendHeartbeats(i);
  std::vector<Message> heartbeats;
  std::copy_if(messages_.begin(), messages_.end(),
               std::back_inserter(heartbeats),
               [](const Message& m) { return m.heartbeat.epoch != 0; });
  std::erase_if(messages_,
                [](const Message& m) { return m.heartbeat.epoch != 0; });
  for (const Message& message : heartbeats) Receive(message);
}

void CreditSimulation::ReadTableEverywhere() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) ReadTable(i);
}

void CreditSimulation::ObserveServer(std::size_t index) {
  Host& host = hosts_[index];
  if (!CanAct(host)) return;
  const bool has_changed =
      host.ledger->ObserveWarmth(server_, generation_, warmth_, now_);
  if (!has_changed) return;
  for (std::size_t to = 0; to < hosts_.size(); ++to) {
    messages::PeerMessage sign;
    sign.mutable_server_sign()->set_server(server_.value());
    sign.mutable_server_sign()->set_generation(generation_);
    sign.mutable_server_sign()->set_warm(warmth_ == Warmth::kWarm);
    if (to != index) messages_.push_back({index, to, sign, {}});
  }
}

void CreditSimulation::Admit(std::size_t index, std::uint32_t detail) {
  Host& host = hosts_[index];
  if (!CanAct(host)) return;
  const auto admission = host.ledger->Admit(server_, now_);
  if (!admission) {
    std::vector<HostId> others;
    for (const Host& other : hosts_) others.push_back(other.id);
    host.ledger->RequestLoan(server_, 1 + detail % 3, others, now_);
    CollectMessages(index);
    return;
  }
  calls_.push_back({index, host.incarnation, *admission, false, {}, {}});
  const bool is_sent_at_once = detail % 4 != 0;
  if (is_sent_at_once) Send(calls_.size() - 1);
}

// The process checks the deadline at the time of sending.
void CreditSimulation::Send(std::size_t index) {
  Call& call = calls_[index];
  if (call.sent || !CanAct(hosts_[call.host])) return;
  if (now_ >= call.admission.send_before) return Release(index);
  call.sent = true;
  call.sent_at = now_;
  call.ends_at = call.admission.end_before;
}

void CreditSimulation::Release(std::size_t index) {
  const Call call = calls_[index];
  Host& host = hosts_[call.host];
  const bool is_own = call.incarnation == host.incarnation;
  if (is_own && !CanAct(host)) return;
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
  if (!is_own) return;
  host.ledger->Release(call.admission.id, now_, CallResult::kSucceeded);
  CollectMessages(call.host);
}

void CreditSimulation::AdmitEverywhere() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    for (std::uint32_t n = 0; n < options_.warm_limit; ++n) Admit(i, 1);
  }
}

void CreditSimulation::AdvanceBy(Duration step) {
  now_ += step;
  // The server ends each call by its deadline; the host then releases it,
  // unless it is frozen or has restarted.
  for (std::size_t i = calls_.size(); i-- > 0;) {
    if (calls_[i].sent && now_ >= calls_[i].ends_at) Release(i);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!CanAct(hosts_[i])) continue;
    hosts_[i].ledger->Tick(now_);
    CollectMessages(i);
  }
}

bool CreditSimulation::MayWriteRow(std::size_t index) const {
  const Host& host = hosts_[index];
  if (!CanReadTable(host) || host.ledger->epoch() != roster_row_.epoch)
    return false;
  if (roster_row_.previous_hosts.empty()) return true;
  return std::any_of(roster_row_.previous_hosts.begin(),
                     roster_row_.previous_hosts.end(), [&](const HostId& id) {
                       const auto received = host.received_epochs.find(id);
                       const bool has_left =
                           received != host.received_epochs.end() &&
                           received->second >= roster_row_.epoch;
                       return id == host.id || has_left;
                     });
}

std::set<HostId> CreditSimulation::KnownAdopters(std::size_t index) const {
  std::set<HostId> adopted{hosts_[index].id};
  for (const auto& [id, epoch] : hosts_[index].received_epochs) {
    if (epoch == roster_row_.epoch) adopted.insert(id);
  }
  return adopted;
}

void CreditSimulation::RemoveFromRoster(std::size_t writer, std::size_t index) {
  const HostId& id = hosts_[index].id;
  const bool is_possible = writer != index && MayWriteRow(writer) &&
                           roster_row_.Contains(hosts_[writer].id) &&
                           roster_row_.Contains(id);
  if (!is_possible) return;
  std::vector<HostId> remaining = roster_row_.hosts;
  std::erase(remaining, id);
  std::vector<HostId> reserved = roster_row_.reserved_hosts;
  reserved.push_back(id);
  roster_row_ =
      NextEpoch(roster_row_, remaining, reserved, KnownAdopters(writer));
  ReadTable(writer);
}

void CreditSimulation::JoinRoster(std::size_t index) {
  const HostId& id = hosts_[index].id;
  if (!MayWriteRow(index) || roster_row_.Contains(id)) return;
  std::vector<HostId> members = roster_row_.hosts;
  members.push_back(id);
  std::vector<HostId> reserved = roster_row_.reserved_hosts;
  std::erase(reserved, id);
  roster_row_ = NextEpoch(roster_row_, members, reserved, KnownAdopters(index));
  ReadTable(index);
}

void CreditSimulation::StartColdGeneration() {
  ++generation_;
  warmth_ = Warmth::kCold;
  cold_since_ = now_;
}

std::size_t CreditSimulation::Running(TimePoint since) const {
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const Call& call) {
        return call.sent && call.sent_at >= since && now_ < call.ends_at;
      }));
}

void CreditSimulation::Step(std::uint32_t kind, std::uint32_t detail) {
  const std::size_t index = detail % hosts_.size();
  const std::size_t other = detail / 16 % hosts_.size();
  Host& host = hosts_[index];
  switch (kind) {
    case 0:
    case 1:
    case 2:
      return Admit(index, detail / 16);
    case 3:
      return AdmitEverywhere();
    case 4:
      if (!calls_.empty()) Release(detail % calls_.size());
      return;
    case 5:
      if (!calls_.empty()) Send(detail % calls_.size());
      return;
    case 6:
    case 7:
    case 8:
    case 9:
      if (!messages_.empty())
        Deliver(detail % messages_.size(), detail / messages_.size());
      return;
    case 10:
      return AdvanceBy(milliseconds(1 + detail % 300));
    case 11:
      return AdvanceBy(milliseconds(500 + detail % 6000));
    case 12:
      host.frozen = !host.frozen;
      return;
    case 13:
      host.reaches_table = !host.reaches_table;
      return;
    case 14:
      host.reaches_peers = !host.reaches_peers;
      return;
    case 15:
      return SendHeartbeats(index);
    case 16:
      return ExchangeHeartbeats();
    case 17:
      return ReadTableEverywhere();
    case 18:
      return RemoveFromRoster(index, other);
    case 19:
      return JoinRoster(index);
    case 20:
      return Restart(index);
    case 21:
      return ObserveServer(index);
    case 22:
      if (detail % 4 == 0) return StartColdGeneration();
      warmth_ = Warmth::kWarm;
      return;
    default:
      return ReadTable(index);
  }
}

}  // namespace lovagecleat::policy
