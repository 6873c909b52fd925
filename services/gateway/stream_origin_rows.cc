#include "services/gateway/stream_origin_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

// Least time between two writes of new origins. Streams that begin in it before
// all hosts are lost cannot be resumed; each write is paid for.
constexpr Duration kOriginInterval = milliseconds(250);
// Entries of several servers change together when a version appears.
constexpr Duration kHistoryDelay = milliseconds(20);
constexpr Duration kRetryDelay = milliseconds(500);
// A row is written again after this time without a change, so that rows of
// hosts that no longer write are told by their age. Rows that are older than
// the newest one by the second time do not count for the history.
constexpr Duration kRefreshInterval = std::chrono::seconds(20);
constexpr Duration kMaximumHistoryAge = std::chrono::seconds(60);
// Versions that have been gone for longer are left out of the history.
constexpr Duration kHistoryTime = std::chrono::minutes(10);
// Time for which a host keeps origins that it has read: they are resumed soon
// after the hosts are back, or never.
constexpr Duration kRestoredLifetime = std::chrono::seconds(30);
// Keeps a row under the store's limit of 64 KiB in base64. A caller may choose
// the ids of its requests.
constexpr std::size_t kMaximumStoredIdBytes = 40'000;
constexpr std::size_t kMaximumIdBytes = 64;
constexpr Duration kDefaultLongestStream = std::chrono::seconds(30);
// Streams are resumed at most this much later than they end.
constexpr Duration kStreamMargin = std::chrono::seconds(1);

constexpr const char* kEraField = "store_era";
constexpr const char* kWrittenField = "written_ms";
constexpr const char* kOriginsField = "origins";
constexpr const char* kServicesField = "services";
constexpr const char* kServiceField = "service";
constexpr const char* kVersionField = "version";
constexpr const char* kStreamsField = "streams";
constexpr const char* kSinceField = "known_since_ms";
constexpr const char* kVersionsField = "gone_ms_by_version";

// Ids of other characters might not be representable in a row.
bool IsStorable(std::string_view id) {
  return !id.empty() && id.size() <= kMaximumIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char character) {
           return character > 0x20 && character < 0x7f && character != '"' &&
                  character != '\\';
         });
}

std::int64_t WholeMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

StreamOriginRows::StreamOriginRows(Context& context, RowSource& rows,
                                   routing::StreamOrigins& origins)
    : context_(context), rows_(rows), origins_(origins) {}

StreamOriginRows::~StreamOriginRows() { context_.loop.Cancel(write_timer_); }

void StreamOriginRows::Read(std::function<void(bool)> callback) {
  readers_.push_back(std::move(callback));
  if (is_reading_) return;
  is_reading_ = true;
  rows_.ReadStreamOrigins([this](const RowsResponse& response) {
    is_reading_ = false;
    const bool is_read = response.status == RowsResponse::Status::kRead;
    if (is_read) {
      Apply(response);
      has_read_ = true;
    }
    context_.metrics.Count("lovagecleat_stream_origin_reads_total",
                           {{"result", is_read ? "read" : "failed"}});
    for (const auto& reader : std::exchange(readers_, {})) reader(is_read);
    ScheduleWrite();
  });
}

void StreamOriginRows::Apply(const RowsResponse& response) {
  std::vector<std::pair<Duration, const routing::Row*>> readable;
  Duration newest{};
  for (const routing::Row& row : response.rows) {
    const std::optional<Duration> written = ApplyOrigins(row);
    if (!written) {
      context_.log.Write("stream_origins_unreadable", "",
                         {{"host", row.key},
                          {"row_version", row.version.number()},
                          {"store_era", row.version.era()}});
      continue;
    }
    readable.emplace_back(*written, &row);
    newest = std::max(newest, *written);
  }
  std::size_t histories = 0;
  for (const auto& [written, row] : readable) {
    if (written + kMaximumHistoryAge < newest) continue;
    ApplyHistory(*row);
    ++histories;
  }
  context_.log.Write("stream_origins_read", "",
                     {{"rows", response.rows.size()},
                      {"histories", histories},
                      {"streams", origins_.size()},
                      {"store_era", response.version.era()}});
}

