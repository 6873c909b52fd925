#include "services/gateway/prompt_blocks.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// A starting host asks this many others, once it has had time to read the rows
// of all hosts.
constexpr std::size_t kAskedHosts = 3;
constexpr Duration kAskDelay = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaximumReportedTrials = 1000;
// Limit on the time spans in messages, which another version may send.
constexpr std::int64_t kMaximumAgeUs = std::int64_t{3600} * 1000 * 1000;

TimePoint Before(TimePoint now, std::int64_t age_us) {
  return now - Duration(std::clamp<std::int64_t>(age_us, 0, kMaximumAgeUs));
}

// Keys that another host could not have made are dropped.
template <typename Texts>
std::vector<routing::PromptPartKey> ReadKeys(const Texts& texts) {
  std::vector<routing::PromptPartKey> keys;
  for (const std::string& text : texts)
    if (routing::IsPromptPartKey(text)) keys.emplace_back(text);
  return keys;
}

}  // namespace

PromptBlocks::PromptBlocks(Context& context, RowSource& rows,
                           ReachableCallback is_reachable,
                           Outbox::SendCallback send,
                           BlockedCallback on_blocked)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      on_blocked_(std::move(on_blocked)),
      outbox_(context.loop, std::move(send)),
      rows_(context, rows, suspects_) {}

PromptBlocks::~PromptBlocks() {
  context_.loop.Cancel(ask_timer_);
  context_.loop.Cancel(blocked_timer_);
}

void PromptBlocks::SetHosts(std::vector<std::string> others) {
  hosts_ = std::move(others);
  if (has_asked_ || hosts_.empty()) return;
  has_asked_ = true;
  ask_timer_ = context_.loop.After(kAskDelay, [this] { AskOtherHosts(); });
}

void PromptBlocks::AskOtherHosts() {
  for (const std::string& peer :
       ChooseReachable(hosts_, is_reachable_, kAskedHosts, context_.random))
    outbox_.To(peer).set_requests_blocks(true);
  outbox_.FlushNow();
}

template <typename Add>
void PromptBlocks::Broadcast(const Add& add) {
  for (const std::string& peer : hosts_)
    if (is_reachable_(peer)) add(outbox_.To(peer));
  outbox_.FlushSoon();
}

void PromptBlocks::OnCrash(const routing::ServerIncarnation& server,
                           std::span<const routing::PromptPartKey> parts,
                           routing::CrashMoment moment) {
  if (parts.empty()) return;
  const routing::ServerCrash crash{StableHash(server.Key()), moment,
                                   context_.Now()};
  const std::vector<routing::PromptPartKey> blocked =
      suspects_.AddCrash(parts, crash);
  const bool has_started = moment == routing::CrashMoment::kJustStarted;
  context_.metrics.Count("lovagecleat_prompt_crashes_total");
  context_.log.Write("prompt_crash", "",
                     {{"server", server.id.value()},
                      {"parts", routing::FormatForLog(parts)},
                      {"had_started_response", has_started}});
  Broadcast([&](messages::PromptReports& reports) {
    messages::PromptCrash& copy = *reports.add_crashes();
    copy.set_server_incarnation(crash.incarnation);
    copy.set_had_started_response(has_started);
    for (const routing::PromptPartKey& part : parts)
      copy.add_parts(part.value());
    for (const routing::PromptPartKey& part : blocked) AddBlock(part, reports);
  });
  for (const routing::PromptPartKey& part : blocked) rows_.OnBlocked(part);
  OnBlocked(blocked, "crash");
}

void PromptBlocks::OnServed(std::span<const routing::PromptPartKey> parts) {
  const std::vector<routing::PromptPartKey> cleared =
      suspects_.AddServed(parts, context_.Now());
  if (cleared.empty()) return;
  for (const routing::PromptPartKey& part : cleared) {
    rows_.OnReleased(part);
    context_.log.Write("prompt_cleared", "", {{"part", part.value()}});
  }
  Broadcast([&cleared](messages::PromptReports& reports) {
    for (const routing::PromptPartKey& part : cleared)
      reports.add_served_parts(part.value());
  });
}

std::optional<TimePoint> PromptBlocks::BlockedUntil(
    std::span<const routing::PromptPartKey> parts) const {
  std::optional<TimePoint> until;
  if (suspects_.blocked().empty()) return until;
  for (const routing::PromptPartKey& part : parts)
    if (const routing::BlockedPart* block = suspects_.Find(part))
      until = std::max(until.value_or(block->until), block->until);
  return until;
}

