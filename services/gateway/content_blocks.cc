#include "services/gateway/content_blocks.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// A starting host asks this many others, once it has had time to read the rows
// of all hosts.
constexpr std::size_t kAskedHosts = 3;
constexpr Duration kAskDelay = std::chrono::milliseconds(100);
// A heartbeat may be read this long after the server has sent it: the store may
// perform writes, and answer reads, seconds late.
constexpr Duration kMaximumHeartbeatDelay = std::chrono::seconds(10);
constexpr std::uint32_t kMaximumReportedTrials = 1000;
// Limit on the time spans in messages, which another version may send.
constexpr std::int64_t kMaximumAgeUs = std::int64_t{3600} * 1000 * 1000;

TimePoint Before(TimePoint now, std::int64_t age_us) {
  return now - Duration(std::clamp<std::int64_t>(age_us, 0, kMaximumAgeUs));
}

std::int64_t AgeUs(TimePoint now, TimePoint at) {
  return at < now - Duration(kMaximumAgeUs) ? kMaximumAgeUs
                                            : (now - at).count();
}

// Returns how long before the arrival of a message something was, that was
// `age_us` old when it was added to it.
std::int64_t AgeAtArrival(std::int64_t age_us, std::int64_t added_us,
                          std::int64_t clock_us) {
  if (added_us <= 0 || clock_us <= added_us) return age_us;
  return std::clamp<std::int64_t>(age_us, 0, kMaximumAgeUs) +
         std::min(clock_us - added_us, kMaximumAgeUs);
}

// Crashes in one message have the distances at which they were noticed: a
// request that was sent again after a crash has caused the next one by itself.
routing::ServerCrash ReadCrash(const messages::ContentCrash& crash,
                               std::int64_t clock_us, TimePoint now) {
  const bool is_time_known =
      crash.noticed_us() > 0 && clock_us >= crash.noticed_us();
  const TimePoint at =
      is_time_known ? Before(now, clock_us - crash.noticed_us()) : now;
  return {crash.server_incarnation(),
          crash.had_started_response() ? routing::CrashMoment::kJustStarted
                                       : routing::CrashMoment::kUnclear,
          at, Before(at, crash.sent_age_us())};
}

// Keys that another host could not have made are dropped.
template <typename Texts>
std::vector<routing::ContentKey> ReadKeys(const Texts& texts) {
  std::vector<routing::ContentKey> keys;
  for (const std::string& text : texts)
    if (routing::IsContentKey(text)) keys.emplace_back(text);
  return keys;
}

}  // namespace

ContentBlocks::ContentBlocks(Context& context, RowSource& rows,
                             ReachableCallback is_reachable,
                             Outbox::SendCallback send,
                             BlockedCallback on_blocked)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      on_blocked_(std::move(on_blocked)),
      outbox_(context.loop, is_reachable_, std::move(send),
              [this](messages::ContentReports& all) { return WriteAll(all); }),
      rows_(context, rows, suspects_) {}

ContentBlocks::~ContentBlocks() {
  context_.loop.Cancel(ask_timer_);
  context_.loop.Cancel(blocked_timer_);
}

void ContentBlocks::SetHosts(std::vector<std::string> others) {
  hosts_ = std::move(others);
  outbox_.SetPeers(hosts_);
  if (has_asked_ || hosts_.empty()) return;
  has_asked_ = true;
  ask_timer_ = context_.loop.After(kAskDelay, [this] { AskOtherHosts(); });
}

void ContentBlocks::AskOtherHosts() {
  for (const std::string& peer :
       ChooseReachable(hosts_, is_reachable_, kAskedHosts, context_.random))
    outbox_.To(peer).set_requests_blocks(true);
  outbox_.FlushNow();
}

template <typename Add>
void ContentBlocks::Broadcast(const Add& add) {
  const std::int64_t clock_us = context_.Now().time_since_epoch().count();
  outbox_.ToAll(hosts_, [&](messages::ContentReports& reports) {
    reports.set_clock_us(clock_us);
    add(reports);
  });
}

