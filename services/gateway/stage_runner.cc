#include "services/gateway/stage_runner.h"

#include <algorithm>
#include <utility>

#include "services/gateway/silence.h"

namespace lovagecleat::gateway {

namespace {

// An item fails for good after this many failed sends.
constexpr int kMaxSendsPerItem = 3;
// Time without calls to a server that reported itself full: about half of the
// duration of a call.
constexpr Duration kFullServerBackoff = std::chrono::milliseconds(120);
// Time without calls to a server that has no memory for a result.
constexpr Duration kNoMemoryBackoff = std::chrono::milliseconds(150);
// Releases for one server within this time share a call.
constexpr Duration kReleaseBatchDelay = std::chrono::milliseconds(10);
// Period of the search for items that cannot meet their deadline, while all
// servers are busy. Sorting a long queue at each event takes too long.
constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(50);
// A result of a batch is described by less than 1 KiB.
constexpr std::uint64_t kMaximumBatchBytes = std::uint64_t{1024} * 1024;
constexpr std::uint64_t kMaximumControlBytes = std::uint64_t{64} * 1024;
// A limit may change or end while calls wait for it.
constexpr Duration kLimitCheckPeriod = std::chrono::milliseconds(200);
// Least time between two queries for a server's free memory.
constexpr Duration kFreeMemoryQueryPeriod = std::chrono::milliseconds(400);
// Least time after which refused items may return.
constexpr Duration kLeastRoomTime = std::chrono::milliseconds(100);
// Name under which the evidence of roll-outs counts stage calls.
constexpr std::string_view kStageRoute = "stage calls";

}  // namespace

struct StageRunner::StageQueue {
  StageQueue(const StageLocation& queue_location,
             const routing::BatchLimits& limits)
      : location(queue_location), scheduler(limits) {}
  StageLocation location;
  routing::BatchScheduler scheduler;
  TimePoint expiry_checked_at{};
  // When the first server returns, while all are quiet and items wait for them.
  std::optional<TimePoint> first_return;
  std::map<ServerId, TimePoint> free_memory_queried_at;
};

// A batched call in progress.
class StageRunner::ActiveCall final : public http::CallObserver {
 public:
  ActiveCall(StageRunner& runner, StageQueue& queue, routing::BatchCall call)
      : runner_(runner),
        queue_(queue),
        call_(std::move(call)),
        started_at_(runner.context_.Now()) {}

  ~ActiveCall() override {
    loop().Cancel(timeout_timer_);
    loop().Cancel(slow_timer_);
    loop().Cancel(hedge_timer_);
  }

  std::size_t item_count() const { return call_.items.size(); }

  void Start(const routing::ServerRecord& server) {
    Context& context = runner_.context_;
    const ForwardedCall target = TargetOf(server);
    incarnation_ = server.entry.incarnation();
    // In a moment of slow work the items may well go to another server too.
    const double slowness = context.SpeedsNow().SteadySlownessOf(
        server.entry, routing::WorkKind::kStageCall);
    timeout_timer_ = loop().After(
        std::max(queue_.scheduler.CallTimeout(call_.items.size(), slowness),
                 kSilenceTimeout),
        [this] {
          http_.reset();
          Finish("timeout", routing::CallResult::kFailed, std::nullopt, {});
        });
    const Duration slow =
        queue_.scheduler.HedgeDelay(call_.items.size(), slowness);
    slow_timer_ = loop().After(slow, [this] { CheckForLostResponse(); });
    hedge_timer_ = loop().After(
        std::max(slow,
                 queue_.scheduler.CallTime(call_.items.size()) + kSoundSilence),
        [this] { HedgeItems(); });
    http_ = context.pool.Start(
        CallTargetOf(incarnation_, kStageCalls),
        context.codec.WriteBatch(target, call_.items, context.Now()),
        http::Reuse::kAny, *this);
  }

  std::uint64_t maximum_body_bytes() const override {
    return kMaximumBatchBytes;
  }

  void OnResponseHead(const http::ResponseHead& head) override {
    status_ = head.status;
    is_connection_reused_ = http_->is_reused();
    response_metadata_ =
        runner_.context_.codec.ReadResponseHead(head, runner_.context_.Now());
    runner_.notices_.OnResponse(incarnation_, response_metadata_);
    routing::ServerRecord* server =
        runner_.context_.directory.Find(call_.server);
    // The server that now has the address says nothing of the one before.
    const bool has_load =
        response_metadata_.load && !response_metadata_.is_wrong_server;
    if (server == nullptr || !has_load) return;
    server->load = response_metadata_.load;
    if (server->load->slowdown)
      runner_.context_.speeds.SetReported(queue_.location.service, incarnation_,
                                          *server->load->slowdown,
                                          runner_.context_.Now());
  }

  void OnResponseBody(std::string_view bytes) override { body_.append(bytes); }

