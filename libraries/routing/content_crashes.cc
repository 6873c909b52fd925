#include "routing/content_crashes.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// A server that had just begun its response says most: it has begun one request
// at that moment, and may have others that wait or go on.
constexpr int kScoreOfJustStarted = 2;
constexpr int kScoreOfUnclear = 1;
// Scores of crashes of one server, and of several at one time, under the key of
// a request.
constexpr int kScoreOfRequest = 2;
constexpr int kScoreOfRequestAtSeveral = 3;
// Crashes within this time count as one: many servers may crash for one reason
// that is not in the requests, such as a loss of power.
constexpr Duration kCommonCauseTime = std::chrono::milliseconds(250);
// A sound content that several servers had when they crashed is in use, and is
// served by others within this time.
constexpr Duration kJudgementTime = std::chrono::seconds(2);
// Crashes that no blocked content explains, beside which the others count: as
// many as block a content by themselves.
constexpr std::size_t kServersBesideExplained = 3;
// Crashes count for this long unless the content is served.
constexpr Duration kCrashMemory = std::chrono::minutes(30);
// Callers choose the contents, so what is kept of them is bounded.
constexpr std::size_t kMaximumCrashes = 16;

int ScoreOfMoment(CrashMoment moment) {
  return moment == CrashMoment::kJustStarted ? kScoreOfJustStarted
                                             : kScoreOfUnclear;
}

}  // namespace

void ContentCrashes::Add(const ServerCrash& crash, bool is_explained) {
  const auto known = std::find_if(
      crashes_.begin(), crashes_.end(), [&crash](const Entry& other) {
        return other.crash.incarnation == crash.incarnation;
      });
  if (known != crashes_.end()) {
    if (ScoreOfMoment(crash.moment) > ScoreOfMoment(known->crash.moment))
      known->crash.moment = crash.moment;
    known->is_explained = known->is_explained || is_explained;
    return;
  }
  std::erase_if(crashes_, [&crash](const Entry& other) {
    return crash.at - other.crash.at > kCrashMemory;
  });
  const auto position = std::upper_bound(
      crashes_.begin(), crashes_.end(), crash.at,
      [](TimePoint at, const Entry& other) { return at < other.crash.at; });
  crashes_.insert(position, {crash, is_explained, Judgement::kPending});
  if (crashes_.size() <= kMaximumCrashes) return;
  // Of the most servers that crashed at one time, the one that says least, so
  // that a large group does not displace earlier crashes; else the oldest.
  std::span<Entry> largest(crashes_.data(), 1);
  for (const std::span<Entry> group : Groups())
    if (group.front().judgement != Judgement::kSeparate &&
        group.size() > largest.size())
      largest = group;
  const auto weakest = std::min_element(
      largest.begin(), largest.end(), [this](const Entry& a, const Entry& b) {
        return ScoreOf(a.crash) < ScoreOf(b.crash);
      });
  crashes_.erase(crashes_.begin() + (&*weakest - crashes_.data()));
}

void ContentCrashes::Explain(std::uint64_t incarnation) {
  for (Entry& entry : crashes_)
    if (entry.crash.incarnation == incarnation) entry.is_explained = true;
}

bool ContentCrashes::Remove(std::uint64_t incarnation) {
  return std::erase_if(crashes_, [incarnation](const Entry& entry) {
           return entry.crash.incarnation == incarnation;
         }) > 0;
}

bool ContentCrashes::RemoveUntil(TimePoint at) {
  return std::erase_if(crashes_, [at](const Entry& entry) {
           return entry.crash.at <= at;
         }) > 0;
}

std::vector<std::uint64_t> ContentCrashes::Incarnations() const {
  std::vector<std::uint64_t> incarnations;
  incarnations.reserve(crashes_.size());
  for (const Entry& entry : crashes_)
    incarnations.push_back(entry.crash.incarnation);
  return incarnations;
}

int ContentCrashes::ScoreOf(const ServerCrash& crash) const {
  return is_request_ ? kScoreOfRequest : ScoreOfMoment(crash.moment);
}

