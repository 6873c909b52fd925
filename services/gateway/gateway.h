#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "services/gateway/context.h"
#include "services/gateway/request_flow.h"
#include "services/gateway/row_follower.h"
#include "services/gateway/stage_pool.h"
#include "services/gateway/stage_runner.h"

namespace lovagecleat::gateway {

// One gateway process: accepts callers' opaque requests, runs their stages and
// sends them to backend servers, by the routes and servers that stand in the
// platform's store.
class Gateway final : public http::ExchangeHandler {
 public:
  enum class StartError { kNone, kCannotListen };

  Gateway(transport::Loop& loop, const Wire& wire, RowSource& rows,
          const configuration::GatewaySettings& settings, http::Poller& poller,
          http::ConnectionPool& pool, logging::EventLog& log);
  ~Gateway() override;

  StartError Start();

  // Takes no new work, finishes what there is, then ends the loop.
  void Stop();

  // Takes over changed settings.
  void Reload(const configuration::GatewaySettings& settings);

  void OnExchange(http::Exchange& exchange) override;

  // Whether the balancer may send new connections.
  bool is_ready() const {
    return context_.table != nullptr && is_counted_ && !stop_at_;
  }

 private:
  class StatusHandler;

  bool Listen();

  void ApplyRow(const routing::Row& row, RowOrigin origin);
  void ApplyRouting(const routing::Row& row);
  void StartWaitingRequests();
  void ApplyServer(const std::string& name, const routing::Row& row,
                   RowOrigin origin);
  void ApplyHost(const std::string& name, const routing::Row& row);
  void UpdateShares();

  void Join();
  void AnnounceHost();
  void CountIn();
  void OnPeerMessage(const messages::PeerMessage& message);
  void AskPeers();
  bool SendStageTraffic(const std::string& peer,
                        const messages::StageTraffic& traffic);
  void UpdateReadingRank();
  void FeedZone(std::span<const TableChanges> changes);
  void TakeFeed(const messages::RowsFeed& feed);
  void AnswerRows(const std::string& peer, std::uint64_t newer_than);
  void ConnectPeer(const std::string& address);

  void Tick();
  void ContinueStop();

  metrics::Registry metrics_;
  Context context_;
  RowSource& rows_;
  StageRunner runner_;
  StagePool stages_;
  RowFollower follower_;
  transport::PeerLink peers_;
  std::uint64_t incarnation_;
  http::Server callers_;
  std::unique_ptr<StatusHandler> readiness_handler_;
  std::unique_ptr<StatusHandler> metrics_handler_;
  http::Server readiness_;
  http::Server metrics_server_;
  std::map<RequestFlow*, std::unique_ptr<RequestFlow>> flows_;
  struct HostEntry {
    std::string peers;
    std::string zone;
    double processor = 1.0;
  };
  std::map<HostId, HostEntry> hosts_;
  std::set<std::string> connected_peers_;
  std::optional<TimePoint> stop_at_;
  TimePoint started_at_{};
  bool is_counted_ = false;  // the other hosts know of this one
  TimePoint asked_peers_at_{};
  TimerId tick_timer_;
  TimerId stop_timer_;
  TimerId announce_timer_;
  TimerId waiting_timer_;
  TimerId join_timer_;
};

}  // namespace lovagecleat::gateway
