#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// Where a stream began. Events of different software versions do not fit
// together, so only servers of this version may resume the stream.
struct StreamOrigin {
  ServiceId service;
  std::string software_version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

struct KnownOrigin {
  StreamOrigin origin;
  TimePoint expires_at;
};

// Remembers the origins of streams by the id of the request that received the
// first event.
class StreamOrigins {
 public:
  // Keeps the origin until `expires_at`, or longer if it is known already.
  void Add(const std::string& stream, const StreamOrigin& origin,
           TimePoint expires_at);
  // As Add, for a stream that began at another host. At most `limit` of these
  // are kept: returns false if the one that expires first had to leave.
  bool AddFromOther(const std::string& stream, const StreamOrigin& origin,
                    TimePoint expires_at, std::size_t limit);
  // Returns null if the stream is not known.
  const KnownOrigin* Find(const std::string& stream, TimePoint now) const;
  void RemoveExpired(TimePoint now);

  std::size_t size() const { return entries_.size(); }

  // Returns the origins by stream, with those that expired lately.
  const std::map<std::string, KnownOrigin>& entries() const { return entries_; }

 private:
  std::map<std::string, KnownOrigin> entries_;
  // Of streams that began at other hosts, by expiry.
  std::set<std::pair<TimePoint, std::string>> from_others_;
};

// A host that may keep the origins of streams for the others.
struct OriginHost {
  std::string_view address;
  std::string_view zone;
};

// Returns the addresses of the hosts that keep the origin of `stream`: in
// `own_zone` and in up to two other zones, the first `hosts_per_zone` by
// rendezvous hashing. Hosts with the same view of `hosts` agree, so a stream
// whose host is lost can be resumed anywhere, also in a zone that is cut off.
std::vector<std::string_view> OriginHolders(std::string_view stream,
                                            std::string_view own_zone,
                                            std::span<const OriginHost> hosts,
                                            std::size_t hosts_per_zone);

}  // namespace lovagecleat::routing
