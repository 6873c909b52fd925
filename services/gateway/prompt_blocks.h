#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/peer_outbox.h"
#include "services/gateway/prompt_block_rows.h"

namespace lovagecleat::gateway {

// Finds prompt parts under which servers crash, together with the hosts of all
// zones, and decides whether a request may be sent to servers. Each crash is
// reported to all hosts, since the next request with the part may come to any
// of them.
class PromptBlocks {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using Outbox = PeerOutbox<messages::PromptReports>;
  using BlockedCallback = std::function<void()>;

  // `on_blocked` is called from the loop after parts were blocked: requests
  // that wait for a server may have them.
  PromptBlocks(Context& context, RowSource& rows,
               ReachableCallback is_reachable, Outbox::SendCallback send,
               BlockedCallback on_blocked);
  ~PromptBlocks();
  PromptBlocks(const PromptBlocks&) = delete;
  PromptBlocks& operator=(const PromptBlocks&) = delete;

  // Sets the addresses of the hosts of all zones, without this one. When there
  // are some for the first time, asks a few of them for the blocks that they
  // know.
  void SetHosts(std::vector<std::string> others);

  // Records that a server crashed under a request with these parts.
  void OnCrash(const routing::ServerIncarnation& server,
               std::span<const routing::PromptPartKey> parts,
               routing::CrashMoment moment);

  // Records that a server has served a request with these parts and lives.
  void OnServed(std::span<const routing::PromptPartKey> parts);

  // Returns until when requests with these parts are refused; nothing if they
  // are not.
  std::optional<TimePoint> BlockedUntil(
      std::span<const routing::PromptPartKey> parts) const;

  // Returns whether a request may be sent to one server to find out whether it
  // still crashes, although one of its parts is blocked. One host in the
  // deployment allows one such request after a time that grows with each.
  bool TryStartTrial(std::span<const routing::PromptPartKey> parts);

  void OnMessage(const std::string& from,
                 const messages::PromptReports& reports);

  // Applies a row of the store that describes the block of a part.
  void ApplyRow(const std::string& name, const routing::Row& row);

  // Drops what has expired and keeps the store's rows up to date. Call it
  // periodically, with the era in which the rows were read.
  void Update(std::optional<std::uint64_t> era);

 private:
  bool IsTrialHost(const routing::PromptPartKey& part) const;
  void AskOtherHosts();
  void AddBlock(const routing::PromptPartKey& part,
                messages::PromptReports& reports) const;
  void OnBlocked(std::span<const routing::PromptPartKey> parts,
                 std::string_view source);
  template <typename Add>
  void Broadcast(const Add& add);

  Context& context_;
  ReachableCallback is_reachable_;
  BlockedCallback on_blocked_;
  Outbox outbox_;
  routing::CrashSuspects suspects_;
  PromptBlockRows rows_;
  std::vector<std::string> hosts_;  // addresses, without this one
  bool has_asked_ = false;
  TimerId ask_timer_;
  TimerId blocked_timer_;
};

}  // namespace lovagecleat::gateway
