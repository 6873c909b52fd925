#pragma once

#include <cstdint>
#include <unordered_map>

#include "transport/transport.h"

namespace lovagecleat::http {

// Receives the readiness events of one descriptor.
class DescriptorObserver {
 public:
  virtual ~DescriptorObserver() = default;
  // `events` is a mask of EPOLL* flags.
  virtual void OnDescriptorEvents(std::uint32_t events) = 0;
};

// Watches many descriptors through one epoll descriptor on the event loop of
// the process, so that the cost of a wake-up does not grow with the number of
// open connections.
class Poller {
 public:
  explicit Poller(transport::Loop& loop);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Watch(int descriptor, std::uint32_t events,
             DescriptorObserver* observer);
  void ChangeEvents(int descriptor, std::uint32_t events);

  // Stops delivering events, including those already fetched.
  void Unwatch(int descriptor);

  transport::Loop& loop() { return loop_; }

 private:
  struct Entry {
    std::uint32_t generation = 0;
    DescriptorObserver* observer = nullptr;
  };
  void Dispatch();

  transport::Loop& loop_;
  int epoll_descriptor_ = -1;
  std::uint32_t last_generation_ = 0;
  std::unordered_map<int, Entry> entries_;
};

}  // namespace lovagecleat::http
