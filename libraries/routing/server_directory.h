#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/base.h"
#include "routing/model.h"
#include "routing/version_history.h"

namespace lovagecleat::routing {

// Load that a server reported with a response.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes on the server's machine at that moment, divided by how
  // long it takes as a rule; nothing if the server did not say.
  std::optional<double> slowdown;
  TimePoint at;
};

// Whether a server begins the streams that this host sends to it. Streams that
// have begun may go on while it takes no new work.
class StreamStarts {
 public:
  // A server that has begun no stream for this time although streams waited
  // takes no new work; one that is only slow begins some.
  static constexpr Duration kStopTime = std::chrono::seconds(3);

  // A stream that was sent at that time was left before its first event.
  void OnLeft(TimePoint sent_at) {
    if (!none_since_) none_since_ = std::max(sent_at, begun_at_);
  }
  void OnBegun(TimePoint now) {
    begun_at_ = now;
    none_since_.reset();
  }
  bool HasStopped(TimePoint now) const {
    return none_since_ && now - *none_since_ >= kStopTime;
  }

 private:
  TimePoint begun_at_{};
  std::optional<TimePoint> none_since_;
};

// What this host knows about one backend server.
struct ServerRecord {
  ServerEntry entry;
  // Set while the entry is missing but may return (see ExpireAt).
  std::optional<TimePoint> expires_at;
  int in_flight = 0;                 // calls of this host
  std::uint64_t pending_tokens = 0;  // prompts of this host in flight
  std::optional<ReportedLoad> load;
  // When the first call was sent after which nothing has come from the server,
  // or when something came last while calls were in flight.
  std::optional<TimePoint> silent_since;
  int consecutive_failures = 0;
  int consecutive_hung_calls = 0;
  // When an event of a stream came last.
  TimePoint progressed_at{};
  StreamStarts starts;
  // The server may be cold until this time.
  TimePoint cold_until{};
  // The same without regard to failed calls, after which it may have restarted.
  TimePoint known_cold_until{};
  // No call is sent before this time, then one at a time until one succeeds.
  TimePoint suspended_until{};
  // The server has announced that it is about to exit (see SetLeaving).
  bool is_leaving = false;
  // The server asked this host to send nothing to it before this time.
  TimePoint quiet_until{};

  bool IsQuiet(TimePoint now) const { return quiet_until > now; }
};

// Returns when the first of the servers ends its quiet time, or nothing if one
// is not quiet or there is none.
std::optional<TimePoint> FirstReturn(std::span<ServerRecord* const> servers,
                                     TimePoint now);

enum class CallResult {
  kSuccess,
  kNoEvidence,  // no evidence about its health, such as no free slot
  kSlow,        // left within its time limit, while the server worked on
  kHung,        // no event of a stream within the time limit, from any stream,
                // or the server begins no streams
  kFailed,      // an error, a broken connection, or a timeout
  kUnreachable,
};

// A time without new work for a server, which asked for it.
struct QuietPeriod {
  TimePoint until;
  // Random time added to it, so that a host does not return to all servers of a
  // service at once.
  Duration spread{};

  TimePoint end() const { return until + spread; }
};

// Returns the period for a server that now asks for `quiet_time`.
QuietPeriod MakeQuietPeriod(Duration quiet_time, TimePoint now, Random& random);

// Tracks the backend servers and which of them may be used, from their entries
// and notices, operators' evacuations of zones, and the results of calls.
class ServerDirectory {
 public:
  // Adds or updates a server. Returns true if it is new or has restarted, so
  // that pooled connections and all earlier observations are invalid.
  bool Put(const ServerEntry& entry, TimePoint now);

  // Removes a server whose entry was removed while the store was available.
  void Remove(const ServerId& id, TimePoint now);

  // Keeps a server until `expires_at` although its entry was removed, unless
  // the entry returns before. Used shortly after an outage of the store, when a
  // running server may only have missed its heartbeats.
  void ExpireAt(const ServerId& id, TimePoint expires_at);
  void RemoveExpired(TimePoint now);

  // Records that an incarnation is about to exit, whether its entry is known or
  // not. From then on it gets no new work, whatever its entry says. Returns
  // true if this was not known.
  bool SetLeaving(const ServerIncarnation& incarnation);
  // Returns the incarnations that are about to exit, the oldest notice first.
  const std::deque<ServerIncarnation>& leaving() const { return leaving_; }

  void SetEvacuated(const ZoneId& zone, bool is_evacuated, TimePoint now);
  bool IsEvacuated(const ZoneId& zone) const;

  // Sends nothing new to that incarnation of the server before the end of
  // `period`, also if its entry is removed and returns meanwhile. A period that
  // ends before the known one has no effect. Returns whether it had one.
  bool SetQuiet(const ServerIncarnation& incarnation, const QuietPeriod& period,
                TimePoint now);

  // Returns the servers of the service that are neither leaving nor in an
  // evacuated zone.
  std::vector<ServerRecord*> InService(const ServiceId& service);

  // Returns the servers of the service that new work may be sent to.
  std::vector<ServerRecord*> Usable(const ServiceId& service, TimePoint now);

  // Returns the same as Usable and the servers suspended after failures.
  std::vector<ServerRecord*> UsableOrSuspended(const ServiceId& service,
                                               TimePoint now);

  ServerRecord* Find(const ServerId& id);

  // Records the result of a call to the server.
  void Report(const ServerId& id, CallResult result, TimePoint now);

  // Takes back what failed calls have shown of all servers.
  void ForgetFailures();

  const VersionHistory& versions() const { return versions_; }

  // Adds what an earlier process knew of the versions of a service.
  void RestoreVersions(const ServiceId& service, const VersionRecord& record,
                       TimePoint now) {
    versions_.Restore(service, record, now);
  }

  std::size_t size() const { return servers_.size(); }

 private:
  bool IsInService(const ServerRecord& record) const;
  bool HasNotice(const ServerIncarnation& incarnation) const;
  void KeepNotice(const ServerIncarnation& incarnation);
  TimePoint QuietUntil(const ServerEntry& entry) const;

  const std::vector<ServerRecord*>& RecordsOf(const ServiceId& service);

  std::map<ServerId, ServerRecord> servers_;
  // Index of servers_, whose elements do not move; empty until it is rebuilt.
  std::map<ServiceId, std::vector<ServerRecord*>> by_service_;
  std::set<ZoneId> evacuated_;
  std::deque<ServerIncarnation> leaving_;
  struct KnownPeriod {
    ServerIncarnation incarnation;
    QuietPeriod period;
  };
  std::map<ServerId, KnownPeriod> quiet_periods_;
  VersionHistory versions_;
};

}  // namespace lovagecleat::routing
