#include "services/gateway/prompt_block_rows.h"

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

PromptBlockRows::PromptBlockRows(Context& context, RowSource& rows,
                                 routing::CrashSuspects& suspects)
    : context_(context), rows_(rows), suspects_(suspects) {}

std::optional<PromptBlockRows::StoredBlock> PromptBlockRows::Read(
    const std::string& name, const routing::Row& row) const {
  const auto json = nlohmann::json::parse(row.value, nullptr, false);
  if (!routing::IsPromptPartKey(name) || !json.is_object()) return std::nullopt;
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

bool PromptBlockRows::Apply(const std::string& name, const routing::Row& row) {
  const routing::PromptPartKey part(name);
  // A row that is lost or removed does not end the block, which is written
  // again. To end it, the row must say so.
  if (row.is_removed) {
    stored_.erase(part);
    return false;
  }
  const std::optional<StoredBlock> stored = Read(name, row);
  if (!stored) {
    context_.log.Write("prompt_block_unreadable", "",
                       {{"part", name.substr(0, routing::kMaximumKeyBytes)},
                        {"row_version", row.version.number()},
                        {"store_era", row.version.era()}});
    return false;
  }
  if (stored_.size() >= kMaximumStoredBlocks && !stored_.contains(part))
    return false;
  stored_.insert_or_assign(part, *stored);
  if (stored->is_released) {
    released_.erase(part);
    suspects_.AddServed(std::span(&part, 1), context_.Now());
    return false;
  }
  if (stored->block.until <= context_.Now()) return false;
  if (suspects_.WasServedSince(part, stored->block.crashed_at)) {
    OnReleased(part);
    return false;
  }
  const bool was_blocked = suspects_.Find(part) != nullptr;
  return suspects_.Block(part, stored->block) && !was_blocked;
}

void PromptBlockRows::OnBlocked(const routing::PromptPartKey& part) {
  released_.erase(part);
  writes_[part].next_at = context_.Now();
}

void PromptBlockRows::OnReleased(const routing::PromptPartKey& part) {
  released_.insert(part);
  writes_[part].next_at = context_.Now();
}

std::string PromptBlockRows::ValueOf(const routing::BlockedPart& block) const {
  const Clock& clock = context_.loop.clock();
  const nlohmann::json value = {
      {kCrashedField, ToUnixMs(clock, block.crashed_at)},
      {kExpiresField, ToUnixMs(clock, block.until)},
      {kTrialsField, block.trials}};
  return value.dump();
}

bool PromptBlockRows::IsStored(const routing::PromptPartKey& part,
                               const routing::BlockedPart& block,
                               std::uint64_t era) const {
  const auto stored = stored_.find(part);
  return stored != stored_.end() && !stored->second.is_released &&
         stored->second.version.era() == era &&
         stored->second.block.trials >= block.trials;
}

bool PromptBlockRows::TakeWrite(const routing::PromptPartKey& part) {
  const TimePoint now = context_.Now();
  const auto [write, is_new] = writes_.try_emplace(part);
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

void PromptBlockRows::StartWrite(const routing::PromptPartKey& part,
                                 std::string value) {
  rows_.WritePromptBlock(part.value(), std::move(value),
                         [this, part](bool is_written) {
                           const auto write = writes_.find(part);
                           if (write != writes_.end())
                             write->second.is_in_progress = false;
                           if (!is_written)
                             context_.metrics.Count(
                                 "lovagecleat_prompt_block_write_failures_"
                                 "total");
                         });
}

void PromptBlockRows::Update(std::optional<std::uint64_t> era) {
  if (!era) return;
  std::erase_if(released_, [this](const routing::PromptPartKey& part) {
    const auto stored = stored_.find(part);
    return stored == stored_.end() || stored->second.is_released ||
           stored->second.block.until <= context_.Now();
  });
  std::erase_if(writes_, [this](const auto& item) {
    return !item.second.is_in_progress && !released_.contains(item.first) &&
           suspects_.Find(item.first) == nullptr;
  });
  for (const auto& [part, block] : suspects_.blocked())
    if (!IsStored(part, block, *era) && TakeWrite(part))
      StartWrite(part, ValueOf(block));
  for (const routing::PromptPartKey& part : released_)
    if (suspects_.Find(part) == nullptr && TakeWrite(part))
      StartWrite(part, nlohmann::json{{kReleasedField, true}}.dump());
  RemoveOldRows();
}

// One host removes a row; the others find it gone at their next check.
void PromptBlockRows::RemoveOldRows() {
  const TimePoint now = context_.Now();
  if (now - old_rows_checked_at_ < kOldRowsCheckPeriod) return;
  old_rows_checked_at_ = now;
  for (const auto& [part, stored] : stored_) {
    const bool is_old =
        !suspects_.Find(part) && stored.block.until + kRowRetention <= now;
    if (!is_old || context_.random.Below(context_.host_count) != 0) continue;
    rows_.RemovePromptBlock(part.value());
    return;
  }
}

}  // namespace lovagecleat::gateway
