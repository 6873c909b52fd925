#include "routing/crash_suspects.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <memory>
#include <tuple>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Score of a content from which on it is blocked: that of three crashes of
// servers that had just begun their response.
constexpr int kScoreToBlock = 6;
// The same for a content that sound requests may share, as this host knows.
constexpr int kScoreToBlockSharedContent = 10;
// Enough distinct times of crashes to block a content whatever the servers had
// done for it. A sound one is served in between.
constexpr int kTimesToBlock = 6;
// Crashes that are known to have no common cause, enough to block a content
// whatever the servers had done for it.
constexpr int kSeparateCrashesToBlock = 5;
// Crashes are judged every quarter of a second. After a longer pause of the
// process, this much time is left to read what other hosts have sent meanwhile.
constexpr Duration kMaximumPause = std::chrono::seconds(1);
constexpr Duration kCatchUpTime = std::chrono::seconds(1);
// A content crashes servers by itself if this many crashed under it beside
// those of a narrower one under which several did.
constexpr std::size_t kServersBesideNarrower = 3;
// Score of one crash, and a time between two at which they have no common
// cause.
constexpr int kScoreOfCrash = 2;
constexpr Duration kRememberedInterval = std::chrono::seconds(1);
constexpr Duration kBlockTime = std::chrono::minutes(15);
// Time after which it is known whether the servers live that have crashed.
constexpr Duration kConfirmationTime = std::chrono::milliseconds(1500);
// Time from the last crash to a trial, multiplied by the factor after each one.
constexpr Duration kFirstTrialDelay = std::chrono::seconds(45);
constexpr int kTrialDelayFactor = 4;
constexpr int kMaximumTrialDelaySteps = 4;

// Callers choose the contents, so what is kept of them is bounded.
constexpr std::size_t kMaximumSuspects = 4096;
constexpr std::size_t kSuspectsAfterLimit = 3072;
constexpr std::size_t kMaximumRequestContents = 64;
constexpr std::size_t kMaximumLaterParts = 16;
constexpr std::size_t kMaximumCrashedServers = 1024;
// A server that was taken for crashed responds within this time if it lives.
constexpr Duration kRefutableTime = std::chrono::minutes(1);
constexpr std::size_t kMaximumExplainedCrashes = 64;
constexpr std::size_t kMaximumServedContents = 8192;
constexpr std::size_t kMaximumBlockedContents = 1024;

constexpr std::size_t kMaximumLoggedBytes = 256;
constexpr std::size_t kMaximumPlainKeyBytes = 32;
// Precede hashes, so that no id equals one.
constexpr char kHashPrefix = 'x';
constexpr char kRequestPrefix = 'r';
constexpr char kWholeRequestPrefix = 'q';
constexpr std::size_t kRequestKeyDigits = 32;

bool IsRequestKey(const ContentKey& content) {
  return content.value().starts_with(kRequestPrefix) ||
         content.value().starts_with(kWholeRequestPrefix);
}

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
  });
}

// A cryptographic hash, so that no caller finds a request of its own with the
// key of another one.
std::string HashOfRequest(const RequestIdentity& request,
                          std::string_view target,
                          std::span<const PromptPart> prompt_parts) {
  using ChecksumPointer =
      std::unique_ptr<GChecksum, decltype(&g_checksum_free)>;
  const ChecksumPointer checksum(g_checksum_new(G_CHECKSUM_SHA256),
                                 &g_checksum_free);
  const auto add = [&checksum](std::string_view text) {
    g_checksum_update(checksum.get(),
                      reinterpret_cast<const guchar*>(text.data()),
                      static_cast<gssize>(text.size()));
  };
  for (const std::string_view field :
       {request.caller, request.method, request.host, target, request.body}) {
    // The length keeps one field from continuing in the next.
    add(std::to_string(field.size()) + ":");
    add(field);
  }
  for (const PromptPart& part : prompt_parts)
    add(std::to_string(part.id.size()) + ":" + part.id);
  const std::string_view digits = g_checksum_get_string(checksum.get());
  return std::string(digits.substr(0, kRequestKeyDigits));
}

}  // namespace

