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

// Score of a content from which on it is blocked, and that of one crash. A
// server that had just begun its response says most: it has begun one request
// at that moment, and may have others that wait or go on.
constexpr int kScoreToBlock = 6;
// The same for a content that this host knows to have been served before.
constexpr int kScoreToBlockServedContent = 10;
constexpr int kScoreOfJustStarted = 2;
constexpr int kScoreOfUnclear = 1;
// Crashes within this time count as one: many servers may crash for one reason
// that is not in the requests, such as a loss of power.
constexpr Duration kCommonCauseTime = std::chrono::milliseconds(250);
// Crashes count for this long unless the content is served.
constexpr Duration kCrashMemory = std::chrono::minutes(30);
constexpr Duration kBlockTime = std::chrono::minutes(15);
// Time from the last crash to a trial, multiplied by the factor after each one.
constexpr Duration kFirstTrialDelay = std::chrono::seconds(45);
constexpr int kTrialDelayFactor = 4;
constexpr int kMaximumTrialDelaySteps = 4;

// Callers choose the contents, so what is kept of them is bounded.
constexpr std::size_t kMaximumSuspects = 4096;
constexpr std::size_t kSuspectsAfterLimit = 3072;
constexpr std::size_t kMaximumCrashesPerContent = 16;
constexpr std::size_t kMaximumExplainedCrashes = 64;
constexpr std::size_t kMaximumServedContents = 8192;
constexpr std::size_t kMaximumBlockedContents = 1024;

constexpr std::size_t kMaximumLoggedBytes = 256;
constexpr std::size_t kMaximumPlainKeyBytes = 32;
// Precede hashes, so that no id equals one.
constexpr char kHashPrefix = 'x';
constexpr char kRequestPrefix = 'r';
constexpr std::size_t kRequestKeyDigits = 32;

bool IsHexadecimal(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
  });
}

int ScoreOfMoment(CrashMoment moment) {
  return moment == CrashMoment::kJustStarted ? kScoreOfJustStarted
                                             : kScoreOfUnclear;
}

// A cryptographic hash, so that no caller finds a request of its own with the
// key of another one.
ContentKey KeyOfRequest(const RequestIdentity& request,
                        std::string_view target) {
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
  const std::string_view digits = g_checksum_get_string(checksum.get());
  return ContentKey(kRequestPrefix +
                    std::string(digits.substr(0, kRequestKeyDigits)));
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
  std::vector<ContentKey> keys{KeyOfRequest(request, path)};
  if (path.size() < request.target.size())
    keys.push_back(KeyOfRequest(request, request.target));
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
  if (text.starts_with(kHashPrefix) || text.starts_with(kRequestPrefix))
    return text.size() == kMaximumKeyBytes && IsHexadecimal(text.substr(1));
  return !text.empty() && text.size() <= kMaximumPlainKeyBytes &&
         IsHexadecimal(text);
}

TimePoint BlockedContent::NextTrialAt() const {
  Duration delay = kFirstTrialDelay;
  for (int i = 0; i < std::min(trials, kMaximumTrialDelaySteps); ++i)
    delay *= kTrialDelayFactor;
  return crashed_at + delay;
}

int CrashSuspects::ScoreOf(const Crashes& crashes) {
  int score = 0;
  int score_of_group = 0;
  TimePoint group_start{};
  for (const ServerCrash& crash : crashes) {
    const bool is_same_group =
        score_of_group > 0 && crash.at - group_start < kCommonCauseTime;
    if (!is_same_group) {
      score += score_of_group;
      score_of_group = 0;
      group_start = crash.at;
    }
    score_of_group = std::max(score_of_group, ScoreOfMoment(crash.moment));
  }
  return score + score_of_group;
}

// Several hosts, and several requests of one, report the same crash.
void CrashSuspects::AddTo(Crashes& crashes, const ServerCrash& crash) const {
  const auto known = std::find_if(
      crashes.begin(), crashes.end(), [&crash](const ServerCrash& other) {
        return other.incarnation == crash.incarnation;
      });
  if (known != crashes.end()) {
    if (ScoreOfMoment(crash.moment) > ScoreOfMoment(known->moment))
      known->moment = crash.moment;
    return;
  }
  std::erase_if(crashes, [&crash](const ServerCrash& other) {
    return crash.at - other.at > kCrashMemory;
  });
  const auto position = std::upper_bound(
      crashes.begin(), crashes.end(), crash,
      [](const ServerCrash& a, const ServerCrash& b) { return a.at < b.at; });
  crashes.insert(position, crash);
  if (crashes.size() > kMaximumCrashesPerContent)
    crashes.erase(crashes.begin());
}

