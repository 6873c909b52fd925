#pragma once

#include <cstdint>
#include <unordered_map>

#include "transport/transport.h"

namespace lovagecleat::http {

// Told of readiness of one descriptor.
class DescriptorObserver {
 public:
  virtual ~DescriptorObserver() = default;
  // `events` are those of epoll.
  virtual void OnDescriptorEvents(std::uint32_t events) = 0;
};

// Many descriptors behind one epoll descriptor on the process's loop, so that
// a wake costs the same however many connections are open.
class Poller {
 public:
  explicit Poller(transport::Loop& loop);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Watch(int descriptor, std::uint32_t events,
             DescriptorObserver* observer);
  void ChangeEvents(int descriptor, std::uint32_t events);

  // No event is delivered after this, not even one already fetched.
  void Forget(int descriptor);

  transport::Loop& loop() { return loop_; }

 private:
  struct Entry {
    std::uint32_t generation = 0;
    DescriptorObserver* observer = nullptr;
  };
  void Dispatch();

  transport::Loop& loop_;
  int epoll_ = -1;
  std::uint32_t last_generation_ = 0;
  std::unordered_map<int, Entry> entries_;
};

}  // namespace lovagecleat::http