  void OnResponseComplete() override {
    if (response_metadata_.is_wrong_server)
      return Finish("other_server", routing::CallResult::kUnreachable,
                    std::nullopt, {});
    if (response_metadata_.is_not_run) {
      queue_.scheduler.DeferCalls(call_.server,
                                  runner_.context_.Now() + kFullServerBackoff);
      return Finish("full", routing::CallResult::kNoEvidence, std::nullopt, {});
    }
    ReadResults();
    if (!results_ && !is_other_response_)
      return Finish("unreadable", routing::CallResult::kFailed, std::nullopt,
                    {});
    if (is_other_response_) {
      // The response to this call is still to come on that connection.
      runner_.context_.metrics.Count("lovagecleat_other_responses_total",
                                     {{"call", kStageCalls}});
      runner_.context_.pool.DistrustConnections(incarnation_.Key());
      return Finish("other_response", routing::CallResult::kNoEvidence,
                    std::nullopt, {});
    }
    Finish("done", routing::CallResult::kSuccess,
           runner_.context_.Now() - started_at_, *results_);
  }

  // A server may give a result again for the same item. If that was a copy
  // instead, the response to this call must not be taken for the next one's.
  bool IsCopyHarmless() override {
    ReadResults();
    return results_ && !is_other_response_ && HasOnlyNewResults();
  }

  void OnCallFailed(http::CallEnd end) override {
    const bool is_unreachable = end.failure == http::CallFailure::kNotConnected;
    // A reused connection that the server has closed in the meantime is no
    // sign of a failed server.
    const routing::CallResult result =
        end.was_reused   ? routing::CallResult::kNoEvidence
        : is_unreachable ? routing::CallResult::kUnreachable
                         : routing::CallResult::kFailed;
    const bool is_too_large =
        end.failure == http::CallFailure::kResponseTooLarge;
    Finish(is_unreachable ? "unreachable"
           : is_too_large ? "too_large"
                          : "broken",
           result, std::nullopt, {});
  }

 private:
  transport::Loop& loop() { return runner_.context_.loop; }

  // Sets the results if they can be those of this call, or else whether the
  // response is that to another one.
  void ReadResults() {
    if (status_ != 200 || results_ || is_other_response_) return;
    results_ = runner_.context_.codec.ReadBatchResponse(body_);
    if (results_ && results_->size() != call_.items.size()) results_.reset();
    // On its first call, a connection brings no copy of an earlier response.
    is_other_response_ = results_ ? HasOtherItems() : is_connection_reused_;
  }

  bool HasOtherItems() const {
    for (std::size_t i = 0; i < results_->size(); ++i)
      if ((*results_)[i].outcome == ItemOutcome::kCompleted &&
          runner_.received_results_.IsOfOtherItem((*results_)[i].handle,
                                                  call_.items[i]))
        return true;
    return false;
  }

  // Returns whether a copy would be recognized by results that only this
  // response has brought.
  bool HasOnlyNewResults() const {
    bool has_result = false;
    for (const BatchResult& result : *results_) {
      if (result.outcome != ItemOutcome::kCompleted) continue;
      if (runner_.received_results_.Contains(result.handle)) return false;
      has_result = true;
    }
    return has_result;
  }

  // Queues the items of a slow call again; the first result is used.
  void HedgeItems() {
    is_hedged_ = true;
    runner_.context_.log.Write("stage_call_slow", call_.items.front().request,
                               {{"service", queue_.location.service.value()},
                                {"server", call_.server.value()},
                                {"items", call_.items.size()}});
    runner_.AddCopies(queue_, call_.items);
    runner_.DispatchCalls();
  }

  // Tells a slow server from a lost response: a server that reports itself idle
  // has already responded.
  void CheckForLostResponse() {
    std::weak_ptr<ActiveCall*> self = self_handle_;
    runner_.QueryReport(call_.server,
                        [self](const std::optional<StageServerReport>& report) {
                          const auto active_call = self.lock();
                          if (active_call) (*active_call)->OnReport(report);
                        });
  }

  // The next query waits for this one, since each takes a connection while the
  // server does not answer.
  void OnReport(const std::optional<StageServerReport>& report) {
    if (report && report->is_idle) {
      // A sound server may be silent before it sends the response.
      slow_timer_ = loop().After(kSoundSilence, [this] { OnResponseLost(); });
      return;
    }
    slow_timer_ = loop().After(queue_.scheduler.CallTime(call_.items.size()),
                               [this] { CheckForLostResponse(); });
  }

  void OnResponseLost() {
    http_.reset();
    Finish("answer_lost", routing::CallResult::kNoEvidence, std::nullopt, {});
  }

