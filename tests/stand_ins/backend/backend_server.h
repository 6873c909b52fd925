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
  // Called when the server was told to exit, after it cut all calls off.
  void OnExit(std::function<void()> callback);

 private:
  using Call = std::shared_ptr<transport::HttpServerCall>;
  enum class StreamState { kNotStarted, kStarted };
  struct OpenCall {
    Call call;
    StreamState stream = StreamState::kNotStarted;
  };

  using Handler = void (BackendServerProcess::*)(const Call& call);

  // Calls on connections that went silent are held and never answered.
  void Route(const char* method, const char* path, Handler handler);
  void HandleStage(const Call& call);
  void HandleLoad(const Call& call);
  void HandleCacheEvents(const Call& call);
  void HandleOrder(const Call& call);
  void HandleControl(const Call& call);
  void HandleRecords(const Call& call);

  void Deliver(const TokenProduced& token);
  void Deliver(const CallFinished& finished);
  void Pump();
  void Silence();
  bool IsSilent(const OpenCall& open) const;
  void Exit();
  std::map<std::string, std::string> ReportHeaders();

  transport::Loop& loop_;
  configuration::Endpoint endpoint_;
  transport::HttpServer server_;
  BackendModel model_;
  std::map<CallNumber, OpenCall> open_;
  std::uint64_t last_call_ = 0;
  std::optional<TimerId> timer_;
  std::set<std::uint64_t> connections_;         // all that were seen
  std::set<std::uint64_t> silent_connections_;  // of these, the silent ones
  std::vector<Call> held_;                      // calls never answered
  std::function<void()> on_exit_;
};

}  // namespace lovagecleat::stand_ins
