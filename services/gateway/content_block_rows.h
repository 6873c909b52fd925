#pragma once

#include <map>
#include <optional>
#include <string>

#include "services/gateway/context.h"
#include "services/gateway/row_follower.h"

namespace lovagecleat::gateway {

// Keeps the blocks of contents in the platform's store, so that hosts that
// start, and those that no other host reaches, know them. Rows that a restore
// of the store has lost are written again; those of blocks that are over are
// removed after a time.
class ContentBlockRows {
 public:
  ContentBlockRows(Context& context, RowSource& rows,
                   routing::CrashSuspects& suspects);
  ContentBlockRows(const ContentBlockRows&) = delete;
  ContentBlockRows& operator=(const ContentBlockRows&) = delete;

  // Applies a row. Returns whether it blocks a content that was not blocked.
  bool Apply(const std::string& name, const routing::Row& row);

  // Writes the row of a block that this host has decided at the next Update.
  void OnBlocked(const routing::ContentKey& content);

  // Marks the row of a content as released: this host knows that it was served,
  // or that too few servers have crashed under it.
  void OnReleased(const routing::ContentKey& content);

  // Writes and removes rows that do not match the known blocks. `era` is that
  // in which the rows were read; nothing before.
  void Update(std::optional<std::uint64_t> era);

 private:
  // What a row says of a content.
  struct StoredBlock {
    routing::RowVersion version;
    routing::BlockedContent block;
    bool is_released = false;
  };
  struct Write {
    TimePoint next_at{};
    bool is_in_progress = false;
  };

  // Returns whether this host has released the content after the crashes that
  // the block in its row counts.
  bool WasReleasedSince(const routing::ContentKey& content,
                        const routing::BlockedContent& block) const;
  // Returns whether the content's row must say that it is released.
  bool MustWriteRelease(const routing::ContentKey& content) const;
  // Returns whether a row that releases the content ends its block here.
  bool MayRelease(const routing::ContentKey& content) const;
  std::optional<StoredBlock> Read(const std::string& name,
                                  const routing::Row& row) const;
  std::string ValueOf(const routing::BlockedContent& block) const;
  bool IsStored(const routing::ContentKey& content,
                const routing::BlockedContent& block, std::uint64_t era) const;
  // Returns whether the content's row may be written now.
  bool TakeWrite(const routing::ContentKey& content);
  void StartWrite(const routing::ContentKey& content, std::string value);
  void RemoveOldRows();

  Context& context_;
  RowSource& rows_;
  routing::CrashSuspects& suspects_;
  std::map<routing::ContentKey, StoredBlock> stored_;
  std::map<routing::ContentKey, Write> writes_;
  // Contents that this host has released, until their rows say so, since when.
  std::map<routing::ContentKey, TimePoint> released_;
  TimePoint old_rows_checked_at_{};
};

}  // namespace lovagecleat::gateway
