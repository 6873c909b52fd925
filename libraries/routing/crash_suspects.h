#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "routing/content_crashes.h"
#include "routing/prompt_placement.h"

namespace lovagecleat::routing {

// Identifies what servers may crash under: a part of a prompt, or a whole
// request. Of bounded size and safe to print, whatever the caller has chosen.
using ContentKey = StringId<struct ContentKeyTag>;

// Returns the key of a part: its id if that is hexadecimal and short, else a
// hash of it.
ContentKey KeyOf(const PromptPart& content);

// Returns the keys of the parts that other requests may share: all but the
// last.
std::vector<ContentKey> SharedPartKeys(const Prompt& prompt);

// What a request is, whichever attempt of its caller brings it: without ids,
// deadlines and the point at which a stream is resumed.
struct RequestIdentity {
  std::string_view caller;  // the team; empty if it is not known
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view body;
  std::span<const PromptPart> prompt_parts;
};

// Returns the keys of the request, the one that more requests share first:
// without its query and prompt and, if it has one of them, with both. Callers
// cannot make a request with the key of another caller's.
std::vector<ContentKey> RequestKeys(const RequestIdentity& request);

// Returns the keys as a list for a log line, cut if it is long.
std::string FormatForLog(std::span<const ContentKey> contents);

inline constexpr std::size_t kMaximumKeyBytes = 33;

// Returns whether `text` could be a key.
bool IsContentKey(std::string_view text);

// A time through which one process of a server is known to have run: it held a
// connection from the start on and handled a request that was sent at the end.
struct LifeSpan {
  TimePoint from{};
  TimePoint to{};
};

// A content that is not sent to servers.
struct BlockedContent {
  TimePoint crashed_at{};  // the last known crash
  TimePoint until{};
  int trials = 0;  // requests sent since to find out

  // Returns until when requests are refused for now: for a moment at first,
  // since the servers may turn out to live.
  TimePoint RefusedUntil(TimePoint now) const;

  // Returns when a single request may show whether the content still crashes
  // servers.
  TimePoint NextTrialAt() const;
};

// How much speaks against a content that is not blocked.
struct Suspicion {
  ContentKey content;
  std::size_t servers = 0;  // whose crashes are counted
  int score = 0;
  int score_to_block = 0;
};

// Finds the contents under which servers crash, whatever else a request has.
// Every content of the requests that a crashed server had just begun, or was
// about to begin, is suspect. Two things tell the cause from contents that
// sound requests share with it: those were served since, and crashes that a
// blocked content explains count against others only if servers go on crashing
// without it. Servers that crash together may have a cause in common. Few
// others come with the key of a request, so three servers are enough to block
// one, whatever they had done for it.
class CrashSuspects {
 public:
  // Records that a server crashed under a request with these contents. Returns
  // the contents that are blocked from now on.
  std::vector<ContentKey> AddCrash(std::span<const ContentKey> contents,
                                   ServerCrash crash);

  // Decides about servers that crashed at one time under a content, once there
  // was time to see whether it is served. Returns the contents that are blocked
  // from now on. Call it periodically.
  std::vector<ContentKey> JudgeCrashes(TimePoint now);

  // Records that a server has served a request with these contents that was
  // sent at `at`. Returns the contents that were suspect or blocked.
  std::vector<ContentKey> AddServed(std::span<const ContentKey> contents,
                                    TimePoint at);

  // Removes the crashes of a server that one of its processes has outlived.
  // Returns nothing if there was none, else the contents that are not blocked
  // any more: too few of their crashes are left.
  std::optional<std::vector<ContentKey>> RefuteCrash(std::uint64_t incarnation,
                                                     const LifeSpan& life);
  bool has_crashes() const { return !known_crashes_.empty(); }

  // Returns when the incarnation crashed last; nothing if that is not known.
  std::optional<TimePoint> CrashedAt(std::uint64_t incarnation) const;

  // Returns the number of crashes for which this host has blocked the content;
  // zero if another host has.
  std::size_t CrashesOf(const ContentKey& content) const;

  // Returns the content against which most speaks; nothing if none is suspect.
  std::optional<Suspicion> StrongestSuspicion(
      std::span<const ContentKey> contents) const;

  // Blocks a content as another host does. Returns false, without effect, if
  // this host knows that the content was served since the crash, or a later
  // crash.
  bool Block(const ContentKey& content, const BlockedContent& block);

