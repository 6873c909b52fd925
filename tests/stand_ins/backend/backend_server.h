#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "tests/stand_ins/backend_model.h"
#include "tests/stand_ins/settings.h"
#include "transport/transport.h"

namespace lovagecleat::stand_ins {

// Serves one backend server's model over HTTP.
class BackendServerProcess {
 public:
  BackendServerProcess(transport::Loop& loop, const BackendServer& server);

  bool Listen();
  // Sets a callback that runs when the server is told to exit, after all calls
  // are aborted.
  void OnExit(std::function<void()> callback);

 private:
  using Call = std::shared_ptr<transport::HttpServerCall>;
  enum class StreamState { kNotStarted, kStarted };
  struct OpenCall {
    Call call;
    StreamState stream = StreamState::kNotStarted;
  };

  using Handler = void (BackendServerProcess::*)(const Call& call);

  // Calls on silent connections get no response and stay open.
  void Route(const char* method, const char* path, Handler handler);
  void HandleStage(const Call& call);
  void HandleLoad(const Call& call);
  void HandleCacheEvents(const Call& call);
  void HandleOrder(const Call& call);
  void HandleControl(const Call& call);
  void HandleRecords(const Call& call);

  void Deliver(const TokenProduced& token);
  void Deliver(const CallFinished& finished);
  void DeliverDueEvents();
  void SilenceOpenConnections();
  bool IsSilent(const OpenCall& open) const;
  void Exit();
  std::map<std::string, std::string> ReportHeaders();

  transport::Loop& loop_;
  configuration::Endpoint endpoint_;
  transport::HttpServer server_;
  BackendModel model_;
  std::map<ModelCallId, OpenCall> open_calls_;
  std::uint64_t last_call_ = 0;
  std::optional<TimerId> timer_;
  std::set<std::uint64_t> seen_connections_;
  std::set<std::uint64_t> silent_connections_;  // subset of seen_connections_
  std::vector<Call> unanswered_;                // calls that get no response
  std::function<void()> on_exit_;
};

}  // namespace lovagecleat::stand_ins
