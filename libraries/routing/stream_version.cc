#include "routing/stream_version.h"

namespace lovagecleat::routing {

namespace {

// A connection that is open for this long after the entry of another process
// was read reaches that process: the end of one to the earlier process is seen
// within this time, also after this host stood still.
constexpr Duration kConnectionEndTime = std::chrono::milliseconds(50);

}  // namespace

bool ServerView::IsKnown(const ServerProcess& process) const {
  if (processes.IsKnown(process.since)) return true;
  return !process.may_be_new && !is_in_touch && has_one_version &&
         now >= ServerProcesses::ReadAt(process.since);
}

// A server that has started again is listed: without an entry, the process is
// the one that has left.
ProcessMatch MatchProcess(const ServerProcess& process,
                          const ServerEntry* listed, const ServerView& view) {
  if (!view.IsKnown(process)) return ProcessMatch::kUnsure;
  return listed == nullptr || listed->incarnation() == process.incarnation
             ? ProcessMatch::kSame
             : ProcessMatch::kOther;
}

void StreamVersion::Begin(const ServerProcess& process) {
  if (version_) return;
  version_ = process.incarnation.software_version;
  begun_by_ = process;
}

void StreamVersion::Update(const ServerEntry* listed, bool is_connected,
                           const ServerView& view) {
  if (!begun_by_) return;
  switch (MatchProcess(*begun_by_, listed, view)) {
    case ProcessMatch::kUnsure:
      return;
    case ProcessMatch::kSame:
      begun_by_.reset();
      return;
    case ProcessMatch::kOther:
      break;
  }
  // The server has started again before or after the stream began; if after,
  // the connection ends.
  if (!other_listed_at_) other_listed_at_ = view.now;
  if (!is_connected || listed->address != begun_by_->incarnation.address ||
      view.now - *other_listed_at_ < kConnectionEndTime)
    return;
  version_ = listed->software_version;
  begun_by_.reset();
}

}  // namespace lovagecleat::routing