  // Ends the block of a content without taking it for served.
  void Release(const ContentKey& content);

  // Returns whether this host knows that the content was served after `at`.
  bool WasServedSince(const ContentKey& content, TimePoint at) const;

  // Returns the block of a content; null if it is not blocked.
  const BlockedContent* Find(const ContentKey& content) const;

  // Counts a request with the blocked content as sent for a trial at `now`.
  void StartTrial(const ContentKey& content, TimePoint now);

  const std::map<ContentKey, BlockedContent>& blocked() const {
    return blocked_;
  }

  // Returns whether the key of a request is suspect or blocked. While there is
  // none, the keys of requests need not be known.
  bool TracksRequests() const;

  // Ends the blocks whose time is over. One more crash blocks such a content
  // again.
  void RemoveExpired(TimePoint now);

 private:
  // Returns the content that is to be blocked; null if there is none. Of
  // several the narrowest under which about as many servers have crashed as
  // under those that more requests share, then the one with the highest score.
  const ContentKey* FindCause(std::span<const ContentKey> contents) const;
  // Returns whether a narrower one of the contents, or a part that came after
  // it in another request, accounts for most of the servers that crashed under
  // `content`.
  bool HasNarrowerCause(const ContentKey& content, std::size_t servers,
                        std::span<const ContentKey> contents) const;
  // Blocks the cause among the contents. Returns it, or nothing.
  std::vector<ContentKey> BlockCause(std::span<const ContentKey> contents);
  // Returns when another part of the request was served last; nothing if that
  // is not known.
  std::optional<TimePoint> OtherPartServedAt(
      const ContentKey& content, std::span<const ContentKey> request) const;
  bool IsExplained(std::uint64_t incarnation) const;
  // Returns the number of servers that crashed within that time, without those
  // that are listed or explained.
  std::size_t CountCrashes(TimePoint from, TimePoint to,
                           std::span<const std::uint64_t> except) const;
  int ScoreToBlock(const ContentKey& content) const;
  bool WasServed(const ContentKey& content) const;
  // Records that `cause`, which is blocked, explains the crash.
  void Explain(std::uint64_t incarnation, const ContentKey& cause);
  // Does so for the crashes under a content that is blocked now.
  void ExplainCrashesOf(const ContentKey& content);
  // What explains a crash under a content: nothing, the block of another one,
  // or that of one which all its requests have, so that it needs none itself.
  enum class Explanation { kNone, kOther, kWider };
  Explanation ExplanationOf(std::uint64_t incarnation,
                            const ContentKey& content) const;
  void RememberCrash(const ServerCrash& crash);
  void LimitSuspects();
  void RememberServed(const ContentKey& content, TimePoint at);

  struct Suspect {
    ContentCrashes crashes;
    // The contents of the last request with this one that was reported, or the
    // narrowest of them; null if there is none. Its suspects share it.
    std::shared_ptr<const std::vector<ContentKey>> request;
    // Parts that came after this one in prompts under which servers crashed:
    // fewer requests share them.
    std::vector<ContentKey> later_parts;
  };
  Suspect& SuspectOf(const ContentKey& content);
  static void AddLaterParts(const ContentKey& content,
                            std::span<const ContentKey> request,
                            std::vector<ContentKey>& parts);
  std::map<ContentKey, Suspect> suspects_;
  struct KnownCrash {
    TimePoint first_at{};  // the first report
    TimePoint sent_at{};   // the last request under which it was noticed
    TimePoint at{};        // the last report
  };
  std::map<std::uint64_t, KnownCrash> known_crashes_;  // by incarnation
  std::map<ContentKey, BlockedContent> blocked_;
  // The crashes for which this host has blocked contents.
  std::map<ContentKey, ContentCrashes> evidence_;
  // Those that fewer requests share come later.
  enum class ContentKind { kRequestWithoutQuery, kPromptPart, kWholeRequest };
  struct ExplainedCrash {
    std::uint64_t incarnation = 0;
    ContentKind cause = ContentKind::kPromptPart;
  };
  static ContentKind KindOf(const ContentKey& content);
  std::deque<ExplainedCrash> explained_;  // the latest last
  // When contents were served last. A full map replaces the older one.
  std::map<ContentKey, TimePoint> served_;
  std::map<ContentKey, TimePoint> served_before_;
  TimePoint judged_at_{};
  TimePoint no_judgement_until_{};
};

}  // namespace lovagecleat::routing
