#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// Another host, as this one sees it.
struct CopyHost {
  std::string address;
  std::string zone;
  bool is_reachable = true;
};

// Bounds on the copies of stream origins that one host sends.
struct OriginCopyLimits {
  std::size_t copies = 8000;           // queued, unacknowledged or waiting
  std::size_t copies_per_host = 1000;  // queued or unacknowledged
  std::size_t copies_per_batch = 200;
  std::size_t id_bytes_per_batch = 100'000;  // of more than one copy
  std::size_t batches_per_host = 8;          // unacknowledged
  // A copy is sent to so many more hosts of its zone before it waits.
  int redirects = 4;
  // Of copies that were not acknowledged or have waited, at all hosts together.
  double repeats_per_second = 100;
  double repeat_burst = 200;
  double probes_per_second = 50;
  double probe_burst = 300;
};

// Decides which hosts get copies of the origins of streams that began here: one
// host in this zone and in up to two others, by rendezvous hashing over those
// that answer. Copies that are not acknowledged go to another host of the same
// zone, within a budget, or wait until there is one. A host that does not
// acknowledge gets no copies until it has answered. See
// docs/design/peer-bounds.md.
class OriginCopies {
 public:
  // Streams sent in one message; without streams, a probe.
  struct Batch {
    std::string host;
    std::uint64_t number = 0;  // to be acknowledged
    std::vector<std::string> streams;
  };
  // Returns false if the message cannot be sent now.
  using SendCallback = std::function<bool(const Batch&)>;

  // What has happened since the start.
  struct Counts {
    std::uint64_t sent = 0;        // copies, repeated ones included
    std::uint64_t redirected = 0;  // sent to another host of the zone
    std::uint64_t waited = 0;      // could not be sent on at once
    std::uint64_t left_out = 0;    // for want of room
    std::uint64_t failures = 0;    // hosts that did not acknowledge
    std::uint64_t probes = 0;
  };

  explicit OriginCopies(std::string own_zone, OriginCopyLimits limits = {});

  // Sets the other hosts and whether they are reachable.
  void SetHosts(std::span<const CopyHost> hosts, TimePoint now);

  // Copies a stream to the zones. The copies wait at most until `expires_at`.
  void Add(const std::string& stream, TimePoint expires_at, TimePoint now);

  // Copies a stream to `host`, which gets all streams, if need be in place of
  // the oldest waiting copy. Returns false if it is unusable or has no room; it
  // is behind then.
  bool AddFor(const std::string& host, const std::string& stream,
              TimePoint expires_at, TimePoint now);
  // Returns whether the host is usable and has room for more than `reserve`
  // copies.
  bool HasRoom(const std::string& host, TimePoint now, std::size_t reserve = 0);
  // The host does not get all streams any more.
  void StopAll(const std::string& host);

  // Returns whether a host that gets all streams has missed some and may be
  // sent them now. It is no longer behind then.
  bool TakeBehind(const std::string& host, TimePoint now);

  // Sends what is due.
  void Flush(TimePoint now, const SendCallback& send);
  // Returns when to call Flush again, if nothing happens before.
  std::optional<TimePoint> NextDue() const;

  void OnAcknowledged(const std::string& host, std::uint64_t batch,
                      TimePoint now);
  // Any message from that host has arrived.
  void OnAnswer(const std::string& host, TimePoint now);

  // Returns whether the host is reachable and not avoided.
  bool IsUsable(const std::string& host, TimePoint now) const;

