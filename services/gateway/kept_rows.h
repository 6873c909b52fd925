#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "services/gateway/message_codec.h"

namespace lovagecleat::gateway {

// Decides which content stays in force when a row of a newer version states
// older content, as after a restore of the store (docs/design/store-eras.md).
class KeptRows {
 public:
  KeptRows(const MessageCodec& codec, const RowSource& source)
      : codec_(codec), source_(source) {}

  // Returns whether the content of `known` stays in force although `row` has a
  // newer version, and remembers that it does.
  bool Keep(const routing::Row& known, const routing::Row& row);

  // Returns whether the content of the row with this key is kept.
  bool IsKept(const routing::Row& row) const;

  // Returns whether entries of servers in the table are kept, which the servers
  // may have written again since.
  bool HasServersOf(const std::string& table) const;

 private:
  using Key = std::pair<std::string, std::string>;  // table and key

  bool IsEarlierOrder(const routing::Row& known, const routing::Row& row);
  bool IsOlderTable(const routing::Row& known, const routing::Row& row) const;
  bool IsOlderServerEntry(const routing::Row& known, const routing::Row& row,
                          bool is_kept) const;

  const MessageCodec& codec_;
  const RowSource& source_;
  std::map<Key, RowSubject::Kind> kept_;
  // Orders to roll a version out that others have replaced, with the number of
  // the row's version.
  std::map<Key, std::map<std::string, std::uint64_t>> earlier_orders_;
};

}  // namespace lovagecleat::gateway
