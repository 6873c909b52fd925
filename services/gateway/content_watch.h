#pragma once

#include <optional>
#include <string>
#include <vector>

#include "services/gateway/content_blocks.h"

namespace lovagecleat::gateway {

// Follows one request on behalf of ContentBlocks: whether it may be sent, and
// what becomes of the servers that it is sent to.
class ContentWatch {
 public:
  ContentWatch(Context& context, ContentBlocks& blocks)
      : context_(context), blocks_(blocks) {}

  // Sets the request when it arrives; `identity` stays valid until it ends. A
  // blocked request may be admitted for a trial.
  void Start(const routing::Prompt& prompt,
             const routing::RequestIdentity& identity);

  // Returns until when the request must not be sent; nothing if it may.
  std::optional<TimePoint> BlockedUntil();

  // Whether the request is a trial, which is sent to one server only.
  bool is_trial() const { return is_trial_; }

  // Returns the contents of the request for a log line; the keys of the request
  // itself only once a connection was lost under it.
  std::string FormatForLog() const;

  void OnSend();
  void OnResponseHead() { has_head_ = true; }
  // Content of a successful response has come.
  void OnContent();
  // The connection to the server ended before the response was complete.
  void OnConnectionLost(const routing::ServerIncarnation& server);
  // The response is complete; `is_end_certain` unless it ended with its
  // connection, as that of a server that crashes may, too.
  void OnComplete(bool is_end_certain);

 private:
  Context& context_;
  ContentBlocks& blocks_;
  // Adds the keys of the request, unless no host needs them.
  void AddRequestKeysIfTracked();
  void AddRequestKeys();
  void ReportServed();

  // The contents, those that more requests share first.
  std::vector<routing::ContentKey> contents_;
  routing::RequestIdentity identity_;
  bool has_request_keys_ = false;
  bool is_trial_ = false;
  // Of the last send.
  TimePoint sent_at_{};
  bool has_head_ = false;
  std::optional<TimePoint> first_content_at_;
  bool is_served_ = false;  // reported
};

}  // namespace lovagecleat::gateway
