#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

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
  TimePoint sent_at{};        // when the request was sent to the server
  std::uint64_t request = 0;  // hash of the request's key; 0 if it has none
};

// The crashes of servers under one content since it was served last.
class ContentCrashes {
 public:
  // How much the crashes speak against the content. Explained ones count only
  // beside enough others, which the blocked content cannot explain.
  struct Weight {
    std::size_t servers = 0;
    int score = 0;
    int times = 0;             // distinct times of crashes
    int separate_crashes = 0;  // that are known to have no common cause
  };

  // `is_request`: the content is a whole request, which few others share.
  explicit ContentCrashes(bool is_request) : is_request_(is_request) {}

  // Several hosts, and several requests of one, report the same crash: it is
  // added once. It is explained if another content of the server's requests is
  // blocked.
  void Add(const ServerCrash& crash, bool is_explained);

  // Marks the crash of that incarnation as explained, if there is one.
  void Explain(std::uint64_t incarnation);

  // Returns whether there was a crash of that incarnation.
  bool Remove(std::uint64_t incarnation);

  // Removes the crashes up to `at`. Returns whether there were any.
  bool RemoveUntil(TimePoint at);

  // Returns the number of servers that crashed within that time, whatever
  // requests they had, but for those in `incarnations`.
  using CountOthers =
      std::function<std::size_t(TimePoint from, TimePoint to,
                                std::span<const std::uint64_t> incarnations)>;

  // Decides whether servers that crashed together had a cause in common, such
  // as a loss of power. Returns whether any of their crashes count by
  // themselves from now on. `compared_at`: when similar requests without the
  // content were served last.
  bool Judge(TimePoint now, TimePoint compared_at,
             const CountOthers& count_others);

  // Returns whether there are crashes to judge.
  bool IsPending() const;

  Weight GetWeight() const;

  bool empty() const { return crashes_.empty(); }
  std::size_t size() const { return crashes_.size(); }
  // The last crash; there must be one.
  TimePoint last_at() const { return crashes_.back().crash.at; }
  std::vector<std::uint64_t> Incarnations() const;

 private:
  enum class Judgement { kPending, kCommonCause, kSeparate };
  struct Entry {
    ServerCrash crash;
    bool is_explained = false;
    Judgement judgement = Judgement::kPending;
  };

  // Crashes within the time in which they may have a common cause.
  std::vector<std::span<Entry>> Groups();
  int ScoreOf(const ServerCrash& crash) const;
  // Returns whether the request was sent after it had crashed another server.
  bool IsRepeat(const ServerCrash& crash) const;

  Weight WeightOf(bool with_explained) const;

  bool is_request_;
  std::vector<Entry> crashes_;  // the earliest first
};

}  // namespace lovagecleat::routing
