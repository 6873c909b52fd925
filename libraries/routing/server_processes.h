#pragma once

#include <map>
#include <string>

#include "base/base.h"

namespace lovagecleat::routing {

// How a connection to a server ended.
enum class ConnectionEnd {
  kHere,    // closed by this host, or announced by the server
  kServer,  // closed or reset by the server, without a word
  kLost,    // without a sign of the server
};

// Tells whether the process behind a connection is the one that a server's
// entry describes. A server may start again under its id and address, with
// another software version, before its entry is read.
//
// A process ends all its connections when it ends, so as long as one is open,
// all later ones reach the same process. Its entry is the one in force as soon
// as entries are known as of a moment after the first of these connections.
class ServerProcesses {
 public:
  // Every change of an entry is known here after `maximum_change_delay` while
  // the host is in touch with the store.
  explicit ServerProcesses(Duration maximum_change_delay)
      : maximum_change_delay_(maximum_change_delay) {}

  // Records a new connection to `server`, the key of an incarnation. Returns
  // since when this host has had connections to its process, which identifies
  // the process.
  TimePoint OnOpened(const std::string& server, TimePoint now);
  // A connection to the process `since` has ended.
  void OnClosed(const std::string& server, TimePoint since, ConnectionEnd end,
                TimePoint now);
  // A connection could not be made.
  void OnNotConnected(const std::string& server, TimePoint now);
  // The incarnation is no longer listed.
  void Remove(const std::string& server);

  // Called at least every second or so, and upon changes: whether the host
  // learns of changes in the store.
  void SetInTouch(bool is_in_touch, TimePoint now);
  // Entries have been read from the store; the read began then.
  void OnRead(TimePoint began_at);

  // Returns whether the entries known here are as of a moment after the start
  // of a process that was connected to at `since`.
  bool IsKnown(TimePoint since) const;
  // Returns the earliest moment at which a read would make it known.
  static TimePoint ReadAt(TimePoint since);

  // Returns whether a new connection reaches a process whose entry is known.
  bool IsSettled(const std::string& server) const;
  // Returns whether the process may have ended: all connections to it have, or
  // one could not be made. Ends once the next process is known.
  bool HasBroken(const std::string& server) const;

  std::size_t size() const { return servers_.size(); }

 private:
  struct Server {
    std::size_t connections = 0;  // to the process
    TimePoint since{};            // of the process, if there are any
    bool has_broken = false;
    TimePoint broken_at{};
  };

  static void Break(Server& server, TimePoint now);
  void Advance(TimePoint known_as_of);

  Duration maximum_change_delay_;
  std::map<std::string, Server> servers_;
  // All entries are those in the store at that moment, or newer.
  TimePoint known_as_of_{};
  TimePoint in_touch_since_{};
  bool is_in_touch_ = false;
};

}  // namespace lovagecleat::routing
