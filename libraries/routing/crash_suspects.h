#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "routing/prompt_placement.h"

namespace lovagecleat::routing {

// Identifies a part of a prompt. Of bounded size and safe to print, whatever id
// the caller has chosen: the id itself if it is hexadecimal and short, else a
// hash of it.
using PromptPartKey = StringId<struct PromptPartKeyTag>;
PromptPartKey KeyOf(const PromptPart& part);

// Returns the keys of the parts that other requests may share: all but the
// last.
std::vector<PromptPartKey> SharedPartKeys(const Prompt& prompt);

// Returns the keys as a list for a log line, cut if it is long.
std::string FormatForLog(std::span<const PromptPartKey> parts);

inline constexpr std::size_t kMaximumKeyBytes = 33;

// Returns whether `text` could have been returned by KeyOf.
bool IsPromptPartKey(std::string_view text);

// What a server did for a request when it crashed.
enum class CrashMoment {
  kJustStarted,  // it had begun its response, but sent no content
  kUnclear,      // it had sent nothing yet, or some content
};

// One server's crash, as far as it concerns one request.
struct ServerCrash {
  std::uint64_t incarnation = 0;  // hash of the server's incarnation
  CrashMoment moment = CrashMoment::kUnclear;
  TimePoint at{};
};

// A part that is not sent to servers.
struct BlockedPart {
  TimePoint crashed_at{};  // the last known crash
  TimePoint until{};
  int trials = 0;  // requests sent since to find out

  // Returns when a single request may show whether the part still crashes
  // servers.
  TimePoint NextTrialAt() const;
};

// Finds the parts of prompts under which servers crash, whatever else a request
// has. Every part of the requests that a crashed server had just begun, or was
// about to begin, is suspect. Two things tell the cause from parts that sound
// requests share with it: those were served since, and crashes that a blocked
// part explains do not count against others.
class CrashSuspects {
 public:
  // Records that a server crashed under a request with these parts. Returns the
  // parts that are blocked from now on.
  std::vector<PromptPartKey> AddCrash(std::span<const PromptPartKey> parts,
                                      const ServerCrash& crash);

  // Records that a server has served these parts up to `at` and lives. Returns
  // the parts that were suspect or blocked.
  std::vector<PromptPartKey> AddServed(std::span<const PromptPartKey> parts,
                                       TimePoint at);

  // Blocks a part as another host does. Returns false, without effect, if this
  // host knows that the part was served since the crash, or a later crash.
  bool Block(const PromptPartKey& part, const BlockedPart& block);

  // Returns whether this host knows that the part was served after `at`.
  bool WasServedSince(const PromptPartKey& part, TimePoint at) const;

  // Returns the block of a part; null if it is not blocked.
  const BlockedPart* Find(const PromptPartKey& part) const;

  // Counts a request with the blocked part as sent for a trial at `now`.
  void StartTrial(const PromptPartKey& part, TimePoint now);

  const std::map<PromptPartKey, BlockedPart>& blocked() const {
    return blocked_;
  }

  // Ends the blocks whose time is over. One more crash blocks such a part
  // again.
  void RemoveExpired(TimePoint now);

 private:
  // The crashes under one part since it was served last, the earliest first.
  using Crashes = std::vector<ServerCrash>;

  static int ScoreOf(const Crashes& crashes);
  // Returns the part with the highest score that is to be blocked; null if
  // there is none. Of equal ones the last, which the fewest requests share.
  const PromptPartKey* FindCause(std::span<const PromptPartKey> parts) const;
  int ScoreToBlock(const PromptPartKey& part) const;
  bool WasServed(const PromptPartKey& part) const;
  // Records that the crash is no evidence against further parts.
  void Explain(std::uint64_t incarnation);
  // Does so for the crashes under a part that is blocked now.
  void ExplainCrashesOf(const PromptPartKey& part);
  void AddTo(Crashes& crashes, const ServerCrash& crash) const;
  void LimitSuspects();
  void RememberServed(const PromptPartKey& part, TimePoint at);

  std::map<PromptPartKey, Crashes> suspects_;
  std::map<PromptPartKey, BlockedPart> blocked_;
  std::deque<std::uint64_t> explained_;  // incarnations, the latest last
  // When parts were served last. A full map replaces the older one.
  std::map<PromptPartKey, TimePoint> served_;
  std::map<PromptPartKey, TimePoint> served_before_;
};

}  // namespace lovagecleat::routing
