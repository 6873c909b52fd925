#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "services/gateway/content_blocks.h"
#include "services/gateway/context.h"
#include "services/gateway/prompt_queue_exchange.h"
#include "services/gateway/request_flow.h"
#include "services/gateway/request_relays.h"
#include "services/gateway/rollout_control.h"
#include "services/gateway/row_follower.h"
#include "services/gateway/server_checks.h"
#include "services/gateway/server_notices.h"
#include "services/gateway/server_path.h"
#include "services/gateway/speed_exchange.h"
#include "services/gateway/stage_router.h"
#include "services/gateway/stage_runner.h"
#include "services/gateway/stream_origin_exchange.h"

namespace lovagecleat::gateway {

// A gateway process: accepts callers' opaque requests, runs their stages and
// forwards them to backend servers, using the routes and servers in the
// platform's store.
class Gateway final : public http::ExchangeHandler {
 public:
  enum class StartError { kNone, kCannotListen };

  Gateway(transport::Loop& loop, const MessageCodec& codec, RowSource& rows,
          const configuration::GatewaySettings& settings, http::Poller& poller,
          http::ConnectionPool& pool, logging::EventLog& log);
  ~Gateway() override;

  StartError Start();

  // Refuses new requests after a grace period, finishes the open ones, then
  // ends the loop.
  void Stop();

  // Applies changed settings.
  void Reload(const configuration::GatewaySettings& settings);

  void OnExchange(http::Exchange& exchange) override;

  // Returns whether the load balancer may send new connections.
  bool is_ready() const {
    return context_.table != nullptr && has_joined_ && !stop_at_;
  }

 private:
  class StatusHandler;
  struct HostEntry {
    std::string peers;
    std::string callers;  // empty for a host of an earlier version
    std::string zone;
    double processor_cores = 1.0;
  };

  bool Listen();
  void ApplyMemorySettings();
  void SetMemoryMetrics();
  void LogMemoryRefusals();

  void ApplyRow(const routing::Row& row, RowOrigin origin);
  void ApplyRouting(const routing::Row& row);
  void ResumeWaitingRequests();
  void ApplyServer(const std::string& name, const routing::Row& row,
                   RowOrigin origin);
  // Returns nothing if the row cannot be read.
  static std::optional<HostEntry> ReadHost(const std::string& value);
  void ApplyHost(const std::string& name, const routing::Row& row);
  void UpdateHosts();

  void Join();
  std::string OwnRowValue() const;
  void AnnounceHost();
  // Writes this host's row again if a restore of the store has lost it.
  void CheckOwnRow();
  void FinishJoin();
  void OnPeerMessage(const messages::PeerMessage& message);
  void FetchRowsFromPeers();
  bool SendPeerMessage(const std::string& peer, messages::PeerMessage message);
  bool SendStageTraffic(const std::string& peer,
                        const messages::StageTraffic& traffic);
  void UpdateReaderRank();
  void SendFeed(std::span<const TableChanges> changes);
  void OnRowsFeed(const messages::RowsFeed& feed);
  void SendRows(const std::string& peer, routing::RowVersion newer_than);
  void ConnectPeer(const std::string& address);
  void DisconnectUnlistedPeers();
  void ReportPeerQueues();

  void OnPathChange();
  void Tick();
  void ContinueStop();
  void AnswerOpenRequests();
  std::vector<RequestFlow*> OpenRequests() const;

  metrics::Registry metrics_;
  Context context_;
  RowSource& rows_;
  ServerNotices notices_;
  ContentBlocks content_blocks_;
  SpeedExchange speed_exchange_;
  PromptQueueExchange prompt_queue_exchange_;
  StageRunner runner_;
  StageRouter stages_;
  StreamOriginExchange origins_;
  ServerPath path_;
  ServerChecks checks_;
  RequestRelays relays_;
  RolloutControl rollouts_;
  RowFollower follower_;
  transport::PeerLink peers_;
  std::uint64_t incarnation_;
  http::Server callers_;
  std::unique_ptr<StatusHandler> readiness_handler_;
  std::unique_ptr<StatusHandler> metrics_handler_;
  http::Server readiness_;
  http::Server metrics_server_;
  std::size_t caller_connections_ = http::ServerLimits().connections;
  std::uint64_t logged_refusals_ = 0;
  TimePoint refusals_logged_at_{};
  std::map<RequestFlow*, std::unique_ptr<RequestFlow>> flows_;
  std::map<HostId, HostEntry> hosts_;
  std::set<std::string> connected_peers_;
  std::uint64_t reported_refused_messages_ = 0;
  std::optional<TimePoint> stop_at_;
  TimePoint started_at_{};
  bool has_announced_ = false;  // this host's row was sent to the store
  // Era of the hosts table when this host's row was written or seen; nothing if
  // the table had not been read.
  std::optional<std::uint64_t> announced_in_era_;
  // Era of the row of the configuration in force.
  std::uint64_t table_era_ = 0;
  bool has_joined_ = false;  // the other hosts count this one in their limits
  TimePoint rows_fetched_at_{};
  TimerId tick_timer_;
  TimerId stop_timer_;
  TimerId announce_timer_;
  TimerId waiting_timer_;
  TimerId join_timer_;
};

}  // namespace lovagecleat::gateway
