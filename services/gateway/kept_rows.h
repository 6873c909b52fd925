#pragma once

#include <set>
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

  // Returns whether content of the table is kept that its owner may have
  // written anew since.
  bool HasRowsOf(const std::string& table) const;

 private:
  bool IsOlderServerEntry(const routing::Row& known, const routing::Row& row,
                          bool is_kept) const;

  const MessageCodec& codec_;
  const RowSource& source_;
  // Servers' rows whose content is kept, by table and key.
  std::set<std::pair<std::string, std::string>> servers_;
};

}  // namespace lovagecleat::gateway
