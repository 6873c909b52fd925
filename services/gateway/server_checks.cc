#include "services/gateway/server_checks.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Least time between two reads of one host.
constexpr Duration kReadInterval = milliseconds(50);
// The same after a read that the store did not answer.
constexpr Duration kRetryInterval = milliseconds(250);

routing::ConnectionEnd EndOf(http::ConnectionClose close) {
  switch (close) {
    case http::ConnectionClose::kHere:
      return routing::ConnectionEnd::kHere;
    case http::ConnectionClose::kServer:
      return routing::ConnectionEnd::kServer;
    case http::ConnectionClose::kLost:
      break;
  }
  return routing::ConnectionEnd::kLost;
}

}  // namespace

ServerChecks::ServerChecks(Context& context, RowSource& rows,
                           MergeCallback merge)
    : context_(context), rows_(rows), merge_(std::move(merge)) {
  context_.pool.SetConnectionObserver(this);
}

ServerChecks::~ServerChecks() {
  context_.pool.SetConnectionObserver(nullptr);
  context_.loop.Cancel(timer_);
}

void ServerChecks::Update() {
  context_.processes.SetInTouch(context_.is_store_available, context_.Now());
}

void ServerChecks::Request(TimePoint process_since) {
  if (context_.processes.IsKnown(process_since) || is_reading_ ||
      is_scheduled_ || table_.empty())
    return;
  const TimePoint now = context_.Now();
  const TimePoint at = std::max(
      {now, routing::ServerProcesses::ReadAt(process_since), read_at_});
  is_scheduled_ = true;
  timer_ = context_.loop.At(at, [this] { Read(); });
}

void ServerChecks::Read() {
  const TimePoint now = context_.Now();
  is_scheduled_ = false;
  is_reading_ = true;
  read_at_ = now + kReadInterval;
  context_.metrics.Count("lovagecleat_server_entry_checks_total", {});
  const std::weak_ptr<bool> alive = alive_;
  rows_.Follow(table_, known_version_, Duration::zero(),
               [this, alive, now](const RowsResponse& response) {
                 if (!alive.expired()) OnRead(response, now, false);
               });
}

// The changes between two eras are not known.
void ServerChecks::OnRead(const RowsResponse& response, TimePoint began_at,
                          bool was_full) {
  const bool is_read = response.status == RowsResponse::Status::kRead;
  const bool is_whole =
      was_full || response.version.era() == known_version_.era();
  if (is_read && is_whole) {
    is_reading_ = false;
    merge_(response.rows);
    context_.processes.OnRead(began_at);
    return;
  }
  if (was_full || response.status == RowsResponse::Status::kUnavailable) {
    is_reading_ = false;
    read_at_ = context_.Now() + kRetryInterval;
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  rows_.ReadAll(table_, [this, alive, began_at](const RowsResponse& all) {
    if (!alive.expired()) OnRead(all, began_at, true);
  });
}

TimePoint ServerChecks::OnConnectionOpened(const std::string& server) {
  return context_.processes.OnOpened(server, context_.Now());
}

void ServerChecks::OnConnectionClosed(const std::string& server,
                                      TimePoint since,
                                      http::ConnectionClose close) {
  context_.processes.OnClosed(server, since, EndOf(close), context_.Now());
}

void ServerChecks::OnConnectionFailed(const std::string& server) {
  context_.processes.OnNotConnected(server, context_.Now());
}

}  // namespace lovagecleat::gateway