void ContentBlocks::OnCrash(const routing::ServerIncarnation& server,
                            std::span<const routing::ContentKey> contents,
                            routing::CrashMoment moment, TimePoint sent_at) {
  if (contents.empty()) return;
  const routing::ServerCrash crash{StableHash(server.Key()), moment,
                                   context_.Now(), sent_at};
  const std::vector<routing::ContentKey> blocked =
      suspects_.AddCrash(contents, crash);
  const bool has_started = moment == routing::CrashMoment::kJustStarted;
  context_.metrics.Count("lovagecleat_content_crashes_total");
  const routing::Suspicion suspicion =
      suspects_.StrongestSuspicion(contents).value_or(routing::Suspicion{});
  context_.log.Write("content_crash", "",
                     {{"server", server.id.value()},
                      {"incarnation", crash.incarnation},
                      {"contents", routing::FormatForLog(contents)},
                      {"had_started_response", has_started},
                      {"sent_ms_ago", Milliseconds(crash.at - sent_at)},
                      {"suspect", suspicion.content.value()},
                      {"servers", suspicion.servers},
                      {"score", suspicion.score},
                      {"score_to_block", suspicion.score_to_block}});
  Broadcast([&](messages::ContentReports& reports) {
    messages::ContentCrash& copy = *reports.add_crashes();
    copy.set_server_incarnation(crash.incarnation);
    copy.set_had_started_response(has_started);
    copy.set_sent_age_us((crash.at - sent_at).count());
    copy.set_noticed_us(crash.at.time_since_epoch().count());
    for (const routing::ContentKey& content : contents)
      copy.add_contents(content.value());
    for (const routing::ContentKey& content : blocked)
      AddBlock(content, reports);
  });
  for (const routing::ContentKey& content : blocked) rows_.OnBlocked(content);
  OnBlocked(blocked, "crash");
}

void ContentBlocks::OnResponse(const ServerResponse& response) {
  if (!suspects_.has_crashes()) return;
  const std::uint64_t incarnation = StableHash(response.server.Key());
  const TimePoint now = context_.Now();
  const TimePoint crashed_at = suspects_.CrashedAt(incarnation).value_or(now);
  if (!RefuteCrash(incarnation, {response.connected_at, response.sent_at}))
    return;
  context_.log.Write(
      "crash_refuted", "",
      {{"server", response.server.id.value()},
       {"incarnation", incarnation},
       {"source", "response"},
       {"status", response.status},
       {"crash_ms_ago", Milliseconds(now - crashed_at)},
       {"sent_ms_ago", Milliseconds(now - response.sent_at)},
       {"connected_ms_ago", Milliseconds(now - response.connected_at)}});
}

void ContentBlocks::OnHeartbeat(const routing::ServerIncarnation& server) {
  if (!suspects_.has_crashes()) return;
  const std::uint64_t incarnation = StableHash(server.Key());
  // The row names the incarnation, so the process is the one that crashed.
  if (!RefuteCrash(incarnation,
                   {TimePoint::min(), context_.Now() - kMaximumHeartbeatDelay}))
    return;
  context_.log.Write("crash_refuted", "",
                     {{"server", server.id.value()},
                      {"incarnation", incarnation},
                      {"source", "heartbeat"}});
}

bool ContentBlocks::RefuteCrash(std::uint64_t incarnation,
                                const routing::LifeSpan& life) {
  const auto released = suspects_.RefuteCrash(incarnation, life);
  if (!released) return false;
  const TimePoint now = context_.Now();
  Broadcast([&](messages::ContentReports& reports) {
    messages::LivingServer& copy = *reports.add_living();
    copy.set_incarnation(incarnation);
    copy.set_connected_age_us(AgeUs(now, life.from));
    copy.set_alive_age_us(AgeUs(now, life.to));
    copy.set_added_us(now.time_since_epoch().count());
  });
  Withdraw(*released);
  return true;
}

void ContentBlocks::LogCleared(std::span<const routing::ContentKey> contents,
                               std::string_view reason,
                               std::string_view source) {
  for (const routing::ContentKey& content : contents)
    context_.log.Write(
        "content_cleared", "",
        {{"content", content.value()}, {"reason", reason}, {"source", source}});
}

void ContentBlocks::Withdraw(std::span<const routing::ContentKey> contents) {
  if (contents.empty()) return;
  LogCleared(contents, "refuted", "own");
  for (const routing::ContentKey& content : contents) rows_.OnReleased(content);
  Broadcast([&contents](messages::ContentReports& reports) {
    for (const routing::ContentKey& content : contents)
      reports.add_withdrawn(content.value());
  });
}

void ContentBlocks::OnServed(std::span<const routing::ContentKey> contents,
                             TimePoint sent_at) {
  const std::vector<routing::ContentKey> cleared =
      suspects_.AddServed(contents, sent_at);
  if (cleared.empty()) return;
  LogCleared(cleared, "served", "own");
  for (const routing::ContentKey& content : cleared) rows_.OnReleased(content);
  const TimePoint now = context_.Now();
  Broadcast([&](messages::ContentReports& reports) {
    for (const routing::ContentKey& content : cleared) {
      reports.add_served_contents(content.value());
      messages::ServedContent& copy = *reports.add_served();
      copy.set_content(content.value());
      copy.set_sent_age_us(AgeUs(now, sent_at));
      copy.set_added_us(now.time_since_epoch().count());
    }
  });
}

