#include "http/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace lovagecleat::http {

namespace {

// Limits the events of one epoll_wait; the next loop iteration fetches the
// rest.
constexpr int kMaximumEventsPerWait = 64;

epoll_event MakeEvent(int descriptor, std::uint32_t generation,
                      std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = (std::uint64_t{generation} << 32) |
                   static_cast<std::uint32_t>(descriptor);
  return event;
}

}  // namespace

Poller::Poller(transport::Loop& loop)
    : loop_(loop),
      // Holders are evicted from the loop, since one of them may be the caller.
      account_([this] {
        loop_.Cancel(account_timer_);
        account_timer_ = loop_.After(
            Duration::zero(), [this] { account_.Run(loop_.clock().Now()); });
      }),
      epoll_descriptor_(epoll_create1(EPOLL_CLOEXEC)) {
  loop_.OnReadable(epoll_descriptor_, [this] { Dispatch(); });
}

Poller::~Poller() {
  loop_.Cancel(check_timer_);
  loop_.Cancel(account_timer_);
  close(epoll_descriptor_);
}

void Poller::Watch(int descriptor, std::uint32_t events,
                   DescriptorObserver* observer) {
  const std::uint32_t generation = ++last_generation_;
  entries_[descriptor] = {generation, observer};
  epoll_event event = MakeEvent(descriptor, generation, events);
  epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::ChangeEvents(int descriptor, std::uint32_t events) {
  const auto found = entries_.find(descriptor);
  if (found == entries_.end()) return;
  epoll_event event = MakeEvent(descriptor, found->second.generation, events);
  epoll_ctl(epoll_descriptor_, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::Unwatch(int descriptor) {
  if (entries_.erase(descriptor) == 0) return;
  epoll_ctl(epoll_descriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void Poller::Dispatch() {
  std::array<epoll_event, kMaximumEventsPerWait> events;
  const int count =
      epoll_wait(epoll_descriptor_, events.data(), kMaximumEventsPerWait, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto descriptor = static_cast<int>(event.data.u64 & 0xffffffffU);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
    DescriptorObserver* observer = FindObserver(descriptor, generation);
    if (observer != nullptr) observer->OnDescriptorEvents(event.events);
  }
}

// An earlier callback may have closed the descriptor, and the kernel may have
// reused its number for another connection.
DescriptorObserver* Poller::FindObserver(int descriptor,
                                         std::uint32_t generation) {
  const auto found = entries_.find(descriptor);
  if (found == entries_.end() || found->second.generation != generation)
    return nullptr;
  return found->second.observer;
}

void Poller::CheckLater(int descriptor) {
  const auto found = entries_.find(descriptor);
  if (found == entries_.end()) return;
  if (checks_.empty())
    check_timer_ = loop_.After(kCheckPeriod, [this] { RunChecks(); });
  checks_.push_back({descriptor, found->second.generation});
}

void Poller::RunChecks() {
  for (const Check& check : std::exchange(checks_, {})) {
    DescriptorObserver* observer =
        FindObserver(check.descriptor, check.generation);
    if (observer != nullptr) observer->OnCheck();
  }
}

}  // namespace lovagecleat::http
