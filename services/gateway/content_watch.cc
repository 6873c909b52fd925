#include "services/gateway/content_watch.h"

namespace lovagecleat::gateway {

namespace {

// A server that has sent content for this long does not crash because it began
// to. A crash is noticed within a few round trips, and hosts may be slow.
constexpr Duration kServedTime = std::chrono::milliseconds(1000);

}  // namespace

void ContentWatch::Start(const routing::Prompt& prompt,
                         const routing::RequestIdentity& identity) {
  identity_ = identity;
  contents_ = routing::SharedPartKeys(prompt);
  if (blocks_.BlockedUntil(contents_))
    is_trial_ = blocks_.TryStartTrial(contents_);
}

std::optional<TimePoint> ContentWatch::BlockedUntil() const {
  return is_trial_ ? std::nullopt : blocks_.BlockedUntil(contents_);
}

// Most requests need no keys, and hashing large bodies takes time.
void ContentWatch::AddRequestKeys() {
  if (request_keys_.empty()) request_keys_ = routing::RequestKeys(identity_);
}

std::string ContentWatch::FormatForLog() const {
  std::vector<routing::ContentKey> keys = contents_;
  keys.insert(keys.end(), request_keys_.begin(), request_keys_.end());
  return routing::FormatForLog(keys);
}

void ContentWatch::OnSend() {
  has_head_ = false;
  first_content_at_.reset();
  is_served_ = false;
}

void ContentWatch::OnContent() {
  const TimePoint now = context_.Now();
  if (!first_content_at_) first_content_at_ = now;
  if (is_served_ || now - *first_content_at_ < kServedTime) return;
  is_served_ = true;
  blocks_.OnServed(contents_);
}

void ContentWatch::OnConnectionLost(const routing::ServerIncarnation& server) {
  // A request that the server has been responding to for a time is no suspect.
  if (is_served_) return;
  AddRequestKeys();
  blocks_.OnCrash(server, contents_,
                  has_head_ && !first_content_at_
                      ? routing::CrashMoment::kJustStarted
                      : routing::CrashMoment::kUnclear);
}

void ContentWatch::OnComplete(bool is_end_certain) {
  if (is_end_certain) blocks_.OnServed(contents_);
}

}  // namespace lovagecleat::gateway