ContentKey KeyOf(const PromptPart& content) {
  if (!content.id.empty() && content.id.size() <= kMaximumPlainKeyBytes &&
      IsHexadecimal(content.id))
    return ContentKey(content.id);
  const std::uint64_t first = StableHash(content.id);
  char text[kMaximumKeyBytes + 1];
  std::snprintf(text, sizeof(text), "%c%016llx%016llx", kHashPrefix,
                static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(StableHash(content.id, first)));
  return ContentKey(text);
}

std::vector<ContentKey> SharedPartKeys(const Prompt& prompt) {
  std::vector<ContentKey> keys;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    keys.push_back(KeyOf(prompt.parts[i]));
  return keys;
}

std::vector<ContentKey> RequestKeys(const RequestIdentity& request) {
  const std::string_view path =
      request.target.substr(0, request.target.find('?'));
  std::vector<ContentKey> keys{
      ContentKey(kRequestPrefix + HashOfRequest(request, path, {}))};
  if (path.size() < request.target.size() || !request.prompt_parts.empty())
    keys.emplace_back(
        kWholeRequestPrefix +
        HashOfRequest(request, request.target, request.prompt_parts));
  return keys;
}

std::string FormatForLog(std::span<const ContentKey> contents) {
  std::string text;
  for (const ContentKey& content : contents) {
    if (text.size() + content.value().size() >= kMaximumLoggedBytes)
      return text + ",...";
    if (!text.empty()) text.push_back(',');
    text.append(content.value());
  }
  return text;
}

bool IsContentKey(std::string_view text) {
  if (text.starts_with(kHashPrefix) || text.starts_with(kRequestPrefix) ||
      text.starts_with(kWholeRequestPrefix))
    return text.size() == kMaximumKeyBytes && IsHexadecimal(text.substr(1));
  return !text.empty() && text.size() <= kMaximumPlainKeyBytes &&
         IsHexadecimal(text);
}

TimePoint BlockedContent::RefusedUntil(TimePoint now) const {
  const TimePoint confirmed_at = crashed_at + kConfirmationTime;
  return now < confirmed_at ? std::min(confirmed_at, until) : until;
}

TimePoint BlockedContent::NextTrialAt() const {
  Duration delay = kFirstTrialDelay;
  for (int i = 0; i < std::min(trials, kMaximumTrialDelaySteps); ++i)
    delay *= kTrialDelayFactor;
  return crashed_at + delay;
}

CrashSuspects::Suspect& CrashSuspects::SuspectOf(const ContentKey& content) {
  return suspects_
      .try_emplace(content,
                   Suspect{ContentCrashes(IsRequestKey(content)), {}, {}})
      .first->second;
}

std::vector<ContentKey> CrashSuspects::AddCrash(
    std::span<const ContentKey> contents, ServerCrash crash) {
  if (contents.empty()) return {};
  if (IsRequestKey(contents.back()))
    crash.request = StableHash(contents.back().value());
  RememberCrash(crash);
  bool is_explained = false;
  for (const ContentKey& content : contents) {
    const auto known = blocked_.find(content);
    if (known == blocked_.end()) continue;
    known->second.crashed_at = std::max(known->second.crashed_at, crash.at);
    Explain(crash.incarnation, content);
    is_explained = true;
  }
  const std::span<const ContentKey> narrowest =
      contents.last(std::min(contents.size(), kMaximumRequestContents));
  const auto request = std::make_shared<const std::vector<ContentKey>>(
      narrowest.begin(), narrowest.end());
  for (const ContentKey& content : contents) {
    if (blocked_.contains(content) || WasServedSince(content, crash.at))
      continue;
    const Explanation explanation = ExplanationOf(crash.incarnation, content);
    if (explanation == Explanation::kWider) continue;
    Suspect& suspect = SuspectOf(content);
    suspect.crashes.Add(crash, explanation == Explanation::kOther);
    suspect.request = request;
    AddLaterParts(content, narrowest, suspect.later_parts);
  }
  if (is_explained) return {};
  std::vector<ContentKey> blocked = BlockCause(contents);
  LimitSuspects();
  return blocked;
}

