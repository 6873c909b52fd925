#include "services/gateway/content_block_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// A block that another host decided is written by that host; this one writes it
// if it is missing after this time and a random addition.
constexpr Duration kForeignWriteDelay = milliseconds(1500);
constexpr Duration kForeignWriteSpread = milliseconds(500);
// Time until a row that was written is read back, and between two attempts.
constexpr Duration kWriteInterval = milliseconds(3000);
// A row that this host wrote has been read after this time.
constexpr Duration kUnreadRowTime = milliseconds(6000);
// Rows of blocks that are over are removed after this time.
constexpr Duration kRowRetention = std::chrono::minutes(1);
constexpr Duration kOldRowsCheckPeriod = std::chrono::seconds(10);
// Rows may have another writer.
constexpr std::size_t kMaximumStoredBlocks = 2048;
constexpr Duration kMaximumBlockTime = std::chrono::minutes(15);
constexpr int kMaximumTrials = 1000;

constexpr const char* kCrashedField = "crashed_unix_ms";
constexpr const char* kExpiresField = "expires_unix_ms";
constexpr const char* kTrialsField = "trials";
constexpr const char* kReleasedField = "released";

std::int64_t ToUnixMs(const Clock& clock, TimePoint at) {
  const auto time = clock.WallNow().time_since_epoch() + (at - clock.Now());
  return std::chrono::duration_cast<milliseconds>(time).count();
}

TimePoint FromUnixMs(const Clock& clock, std::int64_t unix_ms) {
  const std::int64_t from_now = unix_ms - ToUnixMs(clock, clock.Now());
  const std::int64_t most =
      std::chrono::duration_cast<milliseconds>(kMaximumBlockTime).count();
  return clock.Now() + milliseconds(std::clamp(from_now, -most, most));
}

}  // namespace

ContentBlockRows::ContentBlockRows(Context& context, RowSource& rows,
                                   routing::CrashSuspects& suspects)
    : context_(context), rows_(rows), suspects_(suspects) {}

std::optional<ContentBlockRows::StoredBlock> ContentBlockRows::Read(
    const std::string& name, const routing::Row& row) const {
  const auto json = nlohmann::json::parse(row.value, nullptr, false);
  if (!routing::IsContentKey(name) || !json.is_object()) return std::nullopt;
  StoredBlock stored;
  stored.version = row.version;
  const auto released = json.find(kReleasedField);
  stored.is_released =
      released != json.end() && released->is_boolean() && released->get<bool>();
  stored.block.until = context_.Now();
  if (stored.is_released) return stored;
  const auto crashed = json.find(kCrashedField);
  const auto expires = json.find(kExpiresField);
  const auto trials = json.find(kTrialsField);
  if (crashed == json.end() || !crashed->is_number_integer() ||
      expires == json.end() || !expires->is_number_integer() ||
      trials == json.end() || !trials->is_number_integer())
    return std::nullopt;
  const Clock& clock = context_.loop.clock();
  stored.block.crashed_at =
      std::min(FromUnixMs(clock, crashed->get<std::int64_t>()), context_.Now());
  stored.block.until = FromUnixMs(clock, expires->get<std::int64_t>());
  stored.block.trials = static_cast<int>(
      std::clamp<std::int64_t>(trials->get<std::int64_t>(), 0, kMaximumTrials));
  return stored;
}

bool ContentBlockRows::Apply(const std::string& name, const routing::Row& row) {
  const routing::ContentKey content(name);
  // A row that is lost or removed does not end the block, which is written
  // again. To end it, the row must say so.
  if (row.is_removed) {
    stored_.erase(content);
    return false;
  }
  const std::optional<StoredBlock> stored = Read(name, row);
  if (!stored) {
    context_.log.Write("content_block_unreadable", "",
                       {{"content", name.substr(0, routing::kMaximumKeyBytes)},
                        {"row_version", row.version.number()},
                        {"store_era", row.version.era()}});
    return false;
  }
  if (stored_.size() >= kMaximumStoredBlocks && !stored_.contains(content))
    return false;
  stored_.insert_or_assign(content, *stored);
  if (stored->is_released) {
    released_.erase(content);
    if (MayRelease(content)) suspects_.Release(content);
    return false;
  }
  if (stored->block.until <= context_.Now()) return false;
  if (WasReleasedSince(content, stored->block)) return false;
  if (suspects_.WasServedSince(content, stored->block.crashed_at)) {
    OnReleased(content);
    return false;
  }
  const bool was_blocked = suspects_.Find(content) != nullptr;
  return suspects_.Block(content, stored->block) && !was_blocked;
}