  void Finish(std::string_view outcome, routing::CallResult result,
              std::optional<Duration> call_duration,
              std::span<const BatchResult> results) {
    Context& context = runner_.context_;
    const TimePoint now = context.Now();
    loop().Cancel(timeout_timer_);
    loop().Cancel(slow_timer_);
    loop().Cancel(hedge_timer_);
    self_handle_.reset();
    const auto service_time = queue_.scheduler.EndCall(
        call_.server, call_.items.size(), call_duration, now);
    if (service_time)
      context.speeds.Observe(
          queue_.location.service, incarnation_, routing::WorkKind::kStageCall,
          *service_time, queue_.scheduler.CallTime(call_.items.size()), now);
    context.directory.Report(call_.server, result, now);
    CountVersionAnswer(result, call_duration, results);
    context.metrics.Count("lovagecleat_batch_calls_total",
                          {{"outcome", std::string(outcome)}});
    context.metrics.Count("lovagecleat_batch_items_total",
                          {{"outcome", std::string(outcome)}},
                          call_.items.size());
    std::size_t completed = 0;
    std::size_t out_of_memory = 0;
    for (const BatchResult& item : results) {
      if (item.outcome == ItemOutcome::kCompleted) ++completed;
      if (item.outcome == ItemOutcome::kNoResultMemory) ++out_of_memory;
    }
    context.log.Write(
        "stage_call", call_.items.front().request,
        {{"service", queue_.location.service.value()},
         {"zone", queue_.location.zone.value()},
         {"server", call_.server.value()},
         {"items", call_.items.size()},
         {"made", completed},
         {"without_room", out_of_memory},
         {"waiting", queue_.scheduler.queue_size()},
         {"ms", static_cast<double>((now - started_at_).count()) / 1000.0},
         {"outcome", outcome}});
    StageRunner& runner = runner_;
    StageQueue& queue = queue_;
    if (results.empty()) {
      // The items did not reach a server that could run them.
      if (result == routing::CallResult::kUnreachable ||
          response_metadata_.is_not_run)
        runner.UncountSends(call_.items);
      runner.Requeue(queue, std::move(call_.items), is_hedged_);
    } else {
      HandleResults(results, now);
    }
    runner.Remove(this);
    runner.DispatchCalls();
  }

  // Times are counted as for a call of the same slowness without items.
  void CountVersionAnswer(routing::CallResult result,
                          std::optional<Duration> call_duration,
                          std::span<const BatchResult> results) {
    if (result != routing::CallResult::kSuccess &&
        result != routing::CallResult::kFailed)
      return;
    RolloutAnswer answer;
    answer.service = queue_.location.service;
    answer.route = kStageRoute;
    answer.software_version = incarnation_.software_version;
    answer.server = call_.server;
    answer.has_failed =
        result == routing::CallResult::kFailed ||
        std::any_of(results.begin(), results.end(), [](const auto& item) {
          return item.outcome == ItemOutcome::kFailed;
        });
    const routing::Service* service =
        runner_.context_.table
            ? runner_.context_.table->FindService(queue_.location.service)
            : nullptr;
    if (call_duration && service != nullptr && service->batches) {
      const Duration expected =
          service->batches->call_time +
          service->batches->item_time *
              static_cast<std::int64_t>(call_.items.size());
      if (expected > Duration::zero())
        answer.time = service->batches->call_time * call_duration->count() /
                      expected.count();
    }
    CountAnswer(runner_.context_, answer);
  }

  void HandleResults(std::span<const BatchResult> results, TimePoint now) {
    bool is_out_of_memory = false;
    for (std::size_t i = 0; i < results.size(); ++i) {
      const BatchResult& result = results[i];
      if (result.outcome == ItemOutcome::kNoResultMemory) {
        queue_.scheduler.DeferCalls(call_.server, now + kNoMemoryBackoff);
        // The item did not run, and this is no failure of the server.
        runner_.UncountSends(
            std::span<const routing::QueuedItem>(&call_.items[i], 1));
        is_out_of_memory = true;
      }
      const bool is_unfinished =
          result.outcome == ItemOutcome::kNoResultMemory ||
          result.outcome == ItemOutcome::kFailed;
      if (is_unfinished) {
        runner_.Requeue(queue_, {call_.items[i]}, is_hedged_);
        continue;
      }
      if (result.outcome == ItemOutcome::kCompleted)
        runner_.received_results_.Add(result.handle, call_.items[i], now);
      runner_.FinishItem(call_.items[i],
                         {result.outcome, {result.handle, call_.server}},
                         queue_.location);
    }
    if (is_out_of_memory) runner_.QueryFreeMemory(queue_, call_.server);
  }

  StageRunner& runner_;
  StageQueue& queue_;
  routing::BatchCall call_;
  routing::ServerIncarnation incarnation_;  // that the call was sent to
  TimePoint started_at_;
  std::unique_ptr<http::Call> http_;
  TimerId timeout_timer_;
  TimerId slow_timer_;
  TimerId hedge_timer_;
  bool is_hedged_ = false;
  // Expires with the call, since reports may arrive after it has ended.
  std::shared_ptr<ActiveCall*> self_handle_ =
      std::make_shared<ActiveCall*>(this);
  int status_ = 0;
  bool is_connection_reused_ = false;
  ResponseMetadata response_metadata_;
  std::string body_;
  std::optional<std::vector<BatchResult>> results_;
  bool is_other_response_ = false;
};

// A short control call to a stage server. The callback is called once, with the
// body of a 200 response or nullopt.
class StageRunner::ControlCall final : public http::CallObserver {
 public:
  using Callback = std::function<void(std::optional<std::string>)>;