void CrashSuspects::AddLaterParts(const ContentKey& content,
                                  std::span<const ContentKey> request,
                                  std::vector<ContentKey>& parts) {
  if (IsRequestKey(content)) return;
  auto part = std::find(request.begin(), request.end(), content);
  while (part != request.end() && ++part != request.end()) {
    if (IsRequestKey(*part) ||
        std::find(parts.begin(), parts.end(), *part) != parts.end())
      continue;
    if (parts.size() == kMaximumLaterParts) parts.erase(parts.begin());
    parts.push_back(*part);
  }
}

std::vector<ContentKey> CrashSuspects::BlockCause(
    std::span<const ContentKey> contents) {
  const ContentKey* cause = FindCause(contents);
  if (cause == nullptr) return {};
  const ContentCrashes crashes = suspects_.at(*cause).crashes;
  const TimePoint last = crashes.last_at();
  if (!Block(*cause, {last, last + kBlockTime, 0})) return {};
  evidence_.insert_or_assign(*cause, crashes);
  return {*cause};
}

std::vector<ContentKey> CrashSuspects::JudgeCrashes(TimePoint now) {
  // What others have reported during a pause of this process was not read yet.
  if (now - judged_at_ > kMaximumPause)
    no_judgement_until_ = now + kCatchUpTime;
  judged_at_ = now;
  if (now < no_judgement_until_) return {};
  const auto count_others = [this](TimePoint from, TimePoint to,
                                   std::span<const std::uint64_t> except) {
    return CountCrashes(from, to, except);
  };
  std::vector<std::shared_ptr<const std::vector<ContentKey>>> requests;
  for (auto& [content, suspect] : suspects_) {
    if (!suspect.request || !suspect.crashes.IsPending()) continue;
    const auto compared_at = OtherPartServedAt(content, *suspect.request);
    if (compared_at && suspect.crashes.Judge(now, *compared_at, count_others))
      requests.push_back(suspect.request);
  }
  std::vector<ContentKey> blocked;
  for (const auto& request : requests) {
    const bool has_blocked_content =
        std::any_of(request->begin(), request->end(),
                    [this](const auto& content) { return Find(content); });
    if (has_blocked_content) continue;
    for (ContentKey& cause : BlockCause(*request))
      blocked.push_back(std::move(cause));
  }
  return blocked;
}

// Only parts: keys of requests are not remembered as served.
std::optional<TimePoint> CrashSuspects::OtherPartServedAt(
    const ContentKey& content, std::span<const ContentKey> request) const {
  std::optional<TimePoint> served_at;
  for (const ContentKey& other : request) {
    if (other == content || IsRequestKey(other)) continue;
    for (const auto* served : {&served_, &served_before_}) {
      const auto known = served->find(other);
      if (known == served->end()) continue;
      served_at = std::max(served_at.value_or(known->second), known->second);
    }
  }
  return served_at;
}

bool CrashSuspects::IsExplained(std::uint64_t incarnation) const {
  return std::any_of(explained_.begin(), explained_.end(),
                     [incarnation](const ExplainedCrash& crash) {
                       return crash.incarnation == incarnation;
                     });
}

std::size_t CrashSuspects::CountCrashes(
    TimePoint from, TimePoint to, std::span<const std::uint64_t> except) const {
  const auto is_counted = [&](const auto& item) {
    const TimePoint crashed_at = item.second.first_at;
    return crashed_at >= from && crashed_at <= to &&
           std::find(except.begin(), except.end(), item.first) ==
               except.end() &&
           !IsExplained(item.first);
  };
  return static_cast<std::size_t>(
      std::count_if(known_crashes_.begin(), known_crashes_.end(), is_counted));
}