std::optional<TimePoint> ContentBlocks::BlockedUntil(
    std::span<const routing::ContentKey> contents) const {
  std::optional<TimePoint> until;
  if (suspects_.blocked().empty()) return until;
  const TimePoint now = context_.Now();
  for (const routing::ContentKey& content : contents)
    if (const routing::BlockedContent* block = suspects_.Find(content))
      until = std::max(until.value_or(now), block->RefusedUntil(now));
  return until;
}

bool ContentBlocks::IsFirstHost(const routing::ContentKey& content) const {
  const std::uint64_t seed = StableHash(content.value());
  const std::uint64_t own_rank = StableHash(context_.settings.peers, seed);
  return std::none_of(hosts_.begin(), hosts_.end(), [&](const auto& peer) {
    return is_reachable_(peer) && StableHash(peer, seed) > own_rank;
  });
}

bool ContentBlocks::TryStartTrial(
    std::span<const routing::ContentKey> contents) {
  std::vector<routing::ContentKey> blocked(contents.begin(), contents.end());
  std::erase_if(blocked, [this](const routing::ContentKey& content) {
    return suspects_.Find(content) == nullptr;
  });
  if (blocked.size() != 1) return false;
  const routing::ContentKey& content = blocked.front();
  const TimePoint now = context_.Now();
  if (now < suspects_.Find(content)->NextTrialAt() || !IsFirstHost(content))
    return false;
  suspects_.StartTrial(content, now);
  context_.log.Write("content_trial", "",
                     {{"content", content.value()},
                      {"trials", suspects_.Find(content)->trials}});
  Broadcast(
      [&](messages::ContentReports& reports) { AddBlock(content, reports); });
  rows_.OnBlocked(content);
  return true;
}

void ContentBlocks::AddBlock(const routing::ContentKey& content,
                             messages::ContentReports& reports) const {
  const routing::BlockedContent* block = suspects_.Find(content);
  if (block == nullptr) return;
  const TimePoint now = context_.Now();
  messages::BlockedContent& copy = *reports.add_blocked();
  copy.set_content(content.value());
  copy.set_crash_age_us((now - block->crashed_at).count());
  copy.set_remaining_us((block->until - now).count());
  copy.set_trials(static_cast<std::uint32_t>(block->trials));
  copy.set_added_us(now.time_since_epoch().count());
  reports.set_clock_us(now.time_since_epoch().count());
}

void ContentBlocks::OnMessage(const std::string& from,
                              const messages::ContentReports& reports) {
  const TimePoint now = context_.Now();
  for (const messages::ContentCrash& crash : reports.crashes())
    OnBlocked(suspects_.AddCrash(ReadKeys(crash.contents()),
                                 ReadCrash(crash, reports.clock_us(), now)),
              "peer_crash");
  for (const messages::BlockedContent& copy : reports.blocked()) {
    if (!routing::IsContentKey(copy.content())) continue;
    const routing::ContentKey content(copy.content());
    const bool was_blocked = suspects_.Find(content) != nullptr;
    const routing::BlockedContent block{
        Before(now, AgeAtArrival(copy.crash_age_us(), copy.added_us(),
                                 reports.clock_us())),
        now + Duration(std::clamp<std::int64_t>(copy.remaining_us(), 0,
                                                kMaximumAgeUs)),
        static_cast<int>(std::min(copy.trials(), kMaximumReportedTrials))};
    if (!suspects_.Block(content, block)) continue;
    if (copy.added_us() > 0)
      reported_blocks_[content] = {from, copy.added_us() - copy.crash_age_us(),
                                   block.crashed_at};
    if (!was_blocked) OnBlocked(std::span(&content, 1), "peer");
  }
  ReadServed(from, reports);
  ReadRefutations(reports);
  messages::ContentReports all;
  if (!reports.requests_blocks() || !WriteAll(all)) return;
  messages::ContentReports& answer = outbox_.To(from);
  answer.clear_blocked();
  answer.MergeFrom(all);
  outbox_.FlushNow();
}

bool ContentBlocks::WriteAll(messages::ContentReports& reports) const {
  for (const auto& [content, block] : suspects_.blocked())
    AddBlock(content, reports);
  return !suspects_.blocked().empty();
}

