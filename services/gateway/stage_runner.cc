#include "services/gateway/stage_runner.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// An item that failed on so many servers fails for good.
constexpr int kMaximumSends = 3;
// How long a full server is left alone: about half of a call.
constexpr Duration kFullWait = std::chrono::milliseconds(120);
// How long a server without room for a result is left alone.
constexpr Duration kNoRoomWait = std::chrono::milliseconds(150);
// Releases that come within this time go to a server in one call.
constexpr Duration kReleaseGathering = std::chrono::milliseconds(10);
// How often it is looked for items that cannot be made in time while all
// servers are at work; to sort a long queue at each event takes too long.
constexpr Duration kHopelessPeriod = std::chrono::milliseconds(50);
// Short calls are answered at once or not at all.
constexpr Duration kSideCallTimeout = std::chrono::seconds(1);
// How often a full server is asked for its room.
constexpr Duration kRoomQuestionPeriod = std::chrono::milliseconds(400);

}  // namespace

struct StageRunner::Lot {
  Lot(const StagePlace& where, const routing::BatchLimits& limits)
      : place(where), scheduler(limits) {}
  StagePlace place;
  routing::BatchScheduler scheduler;
  TimePoint pruned_at{};
  std::map<ServerId, TimePoint> asked_room_at;
};

// One batched call.
class StageRunner::BatchRun final : public http::CallObserver {
 public:
  BatchRun(StageRunner& runner, Lot& lot, routing::BatchCall call)
      : runner_(runner),
        lot_(lot),
        call_(std::move(call)),
        started_at_(runner.context_.Now()) {}

  ~BatchRun() override {
    loop().Cancel(timeout_);
    loop().Cancel(patience_);
  }

  void Start(const routing::ServerRecord& server) {
    Context& context = runner_.context_;
    const ForwardedCall target = TargetOf(server);
    timeout_ =
        loop().After(lot_.scheduler.CallTimeout(call_.items.size()), [this] {
          http_.reset();
          Finish("timeout", routing::CallResult::kFailed, std::nullopt, {});
        });
    patience_ = loop().After(lot_.scheduler.CallPatience(call_.items.size()),
                             [this] { Abandon(); });
    http_ = context.pool.Start(
        {target.server.value(), target.address},
        context.wire.WriteBatch(target, call_.items, context.Now()),
        http::Reuse::kAny, *this);
  }

  void OnResponseHead(const http::ResponseHead& head) override {
    status_ = head.status;
    answer_ = runner_.context_.wire.ReadAnswer(head, runner_.context_.Now());
    routing::ServerRecord* server =
        runner_.context_.directory.Find(call_.server);
    if (server != nullptr && answer_.load) server->load = answer_.load;
  }

  void OnResponseBody(std::string_view bytes) override { body_.append(bytes); }

  void OnResponseComplete() override {
    if (answer_.is_other_server)
      return Finish("other_server", routing::CallResult::kUnreachable,
                    std::nullopt, {});
    if (answer_.is_not_run) {
      lot_.scheduler.Defer(call_.server, runner_.context_.Now() + kFullWait);
      return Finish("full", routing::CallResult::kFull, std::nullopt, {});
    }
    std::optional<std::vector<BatchResult>> results;
    if (status_ == 200) results = runner_.context_.wire.ReadBatch(body_);
    if (!results || results->size() != call_.items.size())
      return Finish("unreadable", routing::CallResult::kFailed, std::nullopt,
                    {});
    Finish("done", routing::CallResult::kGood,
           runner_.context_.Now() - started_at_, *results);
  }

  void OnCallFailed(http::CallEnd end) override {
    const bool is_unreachable = end.failure == http::CallFailure::kNotConnected;
    // A kept connection that the server closed meanwhile says nothing of it.
    const routing::CallResult result =
        end.was_reused   ? routing::CallResult::kFull
        : is_unreachable ? routing::CallResult::kUnreachable
                         : routing::CallResult::kFailed;
    Finish(is_unreachable ? "unreachable" : "broken", result, std::nullopt, {});
  }

 private:
  transport::Loop& loop() { return runner_.context_.loop; }

  // The items are made elsewhere, too; whichever result comes first is used.
  void Abandon() {
    is_abandoned_ = true;
    runner_.context_.log.Write("stage_call_slow", call_.items.front().request,
                               {{"service", lot_.place.service.value()},
                                {"server", call_.server.value()},
                                {"items", call_.items.size()}});
    runner_.Requeue(lot_, call_.items);
    AskWhetherLost();
    runner_.Pump();
  }