const ContentKey* CrashSuspects::FindCause(
    std::span<const ContentKey> contents) const {
  const bool has_whole_request =
      std::any_of(contents.begin(), contents.end(), [](const auto& content) {
        return KindOf(content) == ContentKind::kWholeRequest;
      });
  const ContentKey* cause = nullptr;
  std::pair<ContentKind, int> best{};
  for (const ContentKey& content : contents) {
    const auto suspect = suspects_.find(content);
    if (suspect == suspects_.end()) continue;
    const ContentKind kind = KindOf(content);
    const ContentCrashes::Weight weight = suspect->second.crashes.GetWeight();
    // Requests with other queries or prompts may be sound.
    const int least =
        kind == ContentKind::kRequestWithoutQuery && has_whole_request
            ? kScoreToBlockSharedContent
            : ScoreToBlock(content);
    if (weight.score < least && weight.times < kTimesToBlock &&
        weight.separate_crashes < kSeparateCrashesToBlock)
      continue;
    if (HasNarrowerCause(content, weight.servers, contents)) continue;
    // What is wider crashes servers without the narrower one.
    if (cause != nullptr && (kind > best.first || (kind == best.first &&
                                                   weight.score < best.second)))
      continue;
    cause = &content;
    best = {kind, weight.score};
  }
  return cause;
}

// Beside requests that crash servers again and again, sound ones with the same
// part are at the same servers. Reports of the cause may be on their way.
bool CrashSuspects::HasNarrowerCause(
    const ContentKey& content, std::size_t servers,
    std::span<const ContentKey> contents) const {
  const auto accounts_for_it = [&](const ContentKey& other) {
    const auto suspect = suspects_.find(other);
    if (suspect == suspects_.end()) return false;
    const std::size_t others = suspect->second.crashes.size();
    return others > 1 && servers < others + kServersBesideNarrower;
  };
  const bool is_request_the_cause = std::any_of(
      contents.begin(), contents.end(), [&](const ContentKey& other) {
        return KindOf(other) > KindOf(content) && accounts_for_it(other);
      });
  if (is_request_the_cause) return true;
  const std::vector<ContentKey>& parts = suspects_.at(content).later_parts;
  return std::any_of(parts.begin(), parts.end(), accounts_for_it);
}

// A sound content whose requests are rare may be at several crashed servers
// before it is served again.
int CrashSuspects::ScoreToBlock(const ContentKey& content) const {
  return WasServed(content) && !IsRequestKey(content)
             ? kScoreToBlockSharedContent
             : kScoreToBlock;
}

bool CrashSuspects::WasServed(const ContentKey& content) const {
  return served_.contains(content) || served_before_.contains(content);
}

CrashSuspects::ContentKind CrashSuspects::KindOf(const ContentKey& content) {
  if (content.value().starts_with(kRequestPrefix))
    return ContentKind::kRequestWithoutQuery;
  return content.value().starts_with(kWholeRequestPrefix)
             ? ContentKind::kWholeRequest
             : ContentKind::kPromptPart;
}

// Of two requests that a server had when it crashed, the one that was blocked
// first may be the sound one. So a blocked request does not excuse others.
CrashSuspects::Explanation CrashSuspects::ExplanationOf(
    std::uint64_t incarnation, const ContentKey& content) const {
  const ContentKind kind = KindOf(content);
  auto explanation = Explanation::kNone;
  for (const ExplainedCrash& crash : explained_) {
    const bool excuses =
        crash.cause == ContentKind::kPromptPart || crash.cause != kind;
    if (crash.incarnation != incarnation || !excuses) continue;
    if (crash.cause < kind) return Explanation::kWider;
    explanation = Explanation::kOther;
  }
  return explanation;
}

void CrashSuspects::Explain(std::uint64_t incarnation,
                            const ContentKey& cause) {
  const ContentKind kind = KindOf(cause);
  const bool is_known = std::any_of(
      explained_.begin(), explained_.end(), [&](const ExplainedCrash& crash) {
        return crash.incarnation == incarnation && crash.cause == kind;
      });
  if (is_known) return;
  explained_.push_back({incarnation, kind});
  if (explained_.size() > kMaximumExplainedCrashes) explained_.pop_front();
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    switch (ExplanationOf(incarnation, suspect->first)) {
      case Explanation::kNone:
        break;
      case Explanation::kOther:
        suspect->second.crashes.Explain(incarnation);
        break;
      case Explanation::kWider:
        suspect->second.crashes.Remove(incarnation);
        break;
    }
    suspect = suspect->second.crashes.empty() ? suspects_.erase(suspect)
                                              : std::next(suspect);
  }
}

