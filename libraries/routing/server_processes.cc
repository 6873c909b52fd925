#include "routing/server_processes.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// A server writes its entry within this time after it accepts connections.
constexpr Duration kRegistrationTime = std::chrono::milliseconds(100);
// What is known of a process that ended is dropped after this time. Entries of
// servers that are silent leave the store sooner.
constexpr Duration kBrokenTime = std::chrono::seconds(60);

}  // namespace

TimePoint ServerProcesses::OnOpened(const std::string& server, TimePoint now) {
  Server& state = servers_[server];
  if (state.connections == 0) state.since = now;
  ++state.connections;
  return state.since;
}

void ServerProcesses::OnClosed(const std::string& server, TimePoint since,
                               ConnectionEnd end, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  Server& state = found->second;
  if (state.connections == 0 || state.since != since) return;
  --state.connections;
  switch (end) {
    case ConnectionEnd::kHere:
      if (state.connections == 0 && !state.has_broken) servers_.erase(found);
      return;
    case ConnectionEnd::kServer:
      if (state.connections == 0) Break(state, now);
      return;
    case ConnectionEnd::kLost:
      // The machine may have lost power, which ends no connection: those that
      // are open show nothing.
      state.connections = 0;
      Break(state, now);
      return;
  }
}

void ServerProcesses::OnNotConnected(const std::string& server, TimePoint now) {
  Server& state = servers_[server];
  state.connections = 0;
  Break(state, now);
}

void ServerProcesses::Break(Server& server, TimePoint now) {
  server.has_broken = true;
  server.broken_at = now;
}

void ServerProcesses::Remove(const std::string& server) {
  servers_.erase(server);
}

void ServerProcesses::SetInTouch(bool is_in_touch, TimePoint now) {
  if (is_in_touch && !is_in_touch_) in_touch_since_ = now;
  is_in_touch_ = is_in_touch;
  std::erase_if(servers_, [now](const auto& entry) {
    return entry.second.connections == 0 &&
           entry.second.broken_at + kBrokenTime <= now;
  });
  if (is_in_touch && now - maximum_change_delay_ >= in_touch_since_)
    Advance(now - maximum_change_delay_);
}

void ServerProcesses::OnRead(TimePoint began_at) { Advance(began_at); }

void ServerProcesses::Advance(TimePoint known_as_of) {
  if (known_as_of <= known_as_of_) return;
  known_as_of_ = known_as_of;
  for (auto& [name, server] : servers_)
    if (server.connections > 0 && IsKnown(server.since))
      server.has_broken = false;
}

TimePoint ServerProcesses::ReadAt(TimePoint since) {
  return since + kRegistrationTime;
}

bool ServerProcesses::IsKnown(TimePoint since) const {
  return ReadAt(since) <= known_as_of_;
}

bool ServerProcesses::IsSettled(const std::string& server) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && found->second.connections > 0 &&
         IsKnown(found->second.since);
}

bool ServerProcesses::HasBroken(const std::string& server) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && found->second.has_broken;
}

}  // namespace lovagecleat::routing
