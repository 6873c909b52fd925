#include "http/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace lovagecleat::http {

namespace {

// Events fetched at once; the rest are fetched by the next turn of the loop.
constexpr int kEventsPerTurn = 64;

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
    : loop_(loop), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  loop_.OnReadable(epoll_, [this] { Dispatch(); });
}

Poller::~Poller() { close(epoll_); }

void Poller::Watch(int descriptor, std::uint32_t events,
                   DescriptorObserver* observer) {
  const std::uint32_t generation = ++last_generation_;
  entries_[descriptor] = {generation, observer};
  epoll_event event = MakeEvent(descriptor, generation, events);
  epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::ChangeEvents(int descriptor, std::uint32_t events) {
  const auto found = entries_.find(descriptor);
  if (found == entries_.end()) return;
  epoll_event event = MakeEvent(descriptor, found->second.generation, events);
  epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::Forget(int descriptor) {
  if (entries_.erase(descriptor) == 0) return;
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void Poller::Dispatch() {
  std::array<epoll_event, kEventsPerTurn> events;
  const int count = epoll_wait(epoll_, events.data(), kEventsPerTurn, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    const auto descriptor = static_cast<int>(event.data.u64 & 0xffffffffU);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
    // A callback before this one may have closed the descriptor, and another
    // connection may have been given its number.
    const auto found = entries_.find(descriptor);
    if (found == entries_.end()) continue;
    if (found->second.generation != generation) continue;
    found->second.observer->OnDescriptorEvents(event.events);
  }
}

}  // namespace lovagecleat::http