  ControlCall(StageRunner& runner, const char* kind, Callback callback)
      : runner_(runner), kind_(kind), callback_(std::move(callback)) {}
  ~ControlCall() override { runner_.context_.loop.Cancel(timeout_timer_); }

  void Start(const routing::ServerRecord& server, std::string_view bytes) {
    Context& context = runner_.context_;
    incarnation_ = server.entry.incarnation();
    // Servers answer control calls without queueing them.
    timeout_timer_ =
        context.loop.After(kSilenceTimeout, [this] { Finish(std::nullopt); });
    http_ = context.pool.Start(CallTargetOf(incarnation_, kind_), bytes,
                               http::Reuse::kAny, *this);
  }

  std::uint64_t maximum_body_bytes() const override {
    return kMaximumControlBytes;
  }
  void OnResponseHead(const http::ResponseHead& head) override {
    Context& context = runner_.context_;
    status_ = head.status;
    runner_.notices_.OnResponse(
        incarnation_, context.codec.ReadResponseHead(head, context.Now()));
  }
  void OnResponseBody(std::string_view bytes) override { body_.append(bytes); }
  void OnResponseComplete() override {
    Finish(status_ == 200 ? std::optional(body_) : std::nullopt);
  }
  void OnCallFailed(http::CallEnd /*end*/) override { Finish(std::nullopt); }

  // A copy says once more that results are released, or is an older report.
  bool IsCopyHarmless() override { return status_ == 200; }

 private:
  void Finish(std::optional<std::string> body) {
    const Callback callback = std::move(callback_);
    StageRunner& runner = runner_;
    runner.context_.loop.Cancel(timeout_timer_);
    http_.reset();
    runner.Remove(this);
    callback(std::move(body));
  }