std::vector<std::span<ContentCrashes::Entry>> ContentCrashes::Groups() {
  std::vector<std::span<Entry>> groups;
  for (auto begin = crashes_.begin(); begin != crashes_.end();) {
    const auto end = std::find_if(begin, crashes_.end(), [&](const Entry& e) {
      return e.crash.at - begin->crash.at >= kCommonCauseTime;
    });
    groups.emplace_back(begin, end);
    begin = end;
  }
  return groups;
}

bool ContentCrashes::IsRepeat(const ServerCrash& crash) const {
  return crash.request != 0 &&
         std::any_of(crashes_.begin(), crashes_.end(),
                     [&crash](const Entry& other) {
                       return other.crash.request == crash.request &&
                              other.crash.at < crash.sent_at;
                     });
}

bool ContentCrashes::IsPending() const {
  return std::any_of(crashes_.begin(), crashes_.end(), [](const Entry& entry) {
    return entry.judgement == Judgement::kPending;
  });
}

// A common cause does not choose servers by what they serve. If it crashed
// servers with the content, it crashed others, too, and those that live serve
// the content as they serve what is similar to it.
bool ContentCrashes::Judge(TimePoint now, TimePoint compared_at,
                           const CountOthers& count_others) {
  bool has_changed = false;
  for (const std::span<Entry> group : Groups()) {
    const TimePoint first = group.front().crash.at;
    const TimePoint last = group.back().crash.at;
    const bool is_pending =
        std::any_of(group.begin(), group.end(), [](const Entry& entry) {
          return entry.judgement == Judgement::kPending;
        });
    if (!is_pending || now - last < kJudgementTime || compared_at <= last)
      continue;
    std::vector<std::uint64_t> incarnations;
    for (const Entry& entry : group)
      incarnations.push_back(entry.crash.incarnation);
    const std::size_t others = count_others(
        first - kCommonCauseTime, last + kCommonCauseTime, incarnations);
    const bool is_separate = group.size() > others;
    for (Entry& entry : group)
      entry.judgement =
          is_separate ? Judgement::kSeparate : Judgement::kCommonCause;
    has_changed = has_changed || is_separate;
  }
  return has_changed;
}

// A blocked request explains crashes as long as they come under it alone. A
// part that it shares with other requests may be what crashes the servers of
// all of them.
ContentCrashes::Weight ContentCrashes::GetWeight() const {
  const Weight unexplained = WeightOf(false);
  return unexplained.servers >= kServersBesideExplained ? WeightOf(true)
                                                        : unexplained;
}

// A request that was sent to a server after another one had crashed under it
// has crashed both by itself: they had no common cause. Several servers at one
// time may have one, or may have had the request at the same time.
ContentCrashes::Weight ContentCrashes::WeightOf(bool with_explained) const {
  Weight weight;
  int score_of_group = 0;
  TimePoint group_start{};
  TimePoint last_crash{};
  for (const auto& [crash, is_explained, judgement] : crashes_) {
    if (is_explained && !with_explained) continue;
    ++weight.servers;
    if (judgement == Judgement::kSeparate) {
      weight.score += ScoreOf(crash);
      ++weight.times;
      ++weight.separate_crashes;
      last_crash = crash.at;
      continue;
    }
    const bool is_repeat =
        is_request_ ? crash.sent_at > last_crash : IsRepeat(crash);
    const bool is_same_group = score_of_group > 0 && !is_repeat &&
                               crash.at - group_start < kCommonCauseTime;
    last_crash = crash.at;
    if (!is_same_group) {
      weight.score += score_of_group;
      ++weight.times;
      group_start = crash.at;
      score_of_group = ScoreOf(crash);
      continue;
    }
    score_of_group = is_request_ ? kScoreOfRequestAtSeveral
                                 : std::max(score_of_group, ScoreOf(crash));
  }
  weight.score += score_of_group;
  return weight;
}

}  // namespace lovagecleat::routing