bool PromptBlocks::IsTrialHost(const routing::PromptPartKey& part) const {
  const std::uint64_t seed = StableHash(part.value());
  const std::uint64_t own_rank = StableHash(context_.settings.peers, seed);
  return std::none_of(hosts_.begin(), hosts_.end(), [&](const auto& peer) {
    return is_reachable_(peer) && StableHash(peer, seed) > own_rank;
  });
}

bool PromptBlocks::TryStartTrial(
    std::span<const routing::PromptPartKey> parts) {
  std::vector<routing::PromptPartKey> blocked(parts.begin(), parts.end());
  std::erase_if(blocked, [this](const routing::PromptPartKey& part) {
    return suspects_.Find(part) == nullptr;
  });
  if (blocked.size() != 1) return false;
  const routing::PromptPartKey& part = blocked.front();
  const TimePoint now = context_.Now();
  if (now < suspects_.Find(part)->NextTrialAt() || !IsTrialHost(part))
    return false;
  suspects_.StartTrial(part, now);
  context_.log.Write(
      "prompt_trial", "",
      {{"part", part.value()}, {"trials", suspects_.Find(part)->trials}});
  Broadcast([&](messages::PromptReports& reports) { AddBlock(part, reports); });
  rows_.OnBlocked(part);
  return true;
}

void PromptBlocks::AddBlock(const routing::PromptPartKey& part,
                            messages::PromptReports& reports) const {
  const routing::BlockedPart* block = suspects_.Find(part);
  if (block == nullptr) return;
  const TimePoint now = context_.Now();
  messages::BlockedPromptPart& copy = *reports.add_blocked();
  copy.set_part(part.value());
  copy.set_crash_age_us((now - block->crashed_at).count());
  copy.set_remaining_us((block->until - now).count());
  copy.set_trials(static_cast<std::uint32_t>(block->trials));
}

void PromptBlocks::OnMessage(const std::string& from,
                             const messages::PromptReports& reports) {
  const TimePoint now = context_.Now();
  for (const messages::PromptCrash& crash : reports.crashes())
    OnBlocked(suspects_.AddCrash(ReadKeys(crash.parts()),
                                 {crash.server_incarnation(),
                                  crash.had_started_response()
                                      ? routing::CrashMoment::kJustStarted
                                      : routing::CrashMoment::kUnclear,
                                  now}),
              "peer_crash");
  for (const messages::BlockedPromptPart& copy : reports.blocked()) {
    if (!routing::IsPromptPartKey(copy.part())) continue;
    const routing::PromptPartKey part(copy.part());
    const bool was_blocked = suspects_.Find(part) != nullptr;
    const routing::BlockedPart block{
        Before(now, copy.crash_age_us()),
        now + Duration(std::clamp<std::int64_t>(copy.remaining_us(), 0,
                                                kMaximumAgeUs)),
        static_cast<int>(std::min(copy.trials(), kMaximumReportedTrials))};
    if (suspects_.Block(part, block) && !was_blocked)
      OnBlocked(std::span(&part, 1), "peer");
  }
  suspects_.AddServed(ReadKeys(reports.served_parts()), now);
  if (!reports.requests_blocks() || suspects_.blocked().empty()) return;
  messages::PromptReports& answer = outbox_.To(from);
  answer.clear_blocked();
  for (const auto& [part, block] : suspects_.blocked()) AddBlock(part, answer);
  outbox_.FlushNow();
}

void PromptBlocks::ApplyRow(const std::string& name, const routing::Row& row) {
  if (!rows_.Apply(name, row)) return;
  const routing::PromptPartKey part(name);
  OnBlocked(std::span(&part, 1), "store");
}

void PromptBlocks::Update(std::optional<std::uint64_t> era) {
  suspects_.RemoveExpired(context_.Now());
  rows_.Update(era);
  context_.metrics.SetGauge("lovagecleat_blocked_prompt_parts", {},
                            static_cast<double>(suspects_.blocked().size()));
}

void PromptBlocks::OnBlocked(std::span<const routing::PromptPartKey> parts,
                             std::string_view source) {
  if (parts.empty()) return;
  for (const routing::PromptPartKey& part : parts) {
    context_.metrics.Count("lovagecleat_prompt_blocks_total",
                           {{"source", std::string(source)}});
    context_.log.Write("prompt_blocked", "",
                       {{"part", part.value()}, {"source", source}});
  }
  // Not at once: the request that has lost its server is still being handled.
  if (blocked_timer_.value() != 0) return;
  blocked_timer_ = context_.loop.After(Duration::zero(), [this] {
    blocked_timer_ = TimerId{};
    on_blocked_();
  });
}

}  // namespace lovagecleat::gateway
