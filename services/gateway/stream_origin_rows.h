#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Keeps the origins of streams and the software versions of services in the
// platform's store, for the case that all hosts are lost at once. One host of
// each zone writes one row with all that it knows. Origins are stored only
// while the version does not follow from the service. See
// docs/design/stored-origins.md.
class StreamOriginRows {
 public:
  // `origins` are those that this host knows; rows that are read are added.
  StreamOriginRows(Context& context, RowSource& rows,
                   routing::StreamOrigins& origins);
  ~StreamOriginRows();
  StreamOriginRows(const StreamOriginRows&) = delete;
  StreamOriginRows& operator=(const StreamOriginRows&) = delete;

  // Reads the rows of all hosts and adds what they tell. The callback gets
  // whether they were read, within the time limit of a call to the store.
  void Read(std::function<void(bool)> callback);

  // Sets whether this host writes for its zone, and the era of the store that
  // it has read; nothing before.
  void SetWriter(bool is_writer, std::optional<std::uint64_t> era);

  // Writes the row as soon as its interval allows.
  void OnOriginAdded(const ServiceId& service);

  // Writes the row at once if the versions of a service have changed.
  void OnServersChanged();

  // Returns whether a stream of the service that no host knows may have begun
  // at several versions, so that origins must be stored.
  bool NeedsOrigins(const ServiceId& service) const;

 private:
  void Apply(const RowsResponse& response);
  // Adds the origins in the row. Returns the time on the store's clock at which
  // it was written; nothing if it cannot be read.
  std::optional<Duration> ApplyOrigins(const routing::Row& row);
  void ApplyHistory(const routing::Row& row);
  std::string RowValue() const;
  bool HasHistoryToWrite() const;
  void ScheduleWrite();
  void StartWrite();
  // Longest time for which a stream of any route may have lasted.
  Duration LongestStream() const;

  Context& context_;
  RowSource& rows_;
  routing::StreamOrigins& origins_;
  bool is_reading_ = false;
  std::vector<std::function<void(bool)>> readers_;
  bool is_writer_ = false;
  bool has_read_ = false;  // the rows of earlier processes
  std::optional<std::uint64_t> era_;
  bool has_new_origins_ = false;
  bool is_writing_ = false;
  std::uint64_t written_revision_ = 0;
  std::optional<std::uint64_t> written_era_;
  std::optional<TimePoint> written_at_;
  std::optional<TimePoint> failed_at_;
  TimerId write_timer_;
};

}  // namespace lovagecleat::gateway