void CrashSuspects::ExplainCrashesOf(const ContentKey& content) {
  const auto suspect = suspects_.find(content);
  if (suspect == suspects_.end()) return;
  const ContentCrashes crashes = std::move(suspect->second.crashes);
  suspects_.erase(suspect);
  for (const std::uint64_t incarnation : crashes.Incarnations())
    Explain(incarnation, content);
}

// Drops many contents at once, since sorting them takes time: those with the
// least score, and of these the ones whose last crash is the oldest.
void CrashSuspects::LimitSuspects() {
  if (suspects_.size() <= kMaximumSuspects) return;
  struct Candidate {
    int score;
    TimePoint last_crash;
    ContentKey content;
    bool operator<(const Candidate& other) const {
      return std::tie(score, last_crash, content) <
             std::tie(other.score, other.last_crash, other.content);
    }
  };
  std::vector<Candidate> candidates;
  candidates.reserve(suspects_.size());
  for (const auto& [content, suspect] : suspects_)
    candidates.push_back({suspect.crashes.GetWeight().score,
                          suspect.crashes.last_at(), content});
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(candidates.size() - kSuspectsAfterLimit);
  for (const Candidate& candidate : candidates)
    suspects_.erase(candidate.content);
}

std::vector<ContentKey> CrashSuspects::AddServed(
    std::span<const ContentKey> contents, TimePoint at) {
  std::vector<ContentKey> cleared;
  for (const ContentKey& content : contents) {
    // Keys of requests are many, and few come again.
    if (!IsRequestKey(content) || suspects_.contains(content) ||
        blocked_.contains(content))
      RememberServed(content, at);
    bool is_cleared = false;
    const auto suspect = suspects_.find(content);
    if (suspect != suspects_.end()) {
      is_cleared = suspect->second.crashes.RemoveUntil(at);
      if (suspect->second.crashes.empty()) suspects_.erase(suspect);
    }
    const auto blocked = blocked_.find(content);
    if (blocked != blocked_.end() && blocked->second.crashed_at <= at) {
      blocked_.erase(blocked);
      evidence_.erase(content);
      is_cleared = true;
    }
    if (is_cleared) cleared.push_back(content);
  }
  return cleared;
}

void CrashSuspects::RememberServed(const ContentKey& content, TimePoint at) {
  if (served_.size() >= kMaximumServedContents && !served_.contains(content)) {
    served_before_ = std::move(served_);
    served_.clear();
  }
  TimePoint& known = served_[content];
  known = std::max(known, at);
}

bool CrashSuspects::WasServedSince(const ContentKey& content,
                                   TimePoint at) const {
  for (const auto* served : {&served_, &served_before_}) {
    const auto known = served->find(content);
    if (known != served->end()) return known->second > at;
  }
  return false;
}

void CrashSuspects::RememberCrash(const ServerCrash& crash) {
  if (known_crashes_.size() >= kMaximumCrashedServers)
    std::erase_if(known_crashes_, [&](const auto& item) {
      return crash.at - item.second.at > kRefutableTime;
    });
  if (known_crashes_.size() >= kMaximumCrashedServers) return;
  KnownCrash& known =
      known_crashes_
          .try_emplace(crash.incarnation, KnownCrash{crash.at, {}, {}})
          .first->second;
  known.sent_at = std::max(known.sent_at, crash.sent_at);
  known.at = std::max(known.at, crash.at);
}

std::optional<TimePoint> CrashSuspects::CrashedAt(
    std::uint64_t incarnation) const {
  const auto known = known_crashes_.find(incarnation);
  if (known == known_crashes_.end()) return std::nullopt;
  return known->second.at;
}

std::size_t CrashSuspects::CrashesOf(const ContentKey& content) const {
  const auto evidence = evidence_.find(content);
  return evidence == evidence_.end() ? 0 : evidence->second.size();
}