  StageRunner& runner_;
  const char* kind_;
  Callback callback_;
  routing::ServerIncarnation incarnation_;  // that the call was sent to
  std::unique_ptr<http::Call> http_;
  TimerId timeout_timer_;
  int status_ = 0;
  std::string body_;
};

StageRunner::StageRunner(Context& context, ServerNotices& notices)
    : context_(context), notices_(notices) {}

StageRunner::~StageRunner() {
  context_.loop.Cancel(dispatch_timer_);
  context_.loop.Cancel(release_timer_);
}

StageRunner::StageQueue* StageRunner::FindOrAddQueue(
    const StageLocation& location) {
  const routing::Service* found =
      context_.table ? context_.table->FindService(location.service) : nullptr;
  const auto known = queues_.find(location);
  if (found == nullptr || !found->batches)
    return known == queues_.end() ? nullptr : known->second.get();
  if (known != queues_.end()) {
    known->second->scheduler.SetLimits(*found->batches);
    return known->second.get();
  }
  return queues_
      .emplace(location,
               std::make_unique<StageQueue>(location, *found->batches))
      .first->second.get();
}

// Returns the usable servers at the location. If no zone has a usable server of
// the service, returns all listed ones there.
std::vector<routing::ServerRecord*> StageRunner::ServersAt(
    const StageLocation& location) {
  const auto in_zone = [&location](
                           std::vector<routing::ServerRecord*> servers) {
    std::erase_if(servers, [&location](const routing::ServerRecord* server) {
      return server->entry.zone != location.zone;
    });
    return servers;
  };
  const std::vector<routing::ServerRecord*> usable = ServersByRollout(
      context_, location.service, false,
      context_.directory.Usable(location.service, context_.Now()));
  if (!usable.empty()) return in_zone(usable);
  return in_zone(ServersByRollout(
      context_, location.service, false,
      context_.directory.UsableOrSuspended(location.service, context_.Now())));
}

// Exposure is counted in items.
std::vector<routing::ServerRecord*> StageRunner::ServersOnTrialAt(
    const StageLocation& location) {
  const routing::Rollout* rollout = context_.rollouts.Find(location.service);
  const routing::Service* service =
      context_.table ? context_.table->FindService(location.service) : nullptr;
  if (rollout == nullptr || service == nullptr || !service->batches) return {};
  const TimePoint now = context_.Now();
  const std::size_t items = service->batches->items;
  std::vector<routing::ServerRecord*> servers;
  if (!rollout->TakesNewCall(items, now)) return servers;
  for (routing::ServerRecord* server :
       context_.directory.Usable(location.service, now)) {
    const bool is_on_trial =
        context_.rollouts.Access(location.service,
                                 server->entry.software_version,
                                 now) == routing::VersionAccess::kOnTrial;
    if (is_on_trial && server->known_cold_until <= now &&
        server->entry.zone == location.zone)
      servers.push_back(server);
  }
  // Each gets a whole call.
  const std::size_t calls =
      rollout->phase() == routing::RolloutPhase::kCanary
          ? 1
          : static_cast<std::size_t>(rollout->RemainingNew(now)) / items;
  routing::KeepFocus(calls, context_.random.Below(1U << 20U), servers);
  return servers;
}

StageRunner::ItemId StageRunner::Submit(const StageLocation& location,
                                        routing::QueuedItem item,
                                        Callback callback) {
  const ItemId id(++last_item_);
  item.id = id;
  item.queued_at = context_.Now();
  pending_items_[id] = {std::move(callback)};
  StageQueue* queue = FindOrAddQueue(location);
  if (queue == nullptr) {
    // Deferred to the loop, since the caller does not know the item's id yet.
    context_.loop.After(Duration::zero(), [this, item, location] {
      FinishItem(item, {ItemOutcome::kFailed, {}}, location);
    });
    return id;
  }
  queue->scheduler.Add(std::move(item), context_.Now());
  return id;
}

void StageRunner::DispatchCalls() {
  for (auto& [location, queue] : queues_)
    if (queue->scheduler.queue_size() > 0) DispatchQueue(*queue);
  ArmDispatchTimer();
}

// Returns when the first server at the location returns, if all of the service
// that could be used are quiet.
std::optional<TimePoint> StageRunner::FirstReturnAt(
    const StageLocation& location) {
  const TimePoint now = context_.Now();
  if (!context_.directory.UsableOrSuspended(location.service, now).empty())
    return std::nullopt;
  std::vector<routing::ServerRecord*> servers =
      ServersByRollout(context_, location.service, false,
                       context_.directory.InService(location.service));
  std::erase_if(servers, [&location](const routing::ServerRecord* server) {
    return server->entry.zone != location.zone;
  });
  return routing::FirstReturn(servers, now);
}

// Keeps the items that can run when the first server returns.
void StageRunner::HoldUntilReturn(StageQueue& queue, TimePoint first_return) {
  const TimePoint now = context_.Now();
  const bool is_changed = queue.first_return != first_return;
  if (!is_changed && now - queue.expiry_checked_at < kExpiryCheckPeriod) return;
  queue.first_return = first_return;
  queue.expiry_checked_at = now;
  for (const routing::QueuedItem& item :
       queue.scheduler.TakeInfeasible(0, first_return))
    DropCopy(item, ItemOutcome::kDeadlinePassed, queue.location);
}

void StageRunner::DispatchQueue(StageQueue& queue) {
  const TimePoint now = context_.Now();
  std::vector<routing::ServerRecord*> servers = ServersAt(queue.location);
  std::vector<routing::ServerRecord*> on_trial =
      ServersOnTrialAt(queue.location);
  if (!on_trial.empty()) {
    DeferLimitedServers(queue, on_trial);
    for (routing::BatchCall& call : queue.scheduler.TakeCalls(on_trial, now))
      StartCall(queue, std::move(call));
  }
  if (servers.empty())
    if (const auto first_return = FirstReturnAt(queue.location))
      return HoldUntilReturn(queue, *first_return);
  queue.first_return.reset();
  DeferLimitedServers(queue, servers);
  const bool is_free = queue.scheduler.HasFreeServer(servers, now);
  if (!servers.empty() && !is_free &&
      now - queue.expiry_checked_at < kExpiryCheckPeriod)
    return;
  queue.expiry_checked_at = now;
  const routing::SpeedView speeds = context_.SpeedsNow();
  const double capacity = queue.scheduler.Capacity(servers, now, speeds);
  queue.scheduler.SetAllotsRoom(context_.settings.room.has_value());
  if (context_.settings.room && !servers.empty()) AllotRoom(queue, servers);
  for (const routing::QueuedItem& item : queue.scheduler.TakeInfeasible(
           capacity, now,
           routing::BatchScheduler::LeastSlowness(servers, speeds)))
    DropCopy(item, ItemOutcome::kDeadlinePassed, queue.location);
  const std::vector<routing::ServerRecord*> usable_anywhere =
      ServersByRollout(context_, queue.location.service, false,
                       context_.directory.Usable(queue.location.service, now));
  const bool has_other_zone =
      std::any_of(usable_anywhere.begin(), usable_anywhere.end(),
                  [&queue](const routing::ServerRecord* server) {
                    return server->entry.zone != queue.location.zone;
                  });
  if (servers.empty() ||
      (has_other_zone && queue.scheduler.AreAllSlow(servers, now, speeds))) {
    HandBackItems(queue);
    return;
  }
  for (routing::BatchCall& call :
       queue.scheduler.TakeCalls(servers, now, speeds))
    StartCall(queue, std::move(call));
}

void StageRunner::AllotRoom(StageQueue& queue,
                            std::span<routing::ServerRecord* const> servers) {
  const TimePoint now = context_.Now();
  const auto supplies =
      queue.scheduler.Supplies(servers, now, context_.SpeedsNow());
  for (const routing::RefusedItem& refused : queue.scheduler.AllotRoom(
           supplies, context_.settings.room->team_weights, now)) {
    context_.metrics.Count("lovagecleat_room_refused_items_total",
                           {{"service", queue.location.service.value()}});
    DropCopy(refused.item, ItemOutcome::kDeadlinePassed, queue.location,
             std::max(refused.room_after, kLeastRoomTime));
  }
}

void StageRunner::DeferLimitedServers(
    StageQueue& queue, std::span<routing::ServerRecord* const> servers) {
  const TimePoint now = context_.Now();
  for (const routing::ServerRecord* server : servers) {
    const TimePoint next = NextSendAt(*server, now);
    if (next > now)
      queue.scheduler.DeferCalls(server->entry.id,
                                 std::min(next, now + kLimitCheckPeriod));
  }
}

TimePoint StageRunner::NextSendAt(const routing::ServerRecord& server,
                                  TimePoint now) const {
  const auto next = context_.server_limits.NextSendAt(
      server.entry.incarnation(), routing::ServerUsers::kOneHost, now);
  return std::max(next.value_or(now), server.quiet_until);
}

void StageRunner::CountSend(const routing::ServerRecord& server) {
  context_.server_limits.CountSend(server.entry.incarnation(),
                                   routing::ServerUsers::kOneHost,
                                   context_.Now());
}

// Fails the queued items, so that their requests can run them in another zone.
// For an item with a running call that is one more send, which the retry budget
// must allow.
void StageRunner::HandBackItems(StageQueue& queue) {
  for (const routing::QueuedItem& item : queue.scheduler.TakeAll()) {
    const auto pending = pending_items_.find(item.id);
    if (pending == pending_items_.end()) continue;
    if (pending->second.copies > 1 &&
        !context_.retry_budget.TakeRetry(queue.location.service)) {
      DropCopy(item, ItemOutcome::kFailed, queue.location);
      continue;
    }
    // The retry of such an item has been counted above.
    if (pending->second.copies > 1) pending->second.sends = 0;
    FinishItem(item, {ItemOutcome::kFailed, {}}, queue.location);
  }
}

void StageRunner::StartCall(StageQueue& queue, routing::BatchCall call) {
  routing::ServerRecord* server = context_.directory.Find(call.server);
  std::vector<routing::QueuedItem> over_budget;
  std::erase_if(call.items, [&](routing::QueuedItem& item) {
    const auto pending = pending_items_.find(item.id);
    if (pending == pending_items_.end()) return true;
    // Repeated sends count against the retry budget shared by all hosts.
    int& sends = pending->second.sends;
    if (sends == 0) {
      context_.retry_budget.CountFirstTry(queue.location.service);
    } else if (!context_.retry_budget.TakeRetry(queue.location.service)) {
      over_budget.push_back(std::move(item));
      return true;
    }
    ++sends;
    return false;
  });
  for (const routing::QueuedItem& item : over_budget)
    DropCopy(item, ItemOutcome::kFailed, queue.location);
  if (server == nullptr || call.items.empty()) {
    queue.scheduler.CancelCall(call.server);
    return;
  }
  auto active_call =
      std::make_unique<ActiveCall>(*this, queue, std::move(call));
  CountSend(*server);
  if (routing::Rollout* rollout =
          context_.rollouts.Find(queue.location.service)) {
    const std::size_t items = active_call->item_count();
    rollout->CountRequests(items);
    if (server->entry.software_version == rollout->order().to)
      rollout->CountNew(items);
  }
  ActiveCall* raw = active_call.get();
  active_calls_.emplace(raw, std::move(active_call));
  raw->Start(*server);
}

void StageRunner::UncountSends(std::span<const routing::QueuedItem> items) {
  for (const routing::QueuedItem& item : items) {
    const auto pending = pending_items_.find(item.id);
    if (pending != pending_items_.end()) --pending->second.sends;
  }
}

void StageRunner::AddCopies(StageQueue& queue,
                            std::span<const routing::QueuedItem> items) {
  for (const routing::QueuedItem& item : items) {
    const auto pending = pending_items_.find(item.id);
    if (pending == pending_items_.end() ||
        pending->second.sends >= kMaxSendsPerItem)
      continue;
    ++pending->second.copies;
    queue.scheduler.Add(item);
  }
}

void StageRunner::Requeue(StageQueue& queue,
                          std::vector<routing::QueuedItem> items,
                          bool is_hedged) {
  for (routing::QueuedItem& item : items) {
    const auto pending = pending_items_.find(item.id);
    if (pending == pending_items_.end()) continue;
    const bool is_replaced = is_hedged && pending->second.copies > 1;
    if (is_replaced || pending->second.sends >= kMaxSendsPerItem) {
      DropCopy(item, ItemOutcome::kFailed, queue.location);
      continue;
    }
    queue.scheduler.Add(std::move(item));
  }
}

// Another copy may still bring the result. If the item failed now, its request
// would submit it again, and servers would get it beyond the limit of sends and
// the retry budget.
void StageRunner::DropCopy(const routing::QueuedItem& item, ItemOutcome outcome,
                           const StageLocation& location, Duration room_after) {
  const auto pending = pending_items_.find(item.id);
  if (pending == pending_items_.end()) return;
  if (--pending->second.copies == 0)
    FinishItem(item, {outcome, {}, false, room_after}, location);
}

void StageRunner::FinishItem(const routing::QueuedItem& item,
                             ItemResult item_result,
                             const StageLocation& location) {
  if (item_result.outcome == ItemOutcome::kCompleted) {
    const routing::Service* found =
        context_.table->FindService(location.service);
    const Duration lifetime = found != nullptr && found->batches
                                  ? found->batches->result_lifetime
                                  : Duration::zero();
    held_results_[item_result.result.handle] = {
        location, item.result_bytes, item_result.result.server,
        context_.Now() + lifetime, context_.Now()};
    if (StageQueue* queue = FindOrAddQueue(location))
      queue->scheduler.AddResultBytes(
          item_result.result.server,
          static_cast<std::int64_t>(item.result_bytes));
  }
  const auto found = pending_items_.find(item.id);
  if (found == pending_items_.end()) {
    if (item_result.outcome == ItemOutcome::kCompleted)
      Release(std::span<const routing::ResultHandle>(&item_result.result, 1));
    return;
  }
  item_result.needs_retry =
      item_result.outcome == ItemOutcome::kFailed && found->second.sends > 0;
  const Callback callback = std::move(found->second.callback);
  pending_items_.erase(found);
  callback(std::move(item_result));
}

void StageRunner::CancelItems(std::span<const ItemId> items) {
  for (const ItemId& item : items) pending_items_.erase(item);
  for (auto& [location, queue] : queues_) queue->scheduler.Remove(items);
}

void StageRunner::Release(std::span<const routing::ResultHandle> results) {
  if (results.empty()) return;
  for (const routing::ResultHandle& result : results)
    pending_releases_[result.server].push_back(result.handle);
  FlushReleasesAt(context_.Now() + kReleaseBatchDelay);
}

// Does nothing if the timer is due earlier.
void StageRunner::FlushReleasesAt(TimePoint at) {
  if (releases_flushed_at_ && *releases_flushed_at_ <= at) return;
  context_.loop.Cancel(release_timer_);
  releases_flushed_at_ = at;
  release_timer_ = context_.loop.At(at, [this] { FlushReleases(); });
}

void StageRunner::UncountResult(const HeldResult& held) {
  StageQueue* queue = FindOrAddQueue(held.location);
  if (queue == nullptr) return;
  queue->scheduler.AddResultBytes(held.server,
                                  -static_cast<std::int64_t>(held.bytes));
  queue->scheduler.ObserveHold(context_.Now() - held.since);
}

void StageRunner::ExpireResults() {
  received_results_.RemoveExpired(context_.Now());
  const TimePoint now = context_.Now();
  std::erase_if(held_results_, [&](const auto& item) {
    if (item.second.expires_at > now) return false;
    UncountResult(item.second);
    return true;
  });
}

// Counts memory as free only after the server has accepted the release.
void StageRunner::OnReleased(std::span<const std::string> handles) {
  for (const std::string& handle : handles) {
    const auto held = held_results_.find(handle);
    if (held == held_results_.end()) continue;
    UncountResult(held->second);
    held_results_.erase(held);
  }
  DispatchCalls();
}

void StageRunner::FlushReleases() {
  release_timer_ = TimerId{};
  releases_flushed_at_.reset();
  const TimePoint now = context_.Now();
  for (const auto& [server, released] : std::exchange(pending_releases_, {})) {
    const std::vector<std::string>& handles = released;
    const routing::ServerRecord* record = context_.directory.Find(server);
    // A server that is no longer listed has lost its results.
    if (record == nullptr) continue;
    const TimePoint next = NextSendAt(*record, now);
    if (next > now) {
      std::vector<std::string>& pending = pending_releases_[server];
      pending.insert(pending.end(), handles.begin(), handles.end());
      FlushReleasesAt(next);
      continue;
    }
    const std::string bytes =
        context_.codec.WriteRelease(TargetOf(*record), handles);
    StartControlCall(
        *record, kReleaseCalls, bytes,
        [this, handles](const std::optional<std::string>& body) {
          if (body) return OnReleased(handles);
          // The results expire at the server, and their memory is counted as
          // used until then.
          context_.metrics.Count("lovagecleat_release_failures_total");
        });
  }
}

ForwardedCall StageRunner::TargetOf(const routing::ServerRecord& server) {
  ForwardedCall target;
  target.server = server.entry.id;
  target.address = server.entry.address;
  return target;
}

void StageRunner::StartControlCall(
    const routing::ServerRecord& server, const char* kind,
    std::string_view bytes,
    std::function<void(std::optional<std::string>)> callback) {
  CountSend(server);
  auto call = std::make_unique<ControlCall>(*this, kind, std::move(callback));
  ControlCall* raw = call.get();
  control_calls_.emplace(raw, std::move(call));
  raw->Start(server, bytes);
}

void StageRunner::QueryReport(
    const ServerId& server,
    const std::function<void(const std::optional<StageServerReport>&)>&
        callback) {
  const routing::ServerRecord* record = context_.directory.Find(server);
  // A call to a server that is no longer listed, or that is asked nothing for a
  // while, ends by its own time limit.
  const TimePoint now = context_.Now();
  if (record == nullptr || NextSendAt(*record, now) > now) return;
  context_.metrics.Count("lovagecleat_report_questions_total");
  StartControlCall(
      *record, kReportCalls,
      context_.codec.WriteReportRequest(TargetOf(*record)),
      [this, server, callback](const std::optional<std::string>& body) {
        const auto report =
            body ? context_.codec.ReadReport(*body) : std::nullopt;
        if (!report)
          context_.log.Write("report_unavailable", "",
                             {{"server", server.value()}});
        callback(report);
      });
}

// A server may be full of results that this host does not know of, after its
// batching host has changed or restarted.
void StageRunner::QueryFreeMemory(StageQueue& queue, const ServerId& server) {
  const TimePoint now = context_.Now();
  queue.scheduler.UpdateFreeMemory(server, 0, now);
  const auto [queried, is_first] =
      queue.free_memory_queried_at.try_emplace(server, now);
  if (!is_first && now - queried->second < kFreeMemoryQueryPeriod) return;
  queried->second = now;
  QueryReport(server, [this, &queue,
                       server](const std::optional<StageServerReport>& report) {
    if (!report) return;
    queue.scheduler.UpdateFreeMemory(server, report->free_bytes,
                                     context_.Now());
    DispatchCalls();
  });
}

// Calls are destroyed later from the loop, since they call this function
// themselves.
void StageRunner::Remove(ActiveCall* active_call) {
  const auto found = active_calls_.find(active_call);
  if (found == active_calls_.end()) return;
  context_.loop.DestroyLater(std::move(found->second));
  active_calls_.erase(found);
}

void StageRunner::Remove(ControlCall* call) {
  const auto found = control_calls_.find(call);
  if (found == control_calls_.end()) return;
  context_.loop.DestroyLater(std::move(found->second));
  control_calls_.erase(found);
}

void StageRunner::ArmDispatchTimer() {
  context_.loop.Cancel(dispatch_timer_);
  dispatch_timer_ = TimerId{};
  const TimePoint now = context_.Now();
  std::optional<TimePoint> next;
  for (const auto& [location, queue] : queues_) {
    const std::optional<TimePoint> at = queue->scheduler.NextDispatchAt(now);
    if (at && (!next || *at < *next)) next = at;
    const bool is_held =
        queue->first_return && queue->scheduler.queue_size() > 0;
    if (is_held && (!next || *queue->first_return < *next))
      next = queue->first_return;
  }
  if (next)
    dispatch_timer_ = context_.loop.At(*next, [this] { DispatchCalls(); });
}

StageLoad StageRunner::MeasureLoad(StageQueue& queue) {
  StageLoad load;
  load.location = queue.location;
  load.capacity = queue.scheduler.Capacity(
      ServersAt(queue.location), context_.Now(), context_.SpeedsNow());
  for (std::size_t i = 0; i < kLoadPriorities; ++i)
    load.waiting[i] = queue.scheduler.ItemsAhead(static_cast<int>(i));
  return load;
}

std::vector<StageLoad> StageRunner::Loads() {
  std::vector<StageLoad> loads;
  for (const auto& [location, queue] : queues_)
    loads.push_back(MeasureLoad(*queue));
  return loads;
}

std::vector<StageRunner::StageRoom> StageRunner::Rooms() {
  std::vector<StageRoom> rooms;
  for (const auto& [location, queue] : queues_) {
    StageRoom room;
    room.location = location;
    room.supplies = queue->scheduler.Supplies(
        ServersAt(location), context_.Now(), context_.SpeedsNow());
    for (std::size_t kind = 0; kind < routing::kRoomKinds; ++kind)
      queue->scheduler.AppendQueued({location.service, location.zone,
                                     static_cast<routing::RoomKind>(kind)},
                                    room.waiting[kind]);
    rooms.push_back(std::move(room));
  }
  return rooms;
}

std::optional<StageLoad> StageRunner::LoadAt(const StageLocation& location) {
  const auto queue = queues_.find(location);
  if (queue == queues_.end()) return std::nullopt;
  return MeasureLoad(*queue->second);
}

}  // namespace lovagecleat::gateway
