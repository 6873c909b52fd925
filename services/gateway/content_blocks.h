#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/content_block_rows.h"
#include "services/gateway/context.h"
#include "services/gateway/peer_outbox.h"

namespace lovagecleat::gateway {

// A response of `server`, and of no other one, to a request of this host.
struct ServerResponse {
  routing::ServerIncarnation server;
  int status = 0;
  TimePoint connected_at{};  // when its connection was established
  TimePoint sent_at{};       // the request
};

// Finds contents under which servers crash, together with the hosts of all
// zones, and decides whether a request may be sent to servers. Each crash is
// reported to all hosts, since the next request with the content may come to
// any of them.
class ContentBlocks {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using Outbox = PeerOutbox<messages::ContentReports>;
  using BlockedCallback = std::function<void()>;

  // `on_blocked` is called from the loop after contents were blocked: requests
  // that wait for a server may have them.
  ContentBlocks(Context& context, RowSource& rows,
                ReachableCallback is_reachable, Outbox::SendCallback send,
                BlockedCallback on_blocked);
  ~ContentBlocks();
  ContentBlocks(const ContentBlocks&) = delete;
  ContentBlocks& operator=(const ContentBlocks&) = delete;

  // Sets the addresses of the hosts of all zones, without this one. When there
  // are some for the first time, asks a few of them for the blocks that they
  // know.
  void SetHosts(std::vector<std::string> others);

  // Records that a server crashed under a request with these contents, which
  // was sent to it at `sent_at`.
  void OnCrash(const routing::ServerIncarnation& server,
               std::span<const routing::ContentKey> contents,
               routing::CrashMoment moment, TimePoint sent_at);

  // Records that a server responds, so that connections lost before the request
  // was sent were no crash of it.
  void OnResponse(const ServerResponse& response);

  // Records that the row of a server has a heartbeat that is new to this host.
  void OnHeartbeat(const routing::ServerIncarnation& server);

  // Records that a server has served a request with these contents that was
  // sent at `sent_at`.
  void OnServed(std::span<const routing::ContentKey> contents,
                TimePoint sent_at);

  // Returns whether the keys of requests are needed, beside those of prompts.
  bool TracksRequests() const { return suspects_.TracksRequests(); }

  // Returns until when requests with these contents are refused; nothing if
  // they are not.
  std::optional<TimePoint> BlockedUntil(
      std::span<const routing::ContentKey> contents) const;

  // Returns whether a request may be sent to one server to find out whether it
  // still crashes, although one of its contents is blocked. One host in the
  // deployment allows one such request after a time that grows with each.
  bool TryStartTrial(std::span<const routing::ContentKey> contents);

  void OnMessage(const std::string& from,
                 const messages::ContentReports& reports);

  // Returns the number of hosts that have missed reports.
  std::size_t hosts_behind() const { return outbox_.hosts_behind(); }

  // Applies a row of the store that describes the block of a content.
  void ApplyRow(const std::string& name, const routing::Row& row);

  // Drops what has expired and keeps the store's rows up to date. Call it
  // periodically, with the era in which the rows were read.
  void Update(std::optional<std::uint64_t> era);

 private:
  // Whether this host, of all that it reaches, acts for them.
  bool IsFirstHost(const routing::ContentKey& content) const;
  void JudgeCrashes();
  void AskOtherHosts();
  void AddBlock(const routing::ContentKey& content,
                messages::ContentReports& reports) const;
  // Removes the crashes of a server that lived through `life`, and tells the
  // other hosts. Returns whether there were any.
  bool RefuteCrash(std::uint64_t incarnation, const routing::LifeSpan& life);
  // Tells all hosts and the store that the contents are not blocked, since
  // their crashes were refuted.
  void Withdraw(std::span<const routing::ContentKey> contents);
  // Adds all blocks that are known. Returns false if there are none.
  bool WriteAll(messages::ContentReports& reports) const;
  // Returns when the served request was sent, not before the last crash that
  // its host has reported before.
  TimePoint ServedAt(const std::string& from,
                     const messages::ServedContent& served,
                     std::int64_t clock_us) const;
  void ReadServed(const std::string& from,
                  const messages::ContentReports& reports);
  void ReadRefutations(const messages::ContentReports& reports);
  void LogCleared(std::span<const routing::ContentKey> contents,
                  std::string_view reason, std::string_view source);
  void OnBlocked(std::span<const routing::ContentKey> contents,
                 std::string_view source);
  template <typename Add>
  void Broadcast(const Add& add);

  Context& context_;
  ReachableCallback is_reachable_;
  BlockedCallback on_blocked_;
  Outbox outbox_;
  routing::CrashSuspects suspects_;
  ContentBlockRows rows_;
  // The last crash of a blocked content that another host has reported.
  struct ReportedBlock {
    std::string from;
    std::int64_t crashed_us = 0;  // on that host's clock
    TimePoint crashed_at{};       // as it is known here
  };
  std::map<routing::ContentKey, ReportedBlock> reported_blocks_;
  std::vector<std::string> hosts_;  // addresses, without this one
  bool has_asked_ = false;
  TimerId ask_timer_;
  TimerId blocked_timer_;
};

}  // namespace lovagecleat::gateway