  std::size_t size() const { return copies_; }
  std::size_t waiting() const;
  // Returns the number of hosts that have not answered since they failed.
  std::size_t silent_hosts() const { return silent_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct Stream {
    TimePoint expires_at;
    std::size_t copies = 0;
  };
  using StreamEntry = std::map<std::string, Stream>::value_type;
  struct Copy {
    StreamEntry* stream;
    int redirects = 0;
    bool is_for_host = false;  // not for the zone
  };
  struct Host;
  struct Zone {
    std::vector<Host*> hosts;
    std::vector<Host*> usable;
    std::deque<Copy> waiting;
    TimePoint failed_at{};   // a host of it
    TimePoint checked_at{};  // all hosts of it
  };
  struct Host {
    std::string address;
    Zone* zone = nullptr;
    bool is_reachable = true;
    TimePoint heard_at{};
    bool is_silent = false;  // has not answered since it failed
    int failures = 0;        // since it has acknowledged a batch in time
    TimePoint avoided_until{};
    TimePoint probe_at{};
    Duration probe_period{};
    std::optional<TimePoint> unsent_since;
    std::optional<TimePoint> overdue_since;  // unsent for too long
    std::deque<Copy> queue;
    std::set<const StreamEntry*> held;  // queued or unacknowledged
    std::size_t batches = 0;            // unacknowledged
    bool gets_all = false;
    bool is_behind = false;

    bool IsUsable(TimePoint now) const {
      return is_reachable && !is_silent && avoided_until <= now;
    }
  };
  struct SentBatch {
    Host* host;
    std::vector<Copy> copies;
    TimePoint due;
    bool is_overdue = false;
  };
  // Tokens that are added at a rate, up to a burst.
  class Budget {
   public:
    Budget(double per_second, double burst)
        : per_second_(per_second), burst_(burst), tokens_(burst) {}
    bool Has(TimePoint now);
    // Returns whether there was a token.
    bool Take(TimePoint now);

   private:
    double per_second_;
    double burst_;
    double tokens_;
    TimePoint updated_at_{};
  };

  Host* Find(const std::string& address);
  void UpdateUsable(TimePoint now);
  std::vector<Zone*> ZonesFor(std::uint64_t seed, TimePoint now);
  static Host* HolderIn(const Zone& zone, std::uint64_t seed);
  // Makes room for a new copy, if need be at the cost of the oldest waiting
  // one.
  bool MakeRoom();
  StreamEntry* EntryFor(const std::string& stream, TimePoint expires_at);
  void Discard(const Copy& copy);
  void Queue(Host& host, const Copy& copy);
  // A copy that the host holds since it gets all streams becomes the zone's.
  void HoldForZone(Host& host, const StreamEntry* stream);
  void Place(Zone& zone, Copy copy);
  void Wait(Zone& zone, Copy copy);
  void Redirect(Zone& zone, Copy copy, TimePoint now);
  void MarkFailed(Host& host, TimePoint now);
  void OnFailures(const std::set<Host*>& hosts, TimePoint now);
  // Probes the hosts of a zone of which several have failed, so that copies do
  // not find out about each lost one.
  void CheckZone(Zone& zone, TimePoint now);
  void OnUnsent(Host& host, TimePoint now);
  static void OnSent(Host& host);
  // Takes all copies from a host and sends them elsewhere.
  void MoveCopies(Host& host, TimePoint now);
  void CheckAcknowledgements(TimePoint now);
  // Returns whether a host has failed.
  bool CheckUnsent(TimePoint now);
  void OfferWaiting(TimePoint now);
  void SendQueue(Host& host, TimePoint now, const SendCallback& send);
  void SendQueues(TimePoint now, const SendCallback& send);
  void SendChecks(TimePoint now, const SendCallback& send);
  void SendProbes(TimePoint now, const SendCallback& send);

  std::string own_zone_;
  OriginCopyLimits limits_;
  std::map<std::string, Stream> streams_;  // of which there are copies
  std::map<std::string, Zone> zones_;
  std::map<std::string, Host> hosts_;  // by address
  std::set<Host*> queued_;             // hosts with copies to be sent
  std::set<Host*> silent_;
  std::set<Host*> to_check_;
  std::map<std::uint64_t, SentBatch> sent_;
  std::uint64_t last_batch_ = 0;
  std::size_t copies_ = 0;
  Budget repeats_;
  Budget probes_;
  bool is_usable_known_ = false;
  TimePoint usable_until_{};
  TimePoint next_check_ = TimePoint::max();
  TimePoint flushed_at_{};
  bool has_unsent_ = false;
  Counts counts_;
};

}  // namespace lovagecleat::routing
