#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {

// Simulates hosts that roll out a version "v2" beside "v1" under virtual time:
// callers, servers, the store, and a network that loses and delays messages.
class RolloutSimulation {
 public:
  // How an answer of the version on trial turns out.
  struct Answer {
    bool has_failed = false;
    double slowness = 1;  // multiplies its time
  };
  // Gets the time since the order, the route, the requests a second that the
  // version gets, the server's number, and a random value in [0, 1).
  using Behaviour =
      std::function<Answer(double seconds, std::size_t route, double rate,
                           std::size_t server, double random)>;

  struct Options {
    std::size_t hosts = 6;
    std::size_t servers = 6;  // of each version
    double requests_per_second = 100;
    // Share of failures of the version before, and of a sound one.
    double usual_failures = 0.003;
    double message_loss = 0;
    std::uint64_t seed = 1;
    RolloutBounds bounds;
    Duration time = std::chrono::seconds(60);
    Behaviour behaviour;  // empty: as sound as the version before
    std::vector<double> route_weights = {0.5, 0.4, 0.1};
  };

  explicit RolloutSimulation(const Options& options);

  void Order(const std::string& to, Duration time);
  void RemoveOrder();
  void Run(Duration time);

  // Faults.
  void Freeze(std::size_t host, Duration time);
  void SetCutOff(std::size_t host, bool is_cut);  // from peers and the store
  void SetCutFromPeers(std::size_t host, bool is_cut);
  void SetStoreAway(bool is_away) { is_store_away_ = is_away; }
  void LoseWriteResponses(int count) { lost_responses_ = count; }
  void Restart(std::size_t host);
  void RestartAll();
  // Which servers of the version on trial are registered.
  void SetServersOnTrial(std::size_t count) { servers_on_trial_ = count; }
  void SetFailuresOfAll(double share) { failures_of_all_ = share; }

  // --- Results ---
  std::optional<RolloutStatus> status() const { return status_; }
  // When the state became final, in seconds since the order.
  std::optional<double> ended_at() const { return ended_at_; }
  std::uint64_t requests() const { return requests_; }  // until the deadline
  std::uint64_t sent_new() const { return sent_new_; }  // until the deadline
  std::uint64_t bad_answers() const { return bad_answers_; }
  // How long after the 50th bad answer something was sent to the version.
  double sent_after_bound() const { return sent_after_bound_; }
  std::uint64_t unserved() const { return unserved_; }
  // Requests that were in progress at servers when they were stopped.
  std::uint64_t cut_off() const { return cut_off_; }
  std::uint64_t sent_to(const std::string& version) const;
  std::uint64_t messages() const { return messages_; }
  std::uint64_t store_calls() const { return store_calls_; }
  std::uint64_t writes() const { return writes_; }
  double AllowedRequests() const {
    return options_.bounds.exposure_share * static_cast<double>(requests_) +
           options_.bounds.exposure_slack;
  }
  Rollouts& rollouts(std::size_t host) { return hosts_[host].rollouts(); }
  TimePoint now() const { return now_; }

 private:
  struct Host {
    std::string address;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Rollouts> owned_rollouts;
    std::unique_ptr<RolloutCoordinator> coordinator;
    TimePoint frozen_until{};
    bool is_cut = false;
    bool is_cut_from_peers = false;
    std::optional<RowVersion> known_order;
    bool has_read_orders = false;
    TimePoint next_order_read{};
    std::set<std::string> versions;  // that it knows servers of

    Rollouts& rollouts() { return *owned_rollouts; }
  };
  struct Event {
    std::size_t host;
    std::uint64_t incarnation;
    std::function<void(Host&)> run;
  };

  void StartProcess(Host& host);
  void At(TimePoint time, std::size_t host, std::function<void(Host&)> run);
  void ReadOrder(std::size_t host);
  void StepHost(std::size_t host);
  void SendRequest();
  void SendTo(std::size_t host, const std::string& version, std::size_t route);
  bool AreConnected(std::size_t a, std::size_t b) const;
  bool ReachesStore(std::size_t host) const;
  void Perform(std::size_t host, const RolloutActions& actions);
  void Write(std::size_t host, const RolloutStatusWrite& write);
  std::set<std::string> Versions() const;
  double SinceOrder() const;

  Options options_;
  Random random_;
  TimePoint now_{};
  std::vector<Host> hosts_;
  std::multimap<TimePoint, Event> events_;
  std::uint64_t last_incarnation_ = 0;

  double due_ = 0;  // requests

  // The store.
  std::uint64_t version_ = 1;
  std::optional<RolloutOrder> order_;
  RowVersion order_version_;
  std::optional<RolloutStatus> status_;
  RowVersion status_version_;
  bool is_store_away_ = false;
  int lost_responses_ = 0;

  std::size_t servers_on_trial_;
  double failures_of_all_ = 0;
  bool has_ordered_ = false;
  std::set<std::string> stopped_;  // versions whose servers were stopped
  TimePoint ordered_at_{};
  TimePoint deadline_{};
  std::string on_trial_ = "v2";
  std::map<std::string, std::uint64_t> sent_to_;
  std::map<std::string, std::uint64_t> open_requests_;
  std::vector<TimePoint> newest_sends_;
  std::optional<double> ended_at_;
  std::uint64_t requests_ = 0;
  std::uint64_t sent_new_ = 0;
  std::uint64_t bad_answers_ = 0;
  std::optional<TimePoint> bound_reached_at_;
  double sent_after_bound_ = 0;
  std::uint64_t unserved_ = 0;
  std::uint64_t cut_off_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace lovagecleat::routing
