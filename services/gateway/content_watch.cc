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
  AddRequestKeysIfTracked();
  if (blocks_.BlockedUntil(contents_))
    is_trial_ = blocks_.TryStartTrial(contents_);
}

std::optional<TimePoint> ContentWatch::BlockedUntil() {
  if (is_trial_) return std::nullopt;
  AddRequestKeysIfTracked();
  return blocks_.BlockedUntil(contents_);
}

// Hashing large bodies takes time.
void ContentWatch::AddRequestKeysIfTracked() {
  if (blocks_.TracksRequests()) AddRequestKeys();
}

void ContentWatch::AddRequestKeys() {
  if (has_request_keys_) return;
  has_request_keys_ = true;
  const std::vector<routing::ContentKey> keys = routing::RequestKeys(identity_);
  // Requests share the part of a prompt less often than a path and a body, but
  // more often than both and the prompt.
  contents_.insert(contents_.begin(), keys.front());
  contents_.insert(contents_.end(), keys.begin() + 1, keys.end());
}

std::string ContentWatch::FormatForLog() const {
  return routing::FormatForLog(contents_);
}

void ContentWatch::OnSend() {
  sent_at_ = context_.Now();
  has_head_ = false;
  first_content_at_.reset();
  is_served_ = false;
}

void ContentWatch::OnContent() {
  const TimePoint now = context_.Now();
  if (!first_content_at_) first_content_at_ = now;
  if (is_served_ || now - *first_content_at_ < kServedTime) return;
  is_served_ = true;
  ReportServed();
}

// When the server was still sound is only known for the time at which the
// request was sent: bytes may be read long after a crash. No other request is
// sent during a trial, so no crash can have followed its response.
void ContentWatch::ReportServed() {
  AddRequestKeysIfTracked();
  blocks_.OnServed(contents_, is_trial_ ? context_.Now() : sent_at_);
}

void ContentWatch::OnConnectionLost(const routing::ServerIncarnation& server) {
  // A request that the server has been responding to for a time is no suspect.
  if (is_served_) return;
  AddRequestKeys();
  blocks_.OnCrash(server, contents_,
                  has_head_ && !first_content_at_
                      ? routing::CrashMoment::kJustStarted
                      : routing::CrashMoment::kUnclear,
                  sent_at_);
}

void ContentWatch::OnComplete(bool is_end_certain) {
  if (is_end_certain) ReportServed();
}

}  // namespace lovagecleat::gateway
