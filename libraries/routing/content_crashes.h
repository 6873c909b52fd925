#pragma once

#include <cstddef>
#include <cstdint>
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
  std::uint64_t request = 0;  // hash of its narrowest content
};

// The crashes of servers under one content since it was served last.
class ContentCrashes {
 public:
  // How much the crashes speak against the content. Explained ones count only
  // beside enough others, which the blocked content cannot explain.
  struct Weight {
    std::size_t servers = 0;
    int score = 0;
    int times = 0;  // distinct times of crashes
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

  Weight GetWeight() const;

  bool empty() const { return crashes_.empty(); }
  std::size_t size() const { return crashes_.size(); }
  // The last crash; there must be one.
  TimePoint last_at() const { return crashes_.back().crash.at; }
  std::vector<std::uint64_t> Incarnations() const;

 private:
  struct Entry {
    ServerCrash crash;
    bool is_explained = false;
  };

  Weight WeightOf(bool with_explained) const;

  bool is_request_;
  std::vector<Entry> crashes_;  // the earliest first
};

}  // namespace lovagecleat::routing