std::vector<ContentKey> CrashSuspects::AddCrash(
    std::span<const ContentKey> contents, const ServerCrash& crash) {
  bool is_explained = false;
  for (const ContentKey& content : contents) {
    const auto known = blocked_.find(content);
    if (known == blocked_.end()) continue;
    known->second.crashed_at = std::max(known->second.crashed_at, crash.at);
    is_explained = true;
  }
  if (is_explained) Explain(crash.incarnation);
  if (std::find(explained_.begin(), explained_.end(), crash.incarnation) !=
      explained_.end())
    return {};
  for (const ContentKey& content : contents)
    if (!WasServedSince(content, crash.at)) AddTo(suspects_[content], crash);
  std::vector<ContentKey> blocked;
  if (const ContentKey* cause = FindCause(contents)) {
    const TimePoint last = suspects_.at(*cause).back().at;
    if (Block(*cause, {last, last + kBlockTime, 0})) blocked.push_back(*cause);
  }
  LimitSuspects();
  return blocked;
}

const ContentKey* CrashSuspects::FindCause(
    std::span<const ContentKey> contents) const {
  const ContentKey* cause = nullptr;
  int highest = 0;
  for (const ContentKey& content : contents) {
    const auto suspect = suspects_.find(content);
    if (suspect == suspects_.end()) continue;
    const int score = ScoreOf(suspect->second);
    if (score < ScoreToBlock(content) || score < highest) continue;
    cause = &content;
    highest = score;
  }
  return cause;
}

// A sound content whose requests are rare may be at several crashed servers
// before it is served again.
int CrashSuspects::ScoreToBlock(const ContentKey& content) const {
  return WasServed(content) ? kScoreToBlockServedContent : kScoreToBlock;
}

bool CrashSuspects::WasServed(const ContentKey& content) const {
  return served_.contains(content) || served_before_.contains(content);
}

void CrashSuspects::Explain(std::uint64_t incarnation) {
  if (std::find(explained_.begin(), explained_.end(), incarnation) !=
      explained_.end())
    return;
  explained_.push_back(incarnation);
  if (explained_.size() > kMaximumExplainedCrashes) explained_.pop_front();
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    std::erase_if(suspect->second, [incarnation](const ServerCrash& crash) {
      return crash.incarnation == incarnation;
    });
    suspect =
        suspect->second.empty() ? suspects_.erase(suspect) : std::next(suspect);
  }
}

void CrashSuspects::ExplainCrashesOf(const ContentKey& content) {
  const auto suspect = suspects_.find(content);
  if (suspect == suspects_.end()) return;
  const Crashes crashes = std::move(suspect->second);
  suspects_.erase(suspect);
  for (const ServerCrash& crash : crashes) Explain(crash.incarnation);
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
  for (const auto& [content, crashes] : suspects_)
    candidates.push_back({ScoreOf(crashes), crashes.back().at, content});
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(candidates.size() - kSuspectsAfterLimit);
  for (const Candidate& candidate : candidates)
    suspects_.erase(candidate.content);
}

std::vector<ContentKey> CrashSuspects::AddServed(
    std::span<const ContentKey> contents, TimePoint at) {
  std::vector<ContentKey> cleared;
  for (const ContentKey& content : contents) {
    RememberServed(content, at);
    bool is_cleared = false;
    const auto suspect = suspects_.find(content);
    if (suspect != suspects_.end()) {
      is_cleared =
          std::erase_if(suspect->second, [at](const ServerCrash& crash) {
            return crash.at <= at;
          }) > 0;
      if (suspect->second.empty()) suspects_.erase(suspect);
    }
    const auto blocked = blocked_.find(content);
    if (blocked != blocked_.end() && blocked->second.crashed_at <= at) {
      blocked_.erase(blocked);
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
    Crashes& crashes = suspects_[block->first];
    crashes.clear();
    // Block the content together with one more crash. They stand for no server.
    const int remembered = ScoreToBlock(block->first) / kScoreOfJustStarted - 1;
    for (int i = remembered; i > 0; --i)
      crashes.push_back(
          {StableHash(block->first.value(), static_cast<std::uint64_t>(i)),
           CrashMoment::kJustStarted, now - kCommonCauseTime * i});
    block = blocked_.erase(block);
  }
  LimitSuspects();
}

}  // namespace lovagecleat::routing
