#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "memory/memory.h"
#include "transport/transport.h"

namespace lovagecleat::http {

// Receives the readiness events of one descriptor.
class DescriptorObserver {
 public:
  virtual ~DescriptorObserver() = default;
  // `events` is a mask of EPOLL* flags.
  virtual void OnDescriptorEvents(std::uint32_t events) = 0;
  // Called once for each CheckLater.
  virtual void OnCheck() {}
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

  // Calls OnCheck of the descriptor's observer within kCheckPeriod. One timer
  // serves all descriptors.
  void CheckLater(int descriptor);

  // Stops delivering events, including those already fetched.
  void Unwatch(int descriptor);

  transport::Loop& loop() { return loop_; }

  // What the connections of the process hold for clients.
  memory::ByteAccount& account() { return account_; }

  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);

 private:
  struct Entry {
    std::uint32_t generation = 0;
    DescriptorObserver* observer = nullptr;
  };
  struct Check {
    int descriptor = -1;
    std::uint32_t generation = 0;
  };
  void Dispatch();
  // Returns nothing if the descriptor has been closed since that generation.
  DescriptorObserver* FindObserver(int descriptor, std::uint32_t generation);
  void RunChecks();

  transport::Loop& loop_;
  TimerId account_timer_;
  memory::ByteAccount account_;
  int epoll_descriptor_ = -1;
  std::uint32_t last_generation_ = 0;
  std::unordered_map<int, Entry> entries_;
  std::vector<Check> checks_;
  TimerId check_timer_;
};

}  // namespace lovagecleat::http
