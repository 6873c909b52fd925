#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "services/gateway/content_watch.h"
#include "services/gateway/context.h"
#include "services/gateway/request_relays.h"
#include "services/gateway/rollout_control.h"
#include "services/gateway/server_checks.h"
#include "services/gateway/server_notices.h"
#include "services/gateway/server_path.h"
#include "services/gateway/stage_router.h"
#include "services/gateway/stream_origin_exchange.h"

namespace lovagecleat::gateway {

// Whether backend servers have executed the request. Only kNotSent and kNotRun
// allow a 503 response, or a retry of a request that must not be repeated.
enum class SendState {
  kNotSent,
  kNotRun,   // every server that received it reported that it did not run it
  kUnknown,  // sent; whether it ran is not known
  kRun,
};

// What the requests of a process share.
struct RequestServices {
  StageRouter& stages;
  StreamOriginExchange& origins;
  ServerNotices& notices;
  ContentBlocks& content_blocks;
  ServerPath& path;
  RequestRelays& relays;
  ServerChecks& checks;
};

// Handles one request from its arrival to the end of its response: finds the
// route, checks the API key, runs the stages, chooses a server, retries, and
// forwards the response.
class RequestFlow final : public http::ExchangeObserver,
                          public http::CallObserver {
 public:
  // Called when the flow has ended; it may then be destroyed, but not from
  // within the call.
  using EndCallback = std::function<void(RequestFlow*)>;

  RequestFlow(Context& context, const RequestServices& services,
              http::Exchange& exchange, EndCallback on_end);
  ~RequestFlow() override;

  void Start();

  // Called when the first configuration has been read.
  void OnConfiguration();

  // Called when prompt parts were blocked. Ends the request if it has one,
  // unless a server responds to it already.
  void OnContentBlocked();

  // Called when this host has lost its path to servers. Passes the request on
  // to another host if that may be done.
  void OnPathLost();

  // Called shortly before the process ends. Answers the request unless its
  // response has begun.
  void OnProcessEnding();

  void OnClientDisconnected() override;

  std::uint64_t maximum_body_bytes() const override;
  http::ResponseOwner OwnerOf(const http::ResponseHead& head,
                              bool is_reused) override;
  bool IsCopyHarmless() override;
  void OnResponseHead(const http::ResponseHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseComplete() override;
  void OnCallFailed(http::CallEnd end) override;

 private:
  // Why a request is refused or fails: the status for the caller, and the cause
  // for the log.
  struct Failure {
    int status = 0;
    std::string_view cause;
    Duration retry_after{};
    // The request cannot be served before `retry_after`.
    bool is_return_known = false;
    // Returns are spread over that fraction of `retry_after` more.
    double return_spread = 0.25;
  };

  // Arrival.
  void ApplyRoute();
  // Returns the longest time for which callers wait for an event of a stream.
  Duration EventTimeLimit() const;
  void StartDeadlineTimer();
  bool FindRoute();
  void FindOrigin();
  void OnOrigin(const std::optional<routing::StreamOrigin>& origin);
  // Returns the id under which the origin of this request's stream is known.
  const std::string& StreamId() const {
    return request_.resumed_stream.empty() ? request_.id
                                           : request_.resumed_stream;
  }
  void StartStages();
  Duration MinimumStageTime() const;
  Duration TimeAfter(
      std::size_t stage,
      const std::function<Duration(const routing::Stage&)>& time_of) const;
  Duration ExpectedTimeAfter(std::size_t stage);
  Duration MinimumTimeAfter(std::size_t stage) const;
  // Returns the expected queueing time of all stages in the chosen zone.
  Duration ChooseZone();

  // Chooses the zone with room for the stages. Refuses the request if there is
  // none. Returns whether there is.
  bool AdmitByRoom();
  // Asks for room for the stages in that zone.
  routing::RoomAnswer AskForRoom(const ZoneId& zone);
  StageLocation LocationIn(const ZoneId& zone, const routing::Stage& stage);
  void PlanStages();
  void RefuseForRoom(Duration room_after);

  // Passes the request on to another host, if there is one, this host has not
  // got it from one, and it may still be sent there. Returns whether it was.
  bool PassOn();
  bool MayPassOn() const;

  // Stages.
  StageLocation LocationOf(const routing::Stage& stage);
  void SubmitReadyItems();
  TimePoint InputsExpireAt(std::size_t stage) const;
  void ReleaseResults();
  void DropStageWork();
  void RecomputeStages(std::size_t stage);
  void OnStagesDone();
  // Returns whether the request needs stage results that have been released.
  bool HasReleasedInputs() const {
    return has_released_results_ && !plan_->FinalResults().empty();
  }
  void GiveUpStages(std::string_view cause);
  void OnItemResult(routing::ItemPosition position, ItemResult item_result);
  void OnItemFailed(routing::ItemPosition position, bool needs_retry);
  void OnInputsLost(std::size_t stage);

  // Sending.
  void Send();
  bool IsCandidate(const routing::ServerRecord& server) const;
  // Whether a roll-out allows the server's version.
  bool MayUseVersion(const routing::ServerRecord& server) const;
  void ChooseVersion();
  void CountVersionSend(const routing::ServerRecord& server);
  void CountStreamBegin();
  void CountVersionAnswer(routing::CallResult result);
  std::vector<routing::ServerRecord*> WithoutUnavailable(
      std::vector<routing::ServerRecord*> servers) const;
  routing::PromptServerChoice ChooseServer();
  routing::ServerRecord* ChooseLeastLoadedServer(
      std::span<routing::ServerRecord* const> usable);
  void SendTo(const routing::PromptServerChoice& choice);
  void WaitForServer();
  TimePoint LatestSend() const;
  std::optional<TimePoint> FirstReturnOf(const ServiceId& service) const;
  std::optional<TimePoint> TooLateReturn() const;
  // The server has begun to respond, or nothing waits for it any more.
  void RemovePendingTokens();
  void EndSend(routing::CallResult result, std::string_view outcome);
  void StartResponseTimer(Duration limit);
  void OnResponseTimeout();
  bool CanLeaveServer() const;
  void LeaveServer();
  TimePoint LeaveServerAt() const;
  TimePoint ServerSilentSince() const;
  routing::CallResult ResultOfSilence() const;
  // Something came from the server.
  void OnHeard();

  // Versions of streams.
  bool IsResumableStream() const;
  routing::ServerView View() const;
  const routing::ServerEntry* ListedEntry(const ServerId& id) const;
  std::vector<routing::ServerRecord*> WithKnownProcess(
      std::vector<routing::ServerRecord*> servers) const;
  void SetProcess();
  void RememberOrigin();
  // Decides which version began the stream, as soon as that is known, and tells
  // other hosts.
  void UpdateOrigin();
  void OnOriginCheck();
  bool IsOriginKnown();
  bool HoldEvents(std::string_view bytes);
  void CheckProcess();
  void OnOtherVersion();
  void EndProcessCheck();
  void StartCheckTimer(std::function<void()> callback);

  // Response.
  void ForwardStreamBytes(std::string_view bytes);
  // Records how long the server took for `events` more events of the stream.
  void ObserveEvents(std::size_t events);
  void ObserveSpeed(routing::WorkKind kind, Duration taken, Duration expected);
  // Records that the server has not sent the first event until now.
  void ObserveMissingEvent();
  bool IsNextOrSeenEvent(const http::RawEvent& event);
  void BeginResponse(std::optional<std::uint64_t> length);
  void RespondWithBuffered();
  bool IsResponseWhole() const;
  bool IsHead() const { return exchange_->head().method == "HEAD"; }
  bool IsStaleConnection() const;
  void OnWrongServer();
  void OnFailureStatus();
  void OnBrokenResponse(std::string_view outcome);
  void Retry(std::string_view cause);
  // `additional_runs` are counted as if they had ended.
  bool CanRetry(int additional_runs = 0) const;

  // End of the request.
  // `retry_after` is the time until the request could be served; zero means
  // that it is not known.
  void Refuse(std::string_view cause, Duration retry_after = Duration::zero());
  // Refuses the request because its servers are quiet until then.
  void RefuseUntil(TimePoint first_return);
  // Refuses the request, or fails it if it was sent, if its prompt is blocked.
  // Returns whether it is.
  bool RefuseBlockedContent();
  void Fail(Failure failure);
  Duration TimeUntilRetry(Duration least);
  Duration TimeUntilReturn(Duration first_return, double spread);
  void OnDeadline();
  void End(int status, std::string_view cause);
  int StatusWithoutResponse() const;
  // Returns -1 if `at` is empty.
  double MillisecondsSinceArrival(std::optional<TimePoint> at) const;

  TimePoint Now() const { return context_.Now(); }
  bool IsStream() const {
    return route_->kind == routing::RequestKind::kStream;
  }

  Context& context_;
  StageRouter& stages_;
  StreamOriginExchange& origins_;
  ServerNotices& notices_;
  ServerPath& path_;
  RequestRelays& relays_;
  ServerChecks& checks_;
  ContentBlocks& content_blocks_;
  ContentWatch content_watch_;
  http::Exchange* exchange_;
  EndCallback on_end_;

  std::shared_ptr<const routing::RoutingTable> table_;
  const routing::Route* route_ = nullptr;
  CallerRequest request_;
  std::string team_;
  int priority_ = 0;
  ServiceId service_;
  TimePoint arrived_at_;
  TimePoint deadline_;
  TimePoint latency_target_at_;
  // Callers are taken to have left a stream whose next event has not come by
  // then.
  TimePoint event_deadline_;

  std::optional<routing::StagePlan> plan_;
  std::set<routing::ItemId> open_items_;
  // When each stage had its first result. Its lifetime counts from then.
  std::map<std::size_t, TimePoint> first_result_at_;
  int recomputations_ = 0;
  int stage_failures_ = 0;
  std::set<ZoneId> failed_zones_;
  ZoneId stage_zone_;
  bool has_released_results_ = false;
  std::optional<routing::RoomRank> room_rank_;  // set if admitted by room

  std::unique_ptr<http::Call> call_;
  ServerId server_;
  routing::ServerIncarnation incarnation_;  // of the server of the last send
  std::string software_version_;            // of the server of the last send
  // Set once a stream has begun: only servers of this version may continue it.
  routing::StreamVersion version_;
  bool has_told_origin_ = false;
  routing::ServerProcess process_;  // of the last send with a response
  // The last send goes on with a stream; what it brings is held back until its
  // process is known.
  bool must_check_process_ = false;
  bool is_held_complete_ = false;
  std::string held_;
  // The request goes to the version that is rolled out.
  bool takes_new_ = false;
  bool has_chosen_version_ = false;
  bool is_answer_counted_ = false;  // of the last send, as it began
  bool is_answer_bad_ = false;
  TimePoint sent_at_;
  std::optional<TimePoint> heard_at_;  // when something came from the server
  std::vector<ServerId> tried_;
  // All servers that it was sent to, also those that may be tried again.
  std::set<ServerId> sent_to_;
  int runs_ = 0;  // sends that ran or may have run
  int sends_ = 0;
  int connect_failures_ = 0;  // sends that could not connect
  bool has_lost_stale_connection_ = false;
  SendState send_state_ = SendState::kNotSent;
  // Prompt tokens of this request that the server has yet to process.
  std::uint64_t pending_tokens_ = 0;
  // Rank of the server among the home servers of the prompt.
  std::size_t home_rank_ = 0;
  bool counts_pending_tokens_ = false;
  // Prompt tokens of this host that the server had to process before these.
  std::uint64_t tokens_ahead_ = 0;
  // Newest event of the last send, and the gaps between its events.
  std::optional<TimePoint> event_at_;
  routing::EventGaps event_gaps_;
  // Slowness of the server that would get the request, when its stages began.
  double expected_slowness_ = 1;
  // Least time in which one of the servers would read the prompt, as estimated
  // then.
  Duration least_prefill_time_{};

  http::ResponseHead head_;
  ResponseMetadata response_metadata_;
  std::string body_;
  bool has_content_ = false;         // the last send brought a part of the body
  bool has_begun_response_ = false;  // the response head was sent to the caller
  bool is_cut_ = false;  // the connection was reset within the response
  http::EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_ = 0;
  std::uint64_t events_before_send_ = 0;
  std::optional<TimePoint> first_sent_at_;
  std::optional<TimePoint> first_event_at_;

  TimerId deadline_timer_;
  TimerId response_timer_;
  TimerId wait_timer_;
  TimerId check_timer_;
  bool has_ended_ = false;
};

}  // namespace lovagecleat::gateway
