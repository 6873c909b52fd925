#include "http/server.h"

#include <unistd.h>

#include <algorithm>
#include <vector>

#include "http/server_connection.h"

namespace lovagecleat::http {

namespace {

// How often the time limits of connections are checked.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);
// A connection on which nothing has come for this long may be displaced.
constexpr Duration kDisplaceableIdleTime = std::chrono::seconds(1);
// How often connections to displace are looked for in vain.
constexpr Duration kDisplacePeriod = std::chrono::milliseconds(100);

}  // namespace

void Exchange::Respond(int status, const HeaderFields& fields,
                       std::string_view body) {
  connection_.Respond(status, fields, body);
}
void Exchange::BeginResponse(int status, const HeaderFields& fields,
                             std::optional<std::uint64_t> length) {
  connection_.BeginResponse(status, fields, length);
}
void Exchange::SendBody(std::string_view bytes) { connection_.SendBody(bytes); }
void Exchange::FinishResponse() { connection_.FinishResponse(); }
void Exchange::Abort() { connection_.Abort(); }

Server::Server(Poller& poller, ExchangeHandler& handler)
    : poller_(poller), handler_(handler) {
  Sweep();
}

Server::~Server() {
  poller_.loop().Cancel(sweep_timer_);
  connections_.clear();
  poller_.loop().DestroyPending();
}

bool Server::Listen(std::string_view address) {
  listener_ = TcpListener::Listen(
      poller_, address, [this](int descriptor) { Accept(descriptor); });
  return listener_ != nullptr;
}

std::uint16_t Server::port() const {
  return listener_ ? listener_->port() : std::uint16_t{0};
}

void Server::Accept(int descriptor) {
  if (connections_.size() >= limits_.connections &&
      !DisplaceConnection(poller_.loop().clock().Now())) {
    ++rejected_;
    close(descriptor);
    return;
  }
  auto connection = std::make_unique<ServerConnection>(*this, descriptor);
  ServerConnection* key = connection.get();
  connections_.emplace(key, std::move(connection));
}

bool Server::DisplaceConnection(TimePoint now) {
  if (!poller_.account().is_limited()) return false;
  if (now < displace_after_) return false;
  ServerConnection* longest = nullptr;
  TimePoint longest_since;
  for (auto& [key, connection] : connections_) {
    const std::optional<TimePoint> since = connection->WaitsForClientSince();
    if (!since || now - *since < kDisplaceableIdleTime) continue;
    if (longest != nullptr && *since >= longest_since) continue;
    // A request may have arrived while the process did not run.
    if (connection->HasUnhandledProgress()) continue;
    longest = key;
    longest_since = *since;
  }
  if (longest == nullptr) {
    displace_after_ = now + kDisplacePeriod;
    return false;
  }
  ++displaced_;
  longest->Displace();
  return true;
}

// The loop destroys the connection later, since the connection itself may be
// the caller.
void Server::Remove(ServerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  poller_.loop().DestroyLater(std::move(found->second));
  connections_.erase(found);
}

bool Server::HasUnsentBytes() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [](const auto& item) { return item.second->unsent_bytes() > 0; });
}

void Server::CloseIdleConnections() {
  for (auto& [key, connection] : connections_) connection->CloseIfIdle();
}

void Server::Sweep() {
  const TimePoint now = poller_.loop().clock().Now();
  std::vector<ServerConnection*> all;
  all.reserve(connections_.size());
  for (auto& [key, connection] : connections_) all.push_back(key);
  for (ServerConnection* connection : all) connection->CheckTimeouts(now);
  poller_.account().Run(now);
  sweep_timer_ = poller_.loop().After(kSweepPeriod, [this] { Sweep(); });
}

}  // namespace lovagecleat::http
