#pragma once

#include <optional>
#include <string>

#include "base/base.h"
#include "routing/model.h"
#include "routing/server_processes.h"

namespace lovagecleat::routing {

// The process of a server that a call has reached.
struct ServerProcess {
  ServerIncarnation incarnation;  // as listed when the call was sent
  TimePoint since{};              // see ServerProcesses::OnOpened
  // Connections to the server had ended when the call was answered.
  bool may_be_new = false;
};

// What a host sees of servers at some moment.
struct ServerView {
  const ServerProcesses& processes;
  bool is_in_touch = false;  // with the store
  // All servers of the service have had one version for as long as streams may
  // last.
  bool has_one_version = false;
  TimePoint now{};

  // Returns whether the entry that is listed for the process's server is as of
  // a time after the process began. While the store is away, a server that
  // showed no end counts as the one listed if there is only one version.
  bool IsKnown(const ServerProcess& process) const;
};

// Whether a process may go on with a stream.
enum class ProcessMatch {
  kSame,    // it is the process listed when the call was sent
  kOther,   // it may be another one
  kUnsure,  // not known yet
};

// `listed` is the server's present entry, null if there is none.
ProcessMatch MatchProcess(const ServerProcess& process,
                          const ServerEntry* listed, const ServerView& view);

// The software version that began a stream, and so the only one that may go on
// with it. The version that is listed for a server is not always that of the
// process that a call reaches, so it may become known only later.
class StreamVersion {
 public:
  // Sets the version of a stream that began elsewhere.
  void Set(const std::string& version) { version_ = version; }

  // The stream's first event has come from that process.
  void Begin(const ServerProcess& process);

  // Decides as soon as that is possible. `is_connected`: the call that brought
  // the first event is still in progress.
  void Update(const ServerEntry* listed, bool is_connected,
              const ServerView& view);

  // Returns the version, once the stream has begun. It may change while the
  // stream may not go on.
  const std::optional<std::string>& version() const { return version_; }

  // Returns whether the version is certain. Otherwise the stream goes on
  // nowhere else.
  bool is_known() const { return !begun_by_; }
  // Returns whether it never will be, but while the call is in progress.
  bool is_lost() const { return begun_by_ && other_listed_at_; }
  // Returns whether other hosts may be told of the version.
  bool MayTell() const { return !begun_by_ || !begun_by_->may_be_new; }

  // The process that sent the first event, while its version is not certain.
  const std::optional<ServerProcess>& begun_by() const { return begun_by_; }

 private:
  std::optional<std::string> version_;
  std::optional<ServerProcess> begun_by_;
  // When another process of that server was seen listed.
  std::optional<TimePoint> other_listed_at_;
};

}  // namespace lovagecleat::routing
