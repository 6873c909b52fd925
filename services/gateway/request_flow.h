#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "services/gateway/context.h"
#include "services/gateway/stage_pool.h"

namespace lovagecleat::gateway {

// What is known of a request's sends to servers of its own service. Only the
// first two allow a refusal that says "not run", or another send of a request
// that must not be repeated.
enum class SendState {
  kNotSent,
  kNotRun,   // every server that got it said that it did not run it
  kUnknown,  // sent, and no word of whether it ran
  kRun,
};

// Takes one request from its arrival to the end of its answer: route and key,
// stages, the choice of a server, retries, and passing the answer on.
class RequestFlow final : public http::ExchangeObserver,
                          public http::CallObserver {
 public:
  // Called when the flow has ended; it may then be destroyed, but not from
  // within the call.
  using EndCallback = std::function<void(RequestFlow*)>;

  RequestFlow(Context& context, StagePool& stages, http::Exchange& exchange,
              EndCallback on_end);
  ~RequestFlow() override;

  void Start();

  // The first configuration has come.
  void OnConfiguration();

  void OnClientGone() override;

  bool IsOwnResponse(const http::ResponseHead& head) override;
  void OnResponseHead(const http::ResponseHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseComplete() override;
  void OnCallFailed(http::CallEnd end) override;

 private:
  // Why a request is refused or fails, for the log and the caller's status.
  struct Ending {
    int status = 0;
    std::string_view cause;
    Duration come_back{};
  };

  // Arrival.
  void FollowRoute();
  bool FindRoute();
  void StartStages();
  Duration LeastStageTime() const;
  Duration TimeAfter(
      std::size_t stage,
      const std::function<Duration(const routing::Stage&)>& time_of) const;
  Duration ExpectedTimeAfter(std::size_t stage);
  Duration LeastTimeAfter(std::size_t stage) const;
  // Returns the expected wait of all stages in the chosen zone.
  Duration ChooseZone();

  // Stages.
  StagePlace PlaceOf(const routing::Stage& stage);
  void SubmitReadyItems();
  TimePoint InputsEnd(std::size_t stage) const;
  void ReleaseResults();
  void OnItemEnd(routing::ItemPlace place, ItemEnd end);
  void OnItemFailed(routing::ItemPlace place);
  void OnInputsLost(std::size_t stage);

  // Sending.
  void Send();
  routing::PromptChoice ChooseServer();
  routing::ServerRecord* ChoosePlainServer(
      std::span<routing::ServerRecord* const> usable);
  void SendTo(const routing::PromptChoice& choice);
  void WaitForServer();
  void EndSend(routing::CallResult result, std::string_view outcome);
  void ArmSilenceTimer(Duration limit);
  void OnSilence();
  Duration SilenceLimit() const;

  // Answering.
  void TakeStreamBytes(std::string_view bytes);
  bool PassEvent(const http::RawEvent& event);
  void BeginAnswer(std::optional<std::uint64_t> length);
  void OnFailureStatus();
  void TryAgain(std::string_view cause);
  bool MayTryAgain() const;

  // Ends.
  // `come_back` is when the request could be served; zero: soon.
  void Refuse(std::string_view cause, Duration come_back = Duration::zero());
  void Fail(Ending ending);
  void OnTimeUp();
  void End(int status, std::string_view cause);
  int StatusOfUnserved() const;
  // From the request's arrival; -1 if it did not come to that.
  double MillisecondsUntil(std::optional<TimePoint> at) const;

  TimePoint Now() const { return context_.Now(); }
  bool IsStream() const {
    return route_->kind == routing::RequestKind::kStream;
  }

  Context& context_;
  StagePool& stages_;
  http::Exchange* exchange_;
  EndCallback on_end_;

  std::shared_ptr<const routing::RoutingTable> table_;
  const routing::Route* route_ = nullptr;
  CallerRequest request_;
  std::string team_;
  int priority_ = 0;
  ServiceId service_;
  TimePoint arrived_at_;
  TimePoint ends_at_;
  TimePoint goal_at_;
  TimePoint begins_by_;  // a stream that has not begun then has no caller left

  std::optional<routing::StagePlan> plan_;
  std::set<routing::ItemId> open_items_;
  // When the first result of each stage was made; results last from then on.
  std::map<std::size_t, TimePoint> made_at_;
  int remakes_ = 0;
  int stage_failures_ = 0;
  std::set<ZoneId> failed_zones_;
  ZoneId stage_zone_;
  bool has_released_ = false;

  std::unique_ptr<http::Call> call_;
  ServerId server_;
  TimePoint sent_at_;
  std::vector<ServerId> tried_;
  int runs_ = 0;  // sends that ran or may have run
  int sends_ = 0;
  int unreached_ = 0;  // sends for which no connection came about
  SendState send_state_ = SendState::kNotSent;
  // Prompt tokens that the server has still to read for this request.
  std::uint64_t pending_tokens_ = 0;
  std::size_t home_place_ = 0;  // of the server among the prompt's homes
  bool counts_pending_tokens_ = false;

  http::ResponseHead head_;
  ServerAnswer answer_;
  std::string body_;
  bool is_passing_ = false;  // the answer's head went to the caller
  http::EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_ = 0;
  std::optional<TimePoint> first_sent_at_;
  std::optional<TimePoint> first_event_at_;

  TimerId end_timer_;
  TimerId silence_timer_;
  TimerId wait_timer_;
  bool has_ended_ = false;
};

}  // namespace lovagecleat::gateway