  // A slow server is still at work; one that is idle has answered, and the
  // answer was lost on the way.
  void AskWhetherLost() {
    patience_ = loop().After(lot_.scheduler.CallTime(call_.items.size()),
                             [this] { AskWhetherLost(); });
    std::weak_ptr<BatchRun*> self = self_;
    runner_.AskReport(call_.server, [self](const StageServerReport& report) {
      const auto run = self.lock();
      if (run && report.is_idle) (*run)->OnAnswerLost();
    });
  }

  void OnAnswerLost() {
    http_.reset();
    Finish("answer_lost", routing::CallResult::kFull, std::nullopt, {});
  }

  void Finish(std::string_view outcome, routing::CallResult result,
              std::optional<Duration> served,
              std::span<const BatchResult> results) {
    Context& context = runner_.context_;
    const TimePoint now = context.Now();
    loop().Cancel(timeout_);
    loop().Cancel(patience_);
    self_.reset();
    lot_.scheduler.EndCall(call_.server, call_.items.size(), served, now);
    context.directory.Report(call_.server, result, now);
    context.metrics.Count("lovagecleat_batch_calls_total",
                          {{"outcome", std::string(outcome)}});
    context.metrics.Count("lovagecleat_batch_items_total",
                          {{"outcome", std::string(outcome)}},
                          call_.items.size());
    std::size_t made = 0;
    std::size_t without_room = 0;
    for (const BatchResult& item : results) {
      if (item.outcome == ItemOutcome::kMade) ++made;
      if (item.outcome == ItemOutcome::kNoRoom) ++without_room;
    }
    context.log.Write(
        "stage_call", call_.items.front().request,
        {{"service", lot_.place.service.value()},
         {"zone", lot_.place.zone.value()},
         {"server", call_.server.value()},
         {"items", call_.items.size()},
         {"made", made},
         {"without_room", without_room},
         {"waiting", lot_.scheduler.waiting()},
         {"ms", static_cast<double>((now - started_at_).count()) / 1000.0},
         {"outcome", outcome}});
    StageRunner& runner = runner_;
    Lot& lot = lot_;
    if (results.empty() && is_abandoned_) {
      // The items have been queued again already.
    } else if (results.empty()) {
      // The items did not reach a server that could make them.
      if (result == routing::CallResult::kUnreachable || answer_.is_not_run)
        runner.ForgetSends(call_.items);
      runner.Requeue(lot, std::move(call_.items));
    } else {
      TakeResults(results, now);
    }
    runner.Remove(this);
    runner.Pump();
  }

  void TakeResults(std::span<const BatchResult> results, TimePoint now) {
    bool has_no_room = false;
    for (std::size_t i = 0; i < results.size(); ++i) {
      const BatchResult& result = results[i];
      if (result.outcome == ItemOutcome::kNoRoom) {
        lot_.scheduler.Defer(call_.server, now + kNoRoomWait);
        // Nothing was made, and the server is not at fault.
        runner_.ForgetSends(
            std::span<const routing::WaitingItem>(&call_.items[i], 1));
        has_no_room = true;
      }
      const bool again = result.outcome == ItemOutcome::kNoRoom ||
                         result.outcome == ItemOutcome::kFailed;
      if (again && is_abandoned_) continue;
      if (again) {
        runner_.Requeue(lot_, {call_.items[i]});
        continue;
      }
      runner_.EndItem(call_.items[i],
                      {result.outcome, {result.handle, call_.server}},
                      lot_.place);
    }
    if (has_no_room) runner_.AskRoom(lot_, call_.server);
  }

  StageRunner& runner_;
  Lot& lot_;
  routing::BatchCall call_;
  TimePoint started_at_;
  std::unique_ptr<http::Call> http_;
  TimerId timeout_;
  TimerId patience_;
  bool is_abandoned_ = false;
  // Answers to questions may come after the call has ended.
  std::shared_ptr<BatchRun*> self_ = std::make_shared<BatchRun*>(this);
  int status_ = 0;
  ServerAnswer answer_;
  std::string body_;
};

// A short call beside the batched ones. The callback is called once, with the
// body of a good answer or nothing.
class StageRunner::SideCall final : public http::CallObserver {
 public:
  using Callback = std::function<void(std::optional<std::string>)>;

  SideCall(StageRunner& runner, Callback callback)
      : runner_(runner), callback_(std::move(callback)) {}
  ~SideCall() override { runner_.context_.loop.Cancel(timeout_); }

