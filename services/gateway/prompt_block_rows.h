#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "services/gateway/context.h"
#include "services/gateway/row_follower.h"

namespace lovagecleat::gateway {

// Keeps the blocks of prompt parts in the platform's store, so that hosts that
// start, and those that no other host reaches, know them. Rows that a restore
// of the store has lost are written again; those of blocks that are over are
// removed after a time.
class PromptBlockRows {
 public:
  PromptBlockRows(Context& context, RowSource& rows,
                  routing::CrashSuspects& suspects);
  PromptBlockRows(const PromptBlockRows&) = delete;
  PromptBlockRows& operator=(const PromptBlockRows&) = delete;

  // Applies a row. Returns whether it blocks a part that was not blocked.
  bool Apply(const std::string& name, const routing::Row& row);

  // Writes the row of a block that this host has decided at the next Update.
  void OnBlocked(const routing::PromptPartKey& part);

  // Marks the row of a part as released: this host knows that it was served.
  void OnReleased(const routing::PromptPartKey& part);

  // Writes and removes rows that do not match the known blocks. `era` is that
  // in which the rows were read; nothing before.
  void Update(std::optional<std::uint64_t> era);

 private:
  // What a row says of a part.
  struct StoredBlock {
    routing::RowVersion version;
    routing::BlockedPart block;
    bool is_released = false;
  };
  struct Write {
    TimePoint next_at{};
    bool is_in_progress = false;
  };

  std::optional<StoredBlock> Read(const std::string& name,
                                  const routing::Row& row) const;
  std::string ValueOf(const routing::BlockedPart& block) const;
  bool IsStored(const routing::PromptPartKey& part,
                const routing::BlockedPart& block, std::uint64_t era) const;
  // Returns whether the part's row may be written now.
  bool TakeWrite(const routing::PromptPartKey& part);
  void StartWrite(const routing::PromptPartKey& part, std::string value);
  void RemoveOldRows();

  Context& context_;
  RowSource& rows_;
  routing::CrashSuspects& suspects_;
  std::map<routing::PromptPartKey, StoredBlock> stored_;
  std::map<routing::PromptPartKey, Write> writes_;
  std::set<routing::PromptPartKey> released_;
  TimePoint old_rows_checked_at_{};
};

}  // namespace lovagecleat::gateway