std::optional<Suspicion> CrashSuspects::StrongestSuspicion(
    std::span<const ContentKey> contents) const {
  std::optional<Suspicion> strongest;
  for (const ContentKey& content : contents) {
    const auto suspect = suspects_.find(content);
    if (suspect == suspects_.end()) continue;
    const ContentCrashes::Weight weight = suspect->second.crashes.GetWeight();
    const Suspicion suspicion{content, weight.servers, weight.score,
                              ScoreToBlock(content)};
    if (!strongest || std::pair(suspicion.score, suspicion.servers) >=
                          std::pair(strongest->score, strongest->servers))
      strongest = suspicion;
  }
  return strongest;
}

std::optional<std::vector<ContentKey>> CrashSuspects::RefuteCrash(
    std::uint64_t incarnation, const LifeSpan& life) {
  const auto known = known_crashes_.find(incarnation);
  if (known == known_crashes_.end()) return std::nullopt;
  // A process that was connected to later may be a successor: a server may
  // start again under its id and address.
  if (life.from > known->second.sent_at || life.to < known->second.at)
    return std::nullopt;
  known_crashes_.erase(known);
  std::erase_if(explained_, [incarnation](const ExplainedCrash& crash) {
    return crash.incarnation == incarnation;
  });
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    suspect->second.crashes.Remove(incarnation);
    suspect = suspect->second.crashes.empty() ? suspects_.erase(suspect)
                                              : std::next(suspect);
  }
  std::vector<ContentKey> released;
  for (auto evidence = evidence_.begin(); evidence != evidence_.end();) {
    auto& [content, crashes] = *evidence;
    if (!crashes.Remove(incarnation) ||
        crashes.GetWeight().score >= kScoreToBlock) {
      ++evidence;
      continue;
    }
    released.push_back(content);
    blocked_.erase(content);
    if (!crashes.empty()) SuspectOf(content).crashes = crashes;
    evidence = evidence_.erase(evidence);
  }
  return released;
}

bool CrashSuspects::Block(const ContentKey& content,
                          const BlockedContent& block) {
  if (WasServedSince(content, block.crashed_at)) return false;
  const auto known = blocked_.find(content);
  if (known == blocked_.end() && blocked_.size() >= kMaximumBlockedContents)
    return false;
  if (known != blocked_.end() && known->second.crashed_at >= block.crashed_at)
    return false;
  blocked_.insert_or_assign(content, block);
  ExplainCrashesOf(content);
  return true;
}

void CrashSuspects::Release(const ContentKey& content) {
  blocked_.erase(content);
  evidence_.erase(content);
}

bool CrashSuspects::TracksRequests() const {
  const ContentKey first(std::string(1, kWholeRequestPrefix));
  const auto is_request = [](const auto& contents, auto found) {
    return found != contents.end() && IsRequestKey(found->first);
  };
  return is_request(suspects_, suspects_.lower_bound(first)) ||
         is_request(blocked_, blocked_.lower_bound(first));
}

const BlockedContent* CrashSuspects::Find(const ContentKey& content) const {
  const auto found = blocked_.find(content);
  return found == blocked_.end() ? nullptr : &found->second;
}

// If the trial brings no result, the next one follows as if it had failed.
void CrashSuspects::StartTrial(const ContentKey& content, TimePoint now) {
  const auto found = blocked_.find(content);
  if (found == blocked_.end()) return;
  ++found->second.trials;
  found->second.crashed_at = now;
}

void CrashSuspects::RemoveExpired(TimePoint now) {
  for (auto block = blocked_.begin(); block != blocked_.end();) {
    if (block->second.until > now) {
      ++block;
      continue;
    }
    suspects_.erase(block->first);
    ContentCrashes& crashes = SuspectOf(block->first).crashes;
    // Block the content together with one more crash. They stand for no server.
    const int remembered = ScoreToBlock(block->first) / kScoreOfCrash - 1;
    for (int i = remembered; i > 0; --i)
      crashes.Add(
          {StableHash(block->first.value(), static_cast<std::uint64_t>(i)),
           CrashMoment::kJustStarted, now - kRememberedInterval * i},
          false);
    evidence_.erase(block->first);
    block = blocked_.erase(block);
  }
  std::erase_if(known_crashes_, [now](const auto& item) {
    return now - item.second.at > kRefutableTime;
  });
  LimitSuspects();
}

}  // namespace lovagecleat::routing
