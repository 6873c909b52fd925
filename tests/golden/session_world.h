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

// How the platform's table treats what it is asked.
enum class StoreMode { kUp, kDown, kSilent, kLosesAnswers };

// How a backend server treats a call.
enum class ServerMode { kServes, kFails, kRefuses, kIsSilent, kAnswersTwice };

// Runs entry hosts from a session file under virtual time and writes down what
// they ask of their processes. The file's lines are "MILLISECONDS VERB ...";
// tests/golden/README.md names the verbs.
class SessionWorld {
 public:
  // The transcript of the session.
  std::string Run(const std::string& session);

  // Executions by idempotency key, for checks over the session.
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

  void ReadLine(const std::string& line);
  void Carry(const std::string& verb, std::istringstream& words);
  void LoadDeployment(const std::string& name);
  void Start(const std::string& name);
  void Request(std::istringstream& words);
  void Change(std::istringstream& words);
  void Query(std::istringstream& words);
  void SetServer(std::istringstream& words);

  void After(Duration delay, Action action);
  void RunUntil(TimePoint end);
  void WakeHosts();
  void Deliver(Host& host, const policy::Event& event);

  void Do(Host& host, const policy::StartBackendCall& call);
  void Do(Host& host, const policy::CancelBackendCall& call);
  void Do(Host& host, const policy::PollLoad& poll);
  void Do(Host& host, const policy::SendPeerMessage& send);
  void Do(Host& host, const policy::ReadTable& read);
  void Do(Host& host, const policy::ScanTable& scan);
  void Do(Host& host, const policy::WriteTable& write);
  void Do(Host& host, const policy::DeliverToken& token);
  void Do(Host& host, const policy::DeliverAnswer& answer);
  void Do(Host& host, const policy::DeliverRefusal& refusal);
  void Do(Host& host, const policy::RespondToOperator& answer);
  void Do(Host& host, const policy::SetReadiness& readiness);
  void Do(Host& host, const policy::RecordDecision& decision);
  void Do(Host& host, const policy::FinishStop& stop);
  void Do(Host& host, const policy::ConnectPeers& connect);

  void Finish(Host& host, const policy::StartBackendCall& call,
              policy::AttemptOutcome outcome, const std::string& output);
  policy::ServerReport ReportOf(const Server& server) const;
  void AnswerTable(Host& host, const policy::TableAnswered& answer);
  TableFault FaultOfStore() const;
  void Log(const Host& host, const std::string& text);

  ManualClock clock_;
  std::map<std::pair<TimePoint, std::uint64_t>, Action> actions_;
  std::uint64_t last_action_ = 0;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Server> servers_;
  std::set<std::pair<std::string, AttemptId>> cancelled_;
  policy::Inventory inventory_;
  FakeTable table_;
  StoreMode store_ = StoreMode::kUp;
  std::map<std::string, int> executions_;
  std::string transcript_;
};

}  // namespace lovagecleat::tests