// A row that this host wrote before may be read afterwards.
bool ContentBlockRows::WasReleasedSince(
    const routing::ContentKey& content,
    const routing::BlockedContent& block) const {
  const auto released = released_.find(content);
  return released != released_.end() && suspects_.Find(content) == nullptr &&
         block.crashed_at <= released->second;
}

bool ContentBlockRows::MustWriteRelease(
    const routing::ContentKey& content) const {
  const auto stored = stored_.find(content);
  return stored != stored_.end() && !stored->second.is_released &&
         stored->second.block.until > context_.Now() &&
         suspects_.Find(content) == nullptr;
}

// Before a trial nothing shows that a content has become sound, and only its
// crashes may have been refuted. A host that has counted them decides by
// itself: hosts of an older version refute crashes by responses of successors.
bool ContentBlockRows::MayRelease(const routing::ContentKey& content) const {
  const routing::BlockedContent* block = suspects_.Find(content);
  if (block == nullptr) return false;
  return suspects_.CrashesOf(content) == 0 || block->trials > 0 ||
         block->NextTrialAt() <= context_.Now();
}

void ContentBlockRows::OnBlocked(const routing::ContentKey& content) {
  released_.erase(content);
  writes_[content].next_at = context_.Now();
}

void ContentBlockRows::OnReleased(const routing::ContentKey& content) {
  released_.insert_or_assign(content, context_.Now());
  writes_[content].next_at = context_.Now();
}

std::string ContentBlockRows::ValueOf(
    const routing::BlockedContent& block) const {
  const Clock& clock = context_.loop.clock();
  const nlohmann::json value = {
      {kCrashedField, ToUnixMs(clock, block.crashed_at)},
      {kExpiresField, ToUnixMs(clock, block.until)},
      {kTrialsField, block.trials}};
  return value.dump();
}

bool ContentBlockRows::IsStored(const routing::ContentKey& content,
                                const routing::BlockedContent& block,
                                std::uint64_t era) const {
  const auto stored = stored_.find(content);
  return stored != stored_.end() && !stored->second.is_released &&
         stored->second.version.era() == era &&
         stored->second.block.trials >= block.trials;
}

bool ContentBlockRows::TakeWrite(const routing::ContentKey& content) {
  const TimePoint now = context_.Now();
  const auto [write, is_new] = writes_.try_emplace(content);
  if (is_new) {
    const auto spread = context_.random.Below(
        static_cast<std::uint64_t>(kForeignWriteSpread.count()));
    write->second.next_at =
        now + kForeignWriteDelay + Duration(static_cast<std::int64_t>(spread));
  }
  if (write->second.is_in_progress || write->second.next_at > now) return false;
  write->second.is_in_progress = true;
  write->second.next_at = now + kWriteInterval;
  return true;
}

void ContentBlockRows::StartWrite(const routing::ContentKey& content,
                                  std::string value) {
  rows_.WriteContentBlock(content.value(), std::move(value),
                          [this, content](bool is_written) {
                            const auto write = writes_.find(content);
                            if (write != writes_.end())
                              write->second.is_in_progress = false;
                            if (!is_written)
                              context_.metrics.Count(
                                  "lovagecleat_content_block_write_failures_"
                                  "total");
                          });
}

void ContentBlockRows::Update(std::optional<std::uint64_t> era) {
  if (!era) return;
  std::erase_if(released_, [this](const auto& item) {
    return !MustWriteRelease(item.first) &&
           context_.Now() - item.second >= kUnreadRowTime;
  });
  std::erase_if(writes_, [this](const auto& item) {
    return !item.second.is_in_progress && !released_.contains(item.first) &&
           suspects_.Find(item.first) == nullptr;
  });
  for (const auto& [content, block] : suspects_.blocked())
    if (!IsStored(content, block, *era) && TakeWrite(content))
      StartWrite(content, ValueOf(block));
  for (const auto& [content, released_at] : released_)
    if (MustWriteRelease(content) && TakeWrite(content))
      StartWrite(content, nlohmann::json{{kReleasedField, true}}.dump());
  RemoveOldRows();
}

// One host removes a row; the others find it gone at their next check.
void ContentBlockRows::RemoveOldRows() {
  const TimePoint now = context_.Now();
  if (now - old_rows_checked_at_ < kOldRowsCheckPeriod) return;
  old_rows_checked_at_ = now;
  for (const auto& [content, stored] : stored_) {
    const bool is_old =
        !suspects_.Find(content) && stored.block.until + kRowRetention <= now;
    if (!is_old || context_.random.Below(context_.host_count) != 0) continue;
    rows_.RemoveContentBlock(content.value());
    return;
  }
}

}  // namespace lovagecleat::gateway
