#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "tests/fault_matrix/session.h"

// Internal types of Session.
namespace lovagecleat::fault_matrix {

constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);

struct Session::BackendCall {
  HostId host;
  std::uint64_t incarnation = 0;
  policy::StartBackendCall command;
  bool is_running = false;  // at the server
  bool is_awaited = true;   // by the host
  bool is_silent = false;
  TimePoint last_progress{};
  bool has_byte = false;
};

struct Session::Host {
  HostId id;
  ZoneId zone;
  std::uint64_t incarnation = 0;
  std::unique_ptr<policy::Core> core;
  bool is_frozen = false;
  bool is_platform_reachable = true;
  bool is_stopped = false;
  std::vector<policy::Event> inbox;  // while frozen
  // Commands that were not executed before the process was frozen.
  std::vector<policy::Command> pending_commands;
  std::uint64_t revision = 0;
  std::optional<TimerId> wake_up;
};

struct Session::Server {
  explicit Server(stand_ins::BackendSettings settings, TimePoint now)
      : model(std::move(settings), now) {}

  stand_ins::BackendModel model;
  ServiceId service;
  ZoneId zone;
  policy::MemberState state = policy::MemberState::kActive;
  policy::Warmth recorded_warmth = policy::Warmth::kCold;
  std::optional<TimerId> due;
};

}  // namespace lovagecleat::fault_matrix