// Messages take different times, so what one host has reported is ordered by
// its own clock.
TimePoint ContentBlocks::ServedAt(const std::string& from,
                                  const messages::ServedContent& served,
                                  std::int64_t clock_us) const {
  const TimePoint at =
      Before(context_.Now(),
             AgeAtArrival(served.sent_age_us(), served.added_us(), clock_us));
  const routing::ContentKey content(served.content());
  const auto reported = reported_blocks_.find(content);
  if (served.added_us() <= 0 || reported == reported_blocks_.end() ||
      reported->second.from != from ||
      reported->second.crashed_us > served.added_us() - served.sent_age_us())
    return at;
  return std::max(at, reported->second.crashed_at);
}

void ContentBlocks::ReadServed(const std::string& from,
                               const messages::ContentReports& reports) {
  const TimePoint now = context_.Now();
  for (const messages::ServedContent& copy : reports.served()) {
    if (!routing::IsContentKey(copy.content())) continue;
    const routing::ContentKey content(copy.content());
    LogCleared(suspects_.AddServed(std::span(&content, 1),
                                   ServedAt(from, copy, reports.clock_us())),
               "served", "peer");
  }
  // An older version may have cleared contents that no server has served.
  const bool may_be_unserved = !reports.living_servers().empty();
  if (!reports.served().empty() || may_be_unserved) return;
  LogCleared(suspects_.AddServed(ReadKeys(reports.served_contents()), now),
             "served", "peer");
}

void ContentBlocks::ReadRefutations(const messages::ContentReports& reports) {
  const TimePoint now = context_.Now();
  for (const messages::LivingServer& copy : reports.living()) {
    const auto before = [&](std::int64_t age_us) {
      return Before(now,
                    AgeAtArrival(age_us, copy.added_us(), reports.clock_us()));
    };
    const routing::LifeSpan life{before(copy.connected_age_us()),
                                 before(copy.alive_age_us())};
    const auto released = suspects_.RefuteCrash(copy.incarnation(), life);
    if (!released) continue;
    context_.log.Write(
        "crash_refuted", "",
        {{"incarnation", copy.incarnation()}, {"source", "peer"}});
    Withdraw(*released);
  }
  for (const routing::ContentKey& content : ReadKeys(reports.withdrawn())) {
    // The crashes that this host has counted may be others.
    if (suspects_.Find(content) == nullptr || suspects_.CrashesOf(content) > 0)
      continue;
    suspects_.Release(content);
    LogCleared(std::span(&content, 1), "refuted", "peer");
  }
}

void ContentBlocks::ApplyRow(const std::string& name, const routing::Row& row) {
  if (!rows_.Apply(name, row)) return;
  const routing::ContentKey content(name);
  OnBlocked(std::span(&content, 1), "store");
}

void ContentBlocks::Update(std::optional<std::uint64_t> era) {
  suspects_.RemoveExpired(context_.Now());
  std::erase_if(reported_blocks_, [this](const auto& item) {
    return suspects_.Find(item.first) == nullptr;
  });
  JudgeCrashes();
  rows_.Update(era);
  context_.metrics.SetGauge("lovagecleat_blocked_contents", {},
                            static_cast<double>(suspects_.blocked().size()));
}

// All hosts judge what all have reported. One of them tells those that were not
// reached.
void ContentBlocks::JudgeCrashes() {
  const std::vector<routing::ContentKey> blocked =
      suspects_.JudgeCrashes(context_.Now());
  for (const routing::ContentKey& content : blocked) {
    if (!IsFirstHost(content)) continue;
    Broadcast(
        [&](messages::ContentReports& reports) { AddBlock(content, reports); });
    rows_.OnBlocked(content);
  }
  OnBlocked(blocked, "judgement");
}

void ContentBlocks::OnBlocked(std::span<const routing::ContentKey> contents,
                              std::string_view source) {
  if (contents.empty()) return;
  for (const routing::ContentKey& content : contents) {
    context_.metrics.Count("lovagecleat_content_blocks_total",
                           {{"source", std::string(source)}});
    context_.log.Write("content_blocked", "",
                       {{"content", content.value()},
                        {"source", source},
                        {"crashes", suspects_.CrashesOf(content)}});
  }
  // Not at once: the request that has lost its server is still being handled.
  if (blocked_timer_.value() != 0) return;
  blocked_timer_ = context_.loop.After(Duration::zero(), [this] {
    blocked_timer_ = TimerId{};
    on_blocked_();
  });
}

}  // namespace lovagecleat::gateway
