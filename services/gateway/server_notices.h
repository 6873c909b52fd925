#pragma once

#include <string_view>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Records the notices of servers that are about to exit.
class ServerNotices {
 public:
  explicit ServerNotices(Context& context) : context_(context) {}

  // Records the notice in the head of a response to a call to `server`, if it
  // contains one. `server` is the incarnation that the call was sent to: its
  // entry may have been replaced since.
  void OnResponse(const routing::ServerIncarnation& server,
                  const ResponseMetadata& response);

 private:
  // Returns true if the notice was not known.
  bool Record(const routing::ServerIncarnation& server,
              std::string_view source);

  Context& context_;
};

}  // namespace lovagecleat::gateway
