#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>

#include "services/gateway/context.h"
#include "services/gateway/message_codec.h"

namespace lovagecleat::gateway {

// Keeps Context::processes up to date, and reads the entries of servers from
// the store when it matters which process a connection reaches: before a stream
// goes on at a server whose entry may be that of an earlier process.
class ServerChecks final : public http::ConnectionObserver {
 public:
  using MergeCallback = std::function<void(std::span<const routing::Row>)>;

  // `merge` applies rows that were read.
  ServerChecks(Context& context, RowSource& rows, MergeCallback merge);
  ~ServerChecks() override;
  ServerChecks(const ServerChecks&) = delete;
  ServerChecks& operator=(const ServerChecks&) = delete;

  // Sets the table of the servers' entries, and the version up to which it is
  // known.
  void SetTable(const std::string& table) { table_ = table; }
  void SetKnownVersion(const routing::RowVersion& version) {
    known_version_ = version;
  }

  // Called periodically.
  void Update();

  // Reads the entries so that that of the process becomes known. May be called
  // again until it is; reads are rare and shared.
  void Request(TimePoint process_since);

  TimePoint OnConnectionOpened(const std::string& server) override;
  void OnConnectionClosed(const std::string& server, TimePoint since,
                          http::ConnectionClose close) override;
  void OnConnectionFailed(const std::string& server) override;

 private:
  void Read();
  void OnRead(const RowsResponse& response, TimePoint began_at, bool was_full);

  Context& context_;
  RowSource& rows_;
  MergeCallback merge_;
  std::string table_;
  routing::RowVersion known_version_;
  bool is_reading_ = false;
  TimePoint read_at_{};  // the last time
  TimerId timer_;
  bool is_scheduled_ = false;
  // Expires with this object, which a response may outlive.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lovagecleat::gateway
