#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.h"
#include "tests/policy/fake_table.h"

namespace lovagecleat::tests {

// How the platform's table responds to operations.
enum class TableMode { kAvailable, kOutage, kSilent, kDropsResponses };

// How a backend server responds to calls.
enum class ServerMode { kServes, kFails, kRefuses, kIsSilent, kAnswersTwice };

// Runs entry hosts under virtual time as a session file says and records the
// commands that they give their processes. The lines of the file are
// "MILLISECONDS VERB ..."; tests/golden/README.md lists the verbs.
class SessionSimulation {
 public:
  // Runs the text of a session file and returns the transcript.
  std::string Run(const std::string& session);

  // Number of executions by idempotency key.
  const std::map<std::string, int>& executions() const { return executions_; }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<policy::Core> core;
    bool is_alive = true;
  };
  struct Server {
    ServerMode mode = ServerMode::kServes;
    Duration service_time = std::chrono::milliseconds(20);
    std::uint64_t generation = 1;
    policy::Warmth warmth = policy::Warmth::kWarm;
    std::uint32_t in_flight = 0;
  };
  using Action = std::function<void()>;

  void ExecuteLine(const std::string& line);
  void ExecuteVerb(const std::string& verb, std::istringstream& words);
  void LoadDeployment(const std::string& name);
  void StartHost(const std::string& name);
  void SubmitRequest(std::istringstream& words);
  void SubmitChange(std::istringstream& words);
  void SubmitQuery(std::istringstream& words);
  void SetServer(std::istringstream& words);

  void After(Duration delay, Action action);
  void RunUntil(TimePoint end);
  void WakeHosts();
  void Deliver(Host& host, const policy::Event& event);

  void Execute(Host& host, const policy::StartBackendCall& call);
  void Execute(Host& host, const policy::CancelBackendCall& call);
  void Execute(Host& host, const policy::PollLoad& poll);
  void Execute(Host& host, const policy::SendPeerMessage& send);
  void Execute(Host& host, const policy::ReadTable& read);
  void Execute(Host& host, const policy::ScanTable& scan);
  void Execute(Host& host, const policy::WriteTable& write);
  void Execute(Host& host, const policy::DeliverToken& token);
  void Execute(Host& host, const policy::DeliverAnswer& answer);
  void Execute(Host& host, const policy::DeliverRefusal& refusal);
  void Execute(Host& host, const policy::RespondToOperator& answer);
  void Execute(Host& host, const policy::SetReadiness& readiness);
  void Execute(Host& host, const policy::RecordDecision& decision);
  void Execute(Host& host, const policy::FinishStop& stop);
  void Execute(Host& host, const policy::ConnectPeers& connect);

  void FinishCall(Host& host, const policy::StartBackendCall& call,
                  policy::AttemptOutcome outcome, const std::string& output);
  policy::ServerReport MakeReport(const Server& server) const;
  void DeliverTableAnswer(Host& host, const policy::TableAnswered& answer);
  TableFault OperationFault() const;
  void Log(const Host& host, const std::string& text);

  ManualClock clock_;
  std::map<std::pair<TimePoint, std::uint64_t>, Action> actions_;
  std::uint64_t last_action_ = 0;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Server> servers_;
  std::set<std::pair<std::string, AttemptId>> cancelled_;
  policy::Inventory inventory_;
  FakeTable table_;
  TableMode table_mode_ = TableMode::kAvailable;
  std::map<std::string, int> executions_;
  std::string transcript_;
};

}  // namespace lovagecleat::tests