  void Start(const ForwardedCall& target, std::string_view bytes) {
    Context& context = runner_.context_;
    timeout_ =
        context.loop.After(kSideCallTimeout, [this] { Finish(std::nullopt); });
    http_ = context.pool.Start({target.server.value(), target.address}, bytes,
                               http::Reuse::kAny, *this);
  }

  void OnResponseHead(const http::ResponseHead& head) override {
    status_ = head.status;
  }
  void OnResponseBody(std::string_view bytes) override { body_.append(bytes); }
  void OnResponseComplete() override {
    Finish(status_ == 200 ? std::optional(body_) : std::nullopt);
  }
  void OnCallFailed(http::CallEnd /*end*/) override { Finish(std::nullopt); }

 private:
  void Finish(std::optional<std::string> body) {
    const Callback callback = std::move(callback_);
    StageRunner& runner = runner_;
    runner.context_.loop.Cancel(timeout_);
    http_.reset();
    runner.Remove(this);
    callback(std::move(body));
  }

  StageRunner& runner_;
  Callback callback_;
  std::unique_ptr<http::Call> http_;
  TimerId timeout_;
  int status_ = 0;
  std::string body_;
};

StageRunner::StageRunner(Context& context) : context_(context) {}

StageRunner::~StageRunner() {
  context_.loop.Cancel(timer_);
  context_.loop.Cancel(release_timer_);
}

StageRunner::Lot* StageRunner::LotOf(const StagePlace& place) {
  const routing::Service* found =
      context_.table ? context_.table->FindService(place.service) : nullptr;
  const auto known = lots_.find(place);
  if (found == nullptr || !found->batches)
    return known == lots_.end() ? nullptr : known->second.get();
  if (known != lots_.end()) {
    known->second->scheduler.SetLimits(*found->batches);
    return known->second.get();
  }
  return lots_.emplace(place, std::make_unique<Lot>(place, *found->batches))
      .first->second.get();
}

// The servers that may be called now; all that are resting, if there is no
// other zone whose servers could do the work.
std::vector<routing::ServerRecord*> StageRunner::ServersOf(
    const StagePlace& place) {
  const auto in_zone = [&place](std::vector<routing::ServerRecord*> servers) {
    std::erase_if(servers, [&place](const routing::ServerRecord* server) {
      return server->entry.zone != place.zone;
    });
    return servers;
  };
  const std::vector<routing::ServerRecord*> usable =
      context_.directory.Usable(place.service, context_.Now());
  if (!usable.empty()) return in_zone(usable);
  return in_zone(context_.directory.Listed(place.service));
}

StageRunner::ItemId StageRunner::Submit(const StagePlace& place,
                                        routing::WaitingItem item,
                                        Callback callback) {
  const ItemId id(++last_item_);
  item.id = id;
  item.waiting_since = context_.Now();
  waiters_[id] = {std::move(callback), 0};
  Lot* lot = LotOf(place);
  if (lot == nullptr) {
    // Told from the loop, since the caller does not know the item's id yet.
    context_.loop.After(Duration::zero(), [this, item, place] {
      EndItem(item, {ItemOutcome::kFailed, {}}, place);
    });
    return id;
  }
  lot->scheduler.Add(std::move(item));
  return id;
}

void StageRunner::Pump() {
  for (auto& [place, lot] : lots_)
    if (lot->scheduler.waiting() > 0) PumpLot(*lot);
  ArmTimer();
}

void StageRunner::PumpLot(Lot& lot) {
  const TimePoint now = context_.Now();
  const std::vector<routing::ServerRecord*> servers = ServersOf(lot.place);
  const bool is_free = lot.scheduler.HasFreeServer(servers, now);
  if (!servers.empty() && !is_free && now - lot.pruned_at < kHopelessPeriod)
    return;
  lot.pruned_at = now;
  const double capacity = lot.scheduler.Capacity(servers, now);
  for (const routing::WaitingItem& item :
       lot.scheduler.TakeHopeless(capacity, now))
    EndItem(item, {ItemOutcome::kLate, {}}, lot.place);
  const std::vector<routing::ServerRecord*> usable_anywhere =
      context_.directory.Usable(lot.place.service, now);
  const bool has_other_zone =
      std::any_of(usable_anywhere.begin(), usable_anywhere.end(),
                  [&lot](const routing::ServerRecord* server) {
                    return server->entry.zone != lot.place.zone;
                  });
  if (servers.empty() ||
      (has_other_zone && lot.scheduler.AreAllSlow(servers, now))) {
    // Whoever submitted them can have them made in another zone.
    for (const routing::WaitingItem& item : lot.scheduler.TakeAll())
      EndItem(item, {ItemOutcome::kFailed, {}}, lot.place);
    return;
  }
  for (routing::BatchCall& call : lot.scheduler.TakeCalls(servers, now))
    StartCall(lot, std::move(call));
}