std::optional<Duration> StreamOriginRows::ApplyOrigins(
    const routing::Row& row) {
  try {
    const Json value = Json::parse(row.value);
    const milliseconds written(value.at(kWrittenField).get<std::int64_t>());
    for (const Json& group : value.at(kOriginsField)) {
      const routing::StreamOrigin origin{
          ServiceId(group.at(kServiceField).get<std::string>()),
          group.at(kVersionField).get<std::string>()};
      for (const Json& stream : group.at(kStreamsField))
        origins_.Add(stream.get<std::string>(), origin,
                     context_.Now() + kRestoredLifetime);
    }
    return written;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Where a stream began stays true in any era. A history does not: the rows of a
// restored store may lack a version that came since the copy was made.
void StreamOriginRows::ApplyHistory(const routing::Row& row) {
  const std::optional<Duration> store_time = rows_.StoreTime();
  if (!store_time) return;
  try {
    const Json value = Json::parse(row.value);
    if (value.at(kEraField).get<std::uint64_t>() != row.version.era()) return;
    const TimePoint now = context_.Now();
    const auto local_time = [&](const Json& time) {
      const Duration age = *store_time - milliseconds(time.get<std::int64_t>());
      return now - std::max(age, Duration::zero());
    };
    for (const Json& service : value.at(kServicesField)) {
      routing::VersionRecord record;
      record.known_since = local_time(service.at(kSinceField));
      for (const auto& [version, gone] : service.at(kVersionsField).items())
        record.versions[version] =
            gone.is_null() ? std::optional<TimePoint>() : local_time(gone);
      context_.directory.RestoreVersions(
          ServiceId(service.at(kServiceField).get<std::string>()), record, now);
    }
  } catch (const Json::exception&) {
    context_.log.Write("version_history_unreadable", "",
                       {{"host", row.key},
                        {"row_version", row.version.number()},
                        {"store_era", row.version.era()}});
  }
}

Duration StreamOriginRows::LongestStream() const {
  if (!context_.table) return kDefaultLongestStream;
  Duration longest{};
  for (const routing::Route& route : context_.table->routes)
    longest = std::max(longest, route.timeout);
  return longest + kStreamMargin;
}

bool StreamOriginRows::NeedsOrigins(const ServiceId& service) const {
  return !context_.directory.versions().SoleVersion(
      service, context_.Now() - LongestStream());
}

void StreamOriginRows::SetWriter(bool is_writer,
                                 std::optional<std::uint64_t> era) {
  is_writer_ = is_writer;
  era_ = era;
  if (!is_writer_ || !era_) return;
  // Its own row of an earlier process must not be overwritten unread.
  if (!has_read_ && !is_reading_) return Read([](bool) {});
  ScheduleWrite();
}

void StreamOriginRows::OnOriginAdded(const ServiceId& service) {
  if (!is_writer_ || !NeedsOrigins(service)) return;
  has_new_origins_ = true;
  ScheduleWrite();
}

void StreamOriginRows::OnServersChanged() {
  if (is_writer_) ScheduleWrite();
}

bool StreamOriginRows::HasHistoryToWrite() const {
  const std::uint64_t revision = context_.directory.versions().revision();
  return revision != 0 &&
         (written_revision_ != revision || written_era_ != era_);
}

void StreamOriginRows::ScheduleWrite() {
  if (!is_writer_ || !has_read_ || !era_ || is_writing_) return;
  const TimePoint now = context_.Now();
  TimePoint due = TimePoint::max();
  if (HasHistoryToWrite()) due = now + kHistoryDelay;
  if (has_new_origins_)
    due = std::min(due, written_at_ ? *written_at_ + kOriginInterval : now);
  if (written_at_) due = std::min(due, *written_at_ + kRefreshInterval);
  if (due == TimePoint::max()) return;
  if (failed_at_) due = std::max(due, *failed_at_ + kRetryDelay);
  context_.loop.Cancel(write_timer_);
  write_timer_ = context_.loop.At(std::max(due, now), [this] { StartWrite(); });
}

void StreamOriginRows::StartWrite() {
  if (!is_writer_ || is_writing_ || !rows_.StoreTime()) return;
  is_writing_ = true;
  has_new_origins_ = false;
  const std::uint64_t revision = context_.directory.versions().revision();
  rows_.WriteStreamOrigins(
      context_.settings.host, RowValue(),
      [this, revision, era = era_](bool is_written) {
        is_writing_ = false;
        context_.metrics.Count("lovagecleat_stream_origin_writes_total",
                               {{"result", is_written ? "written" : "failed"}});
        if (is_written) {
          written_revision_ = revision;
          written_era_ = era;
          written_at_ = context_.Now();
          failed_at_.reset();
        } else {
          has_new_origins_ = true;
          failed_at_ = context_.Now();
        }
        ScheduleWrite();
      });
}

std::string StreamOriginRows::RowValue() const {
  const TimePoint now = context_.Now();
  const Duration store_time = *rows_.StoreTime();
  const auto in_store_time = [&](TimePoint at) {
    return WholeMilliseconds(store_time - (now - at));
  };
  std::map<std::pair<ServiceId, std::string>, Json> streams;
  std::size_t bytes = 0;
  std::size_t left_out = 0;
  std::map<ServiceId, bool> needs_origins;
  for (const auto& [stream, known] : origins_.entries()) {
    const ServiceId& service = known.origin.service;
    const auto [needed, is_new] = needs_origins.try_emplace(service, false);
    if (is_new) needed->second = NeedsOrigins(service);
    if (!needed->second || known.expires_at <= now) continue;
    if (!IsStorable(stream) || bytes + stream.size() > kMaximumStoredIdBytes) {
      ++left_out;
      continue;
    }
    bytes += stream.size() + 3;
    streams[{service, known.origin.software_version}].push_back(stream);
  }
  if (left_out > 0)
    context_.log.Write("stream_origins_left_out", "", {{"streams", left_out}});
  Json origins = Json::array();
  for (auto& [origin, ids] : streams)
    origins.push_back({{kServiceField, origin.first.value()},
                       {kVersionField, origin.second},
                       {kStreamsField, std::move(ids)}});
  Json services = Json::array();
  for (const auto& [service, record] :
       context_.directory.versions().Records(now - kHistoryTime)) {
    Json versions = Json::object();
    for (const auto& [version, gone_at] : record.versions)
      versions[version] = gone_at ? Json(in_store_time(*gone_at)) : Json();
    services.push_back({{kServiceField, service.value()},
                        {kSinceField, in_store_time(record.known_since)},
                        {kVersionsField, std::move(versions)}});
  }
  const Json value = {{kEraField, era_.value_or(0)},
                      {kWrittenField, WholeMilliseconds(store_time)},
                      {kOriginsField, std::move(origins)},
                      {kServicesField, std::move(services)}};
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace lovagecleat::gateway
