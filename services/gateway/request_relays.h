#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Another host that requests can be passed on to.
struct RelayHost {
  std::string peers;    // address of its peer link
  std::string callers;  // address for callers; empty if it names none
  ZoneId zone;
  double processor_cores = 1.0;  // CPU cores available to it
};

// A request that this host does not handle itself.
struct RelayedRequest {
  std::string id;  // set by the caller
  std::string route;
  ServiceId service;
  bool may_repeat = false;
  bool may_have_run = false;  // it was sent to a server before
  TimePoint deadline{};
};

// Passes requests of callers on to other hosts, as they came, while this host
// has no path to the servers, and the responses back as they arrive. The other
// host decides everything about the request. It does not pass it on again.
class RequestRelays {
 public:
  // Returns whether that host is reachable and has a path to servers.
  using UsableCallback = std::function<bool(const std::string& peer)>;

  RequestRelays(Context& context, UsableCallback is_usable);
  ~RequestRelays();
  RequestRelays(const RequestRelays&) = delete;
  RequestRelays& operator=(const RequestRelays&) = delete;

  // Sets the other hosts.
  void SetHosts(std::vector<RelayHost> others);

  // Returns whether there is a host that requests can be passed on to.
  bool HasHost() const;

  // Takes over an exchange whose response has not begun.
  void Start(http::Exchange& exchange, RelayedRequest request);

  // Answers the requests whose responses have not begun, shortly before the
  // process ends.
  void OnProcessEnding();

  std::size_t size() const { return relays_.size(); }

 private:
  class Relay;

  // Returns the host with the fewest requests of this one for its processor;
  // hosts of the own zone are preferred. Null if all usable ones were tried.
  const RelayHost* ChooseHost(const std::vector<std::string>& tried);
  void Remove(Relay* relay);

  Context& context_;
  UsableCallback is_usable_;
  std::vector<RelayHost> hosts_;
  std::map<std::string, int> in_flight_;  // by address for callers
  http::ConnectionPool pool_;
  std::map<Relay*, std::unique_ptr<Relay>> relays_;
};

}  // namespace lovagecleat::gateway