void StageRunner::StartCall(Lot& lot, routing::BatchCall call) {
  routing::ServerRecord* server = context_.directory.Find(call.server);
  std::vector<routing::WaitingItem> refused;
  std::erase_if(call.items, [&](routing::WaitingItem& item) {
    const auto waiter = waiters_.find(item.id);
    if (waiter == waiters_.end()) return true;
    // Whatever is sent again counts against the budget of all hosts.
    const bool is_first = waiter->second.sends++ == 0;
    if (is_first) {
      context_.retries.CountFirstTry(lot.place.service);
      return false;
    }
    if (context_.retries.TakeRetry(lot.place.service)) return false;
    refused.push_back(std::move(item));
    return true;
  });
  for (const routing::WaitingItem& item : refused)
    EndItem(item, {ItemOutcome::kFailed, {}}, lot.place);
  if (server == nullptr || call.items.empty()) {
    lot.scheduler.CancelCall(call.server);
    return;
  }
  auto run = std::make_unique<BatchRun>(*this, lot, std::move(call));
  BatchRun* raw = run.get();
  runs_.emplace(raw, std::move(run));
  raw->Start(*server);
}

void StageRunner::ForgetSends(std::span<const routing::WaitingItem> items) {
  for (const routing::WaitingItem& item : items) {
    const auto waiter = waiters_.find(item.id);
    if (waiter != waiters_.end()) --waiter->second.sends;
  }
}

void StageRunner::Requeue(Lot& lot, std::vector<routing::WaitingItem> items) {
  for (routing::WaitingItem& item : items) {
    const auto waiter = waiters_.find(item.id);
    if (waiter == waiters_.end()) continue;
    if (waiter->second.sends >= kMaximumSends) {
      EndItem(item, {ItemOutcome::kFailed, {}}, lot.place);
      continue;
    }
    lot.scheduler.Add(std::move(item));
  }
}

void StageRunner::EndItem(const routing::WaitingItem& item, ItemEnd end,
                          const StagePlace& place) {
  if (end.outcome == ItemOutcome::kMade) {
    const routing::Service* found = context_.table->FindService(place.service);
    const Duration lifetime = found != nullptr && found->batches
                                  ? found->batches->result_lifetime
                                  : Duration::zero();
    held_[end.result.handle] = {place, item.result_bytes, end.result.maker,
                                context_.Now() + lifetime};
    if (Lot* lot = LotOf(place))
      lot->scheduler.CountResult(end.result.maker,
                                 static_cast<std::int64_t>(item.result_bytes));
  }
  const auto found = waiters_.find(item.id);
  if (found == waiters_.end()) {
    if (end.outcome == ItemOutcome::kMade)
      Release(std::span<const routing::ResultHandle>(&end.result, 1));
    return;
  }
  const Callback callback = std::move(found->second.callback);
  waiters_.erase(found);
  callback(std::move(end));
}

void StageRunner::Withdraw(std::span<const ItemId> items) {
  for (const ItemId& item : items) waiters_.erase(item);
  for (auto& [place, lot] : lots_) lot->scheduler.Remove(items);
}

void StageRunner::Release(std::span<const routing::ResultHandle> results) {
  for (const routing::ResultHandle& result : results) {
    to_release_[result.maker].push_back(result.handle);
  }
  if (to_release_.empty() || release_timer_.value() != 0) return;
  release_timer_ =
      context_.loop.After(kReleaseGathering, [this] { FlushReleases(); });
}

void StageRunner::ForgetResult(const HeldResult& held) {
  if (Lot* lot = LotOf(held.place))
    lot->scheduler.CountResult(held.maker,
                               -static_cast<std::int64_t>(held.bytes));
}

void StageRunner::ExpireResults() {
  const TimePoint now = context_.Now();
  std::erase_if(held_, [&](const auto& item) {
    if (item.second.ends_at > now) return false;
    ForgetResult(item.second);
    return true;
  });
}

