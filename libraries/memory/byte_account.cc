#include "memory/byte_account.h"

#include <algorithm>
#include <vector>

namespace lovagecleat::memory {

namespace {

// Part of the machine's memory that may be held for clients. The rest is for
// the program, rows and peers, copies while a buffer grows, and what the
// allocator keeps.
constexpr std::uint64_t kMachinePart = 3;
// Part of the limit above which requests wait; the rest is for the request with
// the turn and for connections within their share.
constexpr std::size_t kPoolPart = 2;
// Part of the limit that the request with the turn leaves free.
constexpr std::size_t kHeadroomPart = 16;
// Bounds of the number of connections if memory is scarce. A process accepts as
// many as one without limits, so that few idle ones do not exhaust it.
constexpr std::size_t kScarceConnections = 3000;
constexpr std::size_t kLeastConnections = 64;

}  // namespace

std::string_view ToString(Kind kind) {
  switch (kind) {
    case Kind::kConnections:
      return "connections";
    case Kind::kHeads:
      return "heads";
    case Kind::kBodies:
      return "bodies";
    case Kind::kResponses:
      return "responses";
    case Kind::kUnread:
      return "unread";
  }
  return "";
}

std::string_view ToString(Eviction eviction) {
  switch (eviction) {
    case Eviction::kStalled:
      return "stalled";
    case Eviction::kWaitedTooLong:
      return "waited";
    case Eviction::kNoRoom:
      return "no_room";
    case Eviction::kOverLimit:
      return "over_limit";
    case Eviction::kSlow:
      return "slow";
  }
  return "";
}

AccountLimits LimitsFor(std::uint64_t machine_bytes, double address_share) {
  AccountLimits limits;
  limits.total = static_cast<std::size_t>(machine_bytes / kMachinePart);
  limits.pool = limits.total / kPoolPart;
  limits.address_share = static_cast<std::size_t>(
      static_cast<double>(limits.total) * address_share);
  return limits;
}

std::size_t ConnectionsFor(const AccountLimits& limits, std::size_t sockets) {
  const std::size_t held = (limits.total - limits.pool) /
                           std::max<std::size_t>(limits.connection_share, 1);
  return std::max(kLeastConnections,
                  std::min(sockets, std::max(held, kScarceConnections)));
}

Holder::Holder(ByteAccount& account, HolderObserver& observer,
               std::uint32_t address, TimePoint now)
    : account_(account),
      observer_(observer),
      address_(address),
      progress_at_(now) {
  account_.holders_.insert(this);
}

Holder::~Holder() {
  Release();
  account_.holders_.erase(this);
}

void Holder::Release() {
  account_.StopWaiting(*this);
  EndRequest();
  for (std::size_t kind = 0; kind < kKindCount; ++kind)
    Hold(static_cast<Kind>(kind), 0);
}

void Holder::Hold(Kind kind, std::size_t bytes) {
  account_.Change(*this, kind, bytes);
}

Answer Holder::Ask(std::size_t bytes, std::size_t most, std::size_t unread,
                   TimePoint now) {
  return account_.Ask(*this, bytes, most, unread, now);
}

void Holder::BeginRequest() { request_ = ++account_.last_request_; }

void Holder::EndRequest() {
  account_.StopWaiting(*this);
  request_ = 0;
  if (account_.turn_ != this) return;
  account_.turn_ = nullptr;
  account_.NotifyWork();
}

ByteAccount::ByteAccount(std::function<void()> on_work)
    : on_work_(std::move(on_work)) {}

void ByteAccount::SetLimits(const AccountLimits& limits) {
  limits_ = limits;
  NotifyWork();
}

void ByteAccount::NotifyWork() {
  if (is_notified_) return;
  if (waiting_.empty() && (!is_limited() || total_ <= limits_.total)) return;
  is_notified_ = true;
  if (on_work_) on_work_();
}

void ByteAccount::Change(Holder& holder, Kind kind, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  const std::size_t before = holder.held_[index];
  if (before == bytes) return;
  holder.held_[index] = bytes;
  holder.total_ = holder.total_ - before + bytes;
  held_[index] = held_[index] - before + bytes;
  total_ = total_ - before + bytes;
  if (limits_.address_share < limits_.total) {
    std::size_t& of_address = by_address_[holder.address_];
    // Bytes from before the share was set are not in the sum.
    of_address = of_address + bytes - std::min(before, of_address + bytes);
    if (of_address == 0) by_address_.erase(holder.address_);
  }
  if (bytes < before || total_ > limits_.total) NotifyWork();
}

Answer ByteAccount::Ask(Holder& holder, std::size_t bytes, std::size_t most,
                        std::size_t unread, TimePoint now) {
  if (!is_limited()) return Answer::kGranted;
  const std::size_t wanted = holder.total_ + bytes;
  if (wanted <= limits_.connection_share) return Answer::kGranted;
  if (limits_.address_share < limits_.total) {
    const auto found = by_address_.find(holder.address_);
    const std::size_t of_address =
        found == by_address_.end() ? 0 : found->second;
    if (of_address + bytes > limits_.address_share) {
      CountRefusal();
      StopWaiting(holder);
      return Answer::kRefused;
    }
  }
  if (turn_ == &holder) return Answer::kGranted;
  const bool is_first =
      waiting_.empty() ||
      (holder.request_ != 0 && holder.request_ <= waiting_.begin()->first);
  if (is_first && FitsPool(bytes)) {
    StopWaiting(holder);
    return Answer::kGranted;
  }
  if (is_first && MayTakeTurn(std::max(bytes, most))) {
    turn_ = &holder;
    turn_since_ = now;
    StopWaiting(holder);
    return Answer::kGranted;
  }
  if (!holder.asked_at_ && total_ + unread > limits_.total) {
    CountRefusal();
    return Answer::kRefused;
  }
  if (!holder.asked_at_) {
    holder.asked_at_ = now;
    if (holder.request_ == 0) holder.BeginRequest();
    holder.waiting_number_ = holder.request_;
    waiting_.emplace(holder.waiting_number_, &holder);
    Change(holder, Kind::kUnread, unread);
  }
  holder.asked_bytes_ = bytes;
  holder.asked_most_ = std::max(bytes, most);
  return Answer::kWait;
}

// Those that wait do not keep each other waiting.
bool ByteAccount::FitsPool(std::size_t bytes) const {
  return total_ - held(Kind::kUnread) + bytes <= limits_.pool;
}

// The request must fit to its end: what was passed on is not evicted.
bool ByteAccount::MayTakeTurn(std::size_t most) const {
  if (turn_ != nullptr) return false;
  // Requests that had the turn before and are being served count.
  return total_ - held(Kind::kUnread) + most + limits_.total / kHeadroomPart <=
         limits_.total;
}

void ByteAccount::StopWaiting(Holder& holder) {
  if (!holder.asked_at_) return;
  holder.asked_at_.reset();
  holder.asked_bytes_ = 0;
  waiting_.erase(holder.waiting_number_);
  Change(holder, Kind::kUnread, 0);
}

bool ByteAccount::IsStalled(const Holder& holder, TimePoint now) const {
  return holder.waits_for_peer_ && !holder.asked_at_ &&
         now - holder.progress_at_ >= limits_.stall_time &&
         !holder.observer_.HasUnhandledProgress();
}

// Holders within their share count only if nothing else makes room: they are
// what the rest of the limit is for.
Holder* ByteAccount::Largest(Order order, TimePoint now) const {
  Holder* largest = nullptr;
  for (Holder* holder : holders_) {
    if (!holder->is_evictable_) continue;
    const std::size_t share =
        order == Order::kStalledSmall
            ? holder->held(Kind::kConnections)  // idle ones stay
            : limits_.connection_share;
    if (holder->total_ <= share) continue;
    if (largest != nullptr && holder->total_ <= largest->total_) continue;
    const bool for_stalled =
        order == Order::kStalled || order == Order::kStalledSmall;
    if (for_stalled && !IsStalled(*holder, now)) continue;
    if (order == Order::kAtPeer && !holder->waits_for_peer_) continue;
    if (!for_stalled && holder == turn_) continue;
    largest = holder;
  }
  return largest;
}

void ByteAccount::Evict(Holder& holder, Eviction eviction) {
  ++evictions_[static_cast<std::size_t>(eviction)];
  StopWaiting(holder);
  holder.EndRequest();
  holder.observer_.OnEvicted(eviction);
}

void ByteAccount::Run(TimePoint now) {
  is_notified_ = false;
  if (!is_limited()) return LetAllGoOn();
  if (total_ > limits_.total) RelieveLimit(now);
  if (waiting_.empty()) return;
  ServeWaiting(now);
  EndLongWaits(now);
}

void ByteAccount::RelieveLimit(TimePoint now) {
  // An evicted holder frees what it holds, so that it is not chosen again; the
  // count bounds the loop if one does not.
  for (std::size_t left = holders_.size(); left > 0 && total_ > limits_.total;
       --left) {
    Holder* victim = Largest(Order::kStalled, now);
    if (victim == nullptr && !waiting_.empty())
      victim = waiting_.rbegin()->second;
    if (victim == nullptr) victim = Largest(Order::kAtPeer, now);
    if (victim == nullptr) victim = Largest(Order::kAny, now);
    if (victim == nullptr) return;
    Evict(*victim, Eviction::kOverLimit);
  }
}

void ByteAccount::ServeWaiting(TimePoint now) {
  // Each step lets one go on or evicts one.
  for (std::size_t left = 2 * holders_.size(); left > 0 && !waiting_.empty();
       --left) {
    Holder& first = *waiting_.begin()->second;
    if (FitsPool(first.asked_bytes_) || MayTakeTurn(first.asked_most_)) {
      // It asks for the same again, and is the first to be answered.
      first.observer_.OnRoom();
      // Unless it did not ask, or ended.
      if (!waiting_.empty() && waiting_.begin()->second == &first) return;
      continue;
    }
    Holder* holder = FindInTheWay(now);
    if (holder == nullptr) return;
    Evict(*holder, holder == turn_ && !IsStalled(*holder, now)
                       ? Eviction::kSlow
                       : Eviction::kStalled);
  }
}

Holder* ByteAccount::FindInTheWay(TimePoint now) const {
  if (Holder* stalled = Largest(Order::kStalled, now)) return stalled;
  if (turn_ == nullptr) return Largest(Order::kStalledSmall, now);
  // A peer that sends a few bytes at a time is never stalled.
  return now - turn_since_ >= limits_.maximum_turn ? turn_ : nullptr;
}

// The limits were removed while some waited.
void ByteAccount::LetAllGoOn() {
  while (!waiting_.empty()) {
    Holder& first = *waiting_.begin()->second;
    StopWaiting(first);
    first.observer_.OnRoom();
  }
  turn_ = nullptr;
}

void ByteAccount::EndLongWaits(TimePoint now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [request, holder] : waiting_)
    if (now - *holder->asked_at_ >= limits_.maximum_wait)
      ended.push_back(request);
  for (const std::uint64_t request : ended) {
    const auto found = waiting_.find(request);
    if (found != waiting_.end())
      Evict(*found->second, Eviction::kWaitedTooLong);
  }
}

}  // namespace lovagecleat::memory
