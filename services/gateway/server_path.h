#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Finds out whether this host has lost its path to all backend servers. If
// connections fail, or nothing comes from any server while calls wait, it
// connects to a few servers of different services: only if none can be
// connected to, the path is lost. A connection then shows that it is back.
class ServerPath final : public http::PoolObserver {
 public:
  using ChangeCallback = std::function<void()>;

  // `on_change` is called from the loop after is_lost() has changed.
  ServerPath(Context& context, ChangeCallback on_change);
  ~ServerPath() override;
  ServerPath(const ServerPath&) = delete;
  ServerPath& operator=(const ServerPath&) = delete;

  void Start();

  bool is_lost() const { return is_lost_; }

  // Returns whether several servers could not be connected to since one could.
  bool is_doubtful() const;

  // Returns whether a new request should use the path of another host: always
  // while the path is lost, then ever more rarely, so that the requests of many
  // hosts do not return to the servers at once.
  bool ShouldAvoid();

  void OnServerConnected() override;
  void OnServerNotConnected(const std::string& server) override;
  void OnServerBytes() override;

 private:
  class Probe;

  void Tick();
  bool AreServersSilent();
  // Connects to one server, and to further ones if that fails.
  void StartRound();
  void StartProbe(const std::string& address);
  void OnProbeEnd(Probe* probe, bool is_connected);
  void EndRound(bool is_connected);
  void SetLost(bool is_lost);
  // Returns addresses of servers, of as many services as possible.
  std::vector<std::string> ChooseServers() const;

  Context& context_;
  ChangeCallback on_change_;
  bool is_lost_ = false;
  std::optional<TimePoint> returned_at_;
  std::set<std::string> not_connected_;  // since the last connection
  TimePoint heard_at_{};
  std::optional<TimePoint> waiting_since_;  // while calls are in progress
  TimePoint round_started_at_{};
  std::vector<std::string> unprobed_;  // rest of the round
  std::map<Probe*, std::unique_ptr<Probe>> probes_;
  TimerId tick_timer_;
};

}  // namespace lovagecleat::gateway
