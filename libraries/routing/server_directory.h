#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// Load that a server told with a response.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  TimePoint at;
};

// What this host knows of one backend server.
struct ServerRecord {
  ServerEntry entry;
  // Set while the entry is missing but may come back (see Lapse).
  std::optional<TimePoint> gone_at;
  int in_flight = 0;                 // calls of this host
  std::uint64_t pending_tokens = 0;  // prompts of this host not yet answered
  std::optional<ReportedLoad> load;
  int failures_in_row = 0;
  int slow_in_row = 0;
  // It may be cold until then.
  TimePoint cold_until{};
  // No call is sent before; then one at a time until one succeeds.
  TimePoint suspended_until{};
};

enum class CallResult {
  kGood,
  kFull,    // the server had no room; says nothing of its health
  kSlow,    // no answer in the time that was worth waiting
  kFailed,  // an error, a broken connection, or a timeout
  kUnreachable,
};

// Which backend servers there are and which may be used: by their entries, by
// operators' evacuations, and by how calls to them ended.
class ServerDirectory {
 public:
  // True if the server is new or started anew, so that kept connections and
  // all that was known of it are void.
  bool Put(const ServerEntry& entry, TimePoint now);

  // The entry was removed while the store served.
  void Remove(const ServerId& id);

  // The entry was removed, but the store was away shortly before, so that a
  // server that lives may only have missed its heartbeats. It is used until
  // `gone_at`, unless an entry comes before.
  void Lapse(const ServerId& id, TimePoint gone_at);
  void DropLapsed(TimePoint now);

  void SetEvacuated(const ZoneId& zone, bool is_evacuated, TimePoint now);
  bool IsEvacuated(const ZoneId& zone) const;

  // Servers of the service that new work may be sent to.
  std::vector<ServerRecord*> Usable(const ServiceId& service, TimePoint now);

  // As Usable, with those that are suspended after failures.
  std::vector<ServerRecord*> Listed(const ServiceId& service);

  ServerRecord* Find(const ServerId& id);
  void Report(const ServerId& id, CallResult result, TimePoint now);

  std::size_t size() const { return servers_.size(); }

 private:
  bool IsOpen(const ServerRecord& record) const;

  const std::vector<ServerRecord*>& RecordsOf(const ServiceId& service);

  std::map<ServerId, ServerRecord> servers_;
  // Records of servers_, which do not move; empty when it is to be made anew.
  std::map<ServiceId, std::vector<ServerRecord*>> by_service_;
  std::set<ZoneId> evacuated_;
};

}  // namespace lovagecleat::routing
