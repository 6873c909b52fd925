#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "policy/policy.h"

// Simulates the policy cores of many entry hosts in one process, in virtual
// time, with a table and backend servers that always answer. Measures the cost
// of the cores, not the quality of their decisions.
namespace lovagecleat::capacity {

struct FleetSize {
  int zones = 1;
  int hosts_per_zone = 1;
  int servers_per_zone = 50;  // distributed over the four services
  int teams = 5;
  int classes = 5;
};

// Sums over all hosts since the last reset.
struct Totals {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  // protobuf, without the framing of ZeroMQ and TCP
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  std::uint64_t load_polls = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::uint64_t tokens = 0;
  Duration processor_time{};  // in Core::Handle
};

class Fleet {
 public:
  explicit Fleet(const FleetSize& size);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Advances virtual time by `span`.
  void Run(Duration span);
  // Sends each host `per_second` requests of `request_class` from now on,
  // evenly spaced, with teams and classes in turn. Zero stops the load.
  void OfferLoad(const std::string& request_class, double per_second);
  // Submits a change of a target to the first host. Returns the virtual time
  // until every host has applied it, at most `timeout`.
  Duration ChangeTarget(Duration timeout);
  void ResetTotals() { totals_ = {}; }

  const Totals& totals() const { return totals_; }
  std::size_t host_count() const { return hosts_.size(); }
  std::size_t configuration_bytes() const { return configuration_bytes_; }

  // Request classes for OfferLoad.
  static constexpr const char* kPlainClass = "plain";
  static constexpr const char* kEngineClass = "engine";
  static constexpr const char* kOnceClass = "once";
  static constexpr std::uint32_t kTokensPerAnswer = 200;

 private:
  struct Host {
    HostId id;
    std::unique_ptr<policy::Core> core;
    TimePoint wake_up{};
    std::uint64_t wake_up_generation = 0;
  };
  struct Row {
    std::uint64_t version = 0;
    std::string value;
  };
  using Action = std::function<void()>;

  void BuildInventory(const FleetSize& size);
  configuration::Configuration BuildConfiguration(const FleetSize& size) const;
  void Schedule(TimePoint due, Action action);
  void Deliver(std::size_t host, const policy::Event& event);
  void ScheduleWakeUp(std::size_t host);
  void SendInventory();
  void ScheduleNextRequest(std::size_t host, std::uint64_t generation);

  void Execute(std::size_t host, const policy::StartBackendCall& command);
  void Execute(std::size_t host, const policy::CancelBackendCall& command);
  void Execute(std::size_t host, const policy::PollLoad& command);
  void Execute(std::size_t host, const policy::SendPeerMessage& command);
  void Execute(std::size_t host, const policy::ReadTable& command);
  void Execute(std::size_t host, const policy::ScanTable& command);
  void Execute(std::size_t host, const policy::WriteTable& command);
  void Execute(std::size_t host, const policy::DeliverToken& command);
  void Execute(std::size_t host, const policy::DeliverAnswer& command);
  void Execute(std::size_t host, const policy::DeliverRefusal& command);
  template <typename Other>
  void Execute(std::size_t /*host*/, const Other& /*command*/) {}

  void FinishAttempt(std::size_t host, AttemptId attempt, std::string output);
  void AnswerTable(std::size_t host, policy::TableAnswered answer);

  TimePoint now_{};
  WallTime wall_start_{};
  std::multimap<TimePoint, Action> actions_;
  std::vector<Host> hosts_;
  std::map<HostId, std::size_t> host_index_;
  std::map<std::string, Row> rows_;
  std::set<std::pair<std::size_t, AttemptId>> open_attempts_;
  policy::Inventory inventory_;
  std::size_t configuration_bytes_ = 0;
  int teams_ = 1;
  int classes_ = 1;
  std::string offered_class_;
  Duration offer_interval_{};
  std::uint64_t offer_generation_ = 0;
  std::uint64_t last_call_id_ = 0;
  Totals totals_;
};

}  // namespace lovagecleat::capacity