// Room counts as free once the server has taken the call that frees it.
void StageRunner::OnReleased(std::span<const std::string> handles) {
  for (const std::string& handle : handles) {
    const auto held = held_.find(handle);
    if (held == held_.end()) continue;
    ForgetResult(held->second);
    held_.erase(held);
  }
  Pump();
}

void StageRunner::FlushReleases() {
  release_timer_ = TimerId{};
  for (const auto& [server, released] : std::exchange(to_release_, {})) {
    const std::vector<std::string>& handles = released;
    const routing::ServerRecord* record = context_.directory.Find(server);
    // With the server its results are gone.
    if (record == nullptr) continue;
    const ForwardedCall target = TargetOf(*record);
    const std::string bytes = context_.wire.WriteRelease(target, handles);
    StartSideCall(
        target, bytes, [this, handles](const std::optional<std::string>& body) {
          if (body) return OnReleased(handles);
          // The results end by themselves, and their room is counted
          // until then.
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

void StageRunner::StartSideCall(
    const ForwardedCall& target, std::string_view bytes,
    std::function<void(std::optional<std::string>)> callback) {
  auto call = std::make_unique<SideCall>(*this, std::move(callback));
  SideCall* raw = call.get();
  side_calls_.emplace(raw, std::move(call));
  raw->Start(target, bytes);
}

void StageRunner::AskReport(
    const ServerId& server,
    const std::function<void(const StageServerReport&)>& callback) {
  const routing::ServerRecord* record = context_.directory.Find(server);
  if (record == nullptr) return;
  const ForwardedCall target = TargetOf(*record);
  context_.metrics.Count("lovagecleat_report_questions_total");
  StartSideCall(
      target, context_.wire.WriteReportQuestion(target),
      [this, server, callback](const std::optional<std::string>& body) {
        const auto report =
            body ? context_.wire.ReadReport(*body) : std::nullopt;
        if (report) return callback(*report);
        context_.log.Write("report_unavailable", "",
                           {{"server", server.value()}});
      });
}

// Results that this host does not know of fill a server after its gathering
// host has changed or started anew.
void StageRunner::AskRoom(Lot& lot, const ServerId& server) {
  const TimePoint now = context_.Now();
  lot.scheduler.NoteRoom(server, 0, now);
  const auto [asked, is_first] = lot.asked_room_at.try_emplace(server, now);
  if (!is_first && now - asked->second < kRoomQuestionPeriod) return;
  asked->second = now;
  AskReport(server, [this, &lot, server](const StageServerReport& report) {
    lot.scheduler.NoteRoom(server, report.free_bytes, context_.Now());
    Pump();
  });
}

// Runs are destroyed by the loop, since they are the callers.
void StageRunner::Remove(BatchRun* run) {
  const auto found = runs_.find(run);
  if (found == runs_.end()) return;
  context_.loop.After(
      Duration::zero(),
      [ended = std::shared_ptr<BatchRun>(std::move(found->second))] {});
  runs_.erase(found);
}

void StageRunner::Remove(SideCall* call) {
  const auto found = side_calls_.find(call);
  if (found == side_calls_.end()) return;
  context_.loop.After(
      Duration::zero(),
      [ended = std::shared_ptr<SideCall>(std::move(found->second))] {});
  side_calls_.erase(found);
}

void StageRunner::ArmTimer() {
  context_.loop.Cancel(timer_);
  timer_ = TimerId{};
  const TimePoint now = context_.Now();
  std::optional<TimePoint> next;
  for (const auto& [place, lot] : lots_) {
    const std::optional<TimePoint> at = lot->scheduler.NextChance(now);
    if (at && (!next || *at < *next)) next = at;
  }
  if (next) timer_ = context_.loop.At(*next, [this] { Pump(); });
}

StageLoad StageRunner::Measure(Lot& lot) {
  StageLoad load;
  load.place = lot.place;
  load.capacity = lot.scheduler.Capacity(ServersOf(lot.place), context_.Now());
  for (std::size_t i = 0; i < kLoadPriorities; ++i)
    load.waiting[i] = lot.scheduler.WaitingBefore(static_cast<int>(i));
  return load;
}

std::vector<StageLoad> StageRunner::Loads() {
  std::vector<StageLoad> loads;
  for (const auto& [place, lot] : lots_) loads.push_back(Measure(*lot));
  return loads;
}

std::optional<StageLoad> StageRunner::LoadOf(const StagePlace& place) {
  const auto lot = lots_.find(place);
  if (lot == lots_.end()) return std::nullopt;
  return Measure(*lot->second);
}

}  // namespace lovagecleat::gateway
