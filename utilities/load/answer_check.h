#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/base.h"
#include "transport/transport.h"
#include "utilities/load/results.h"

namespace lovagecleat::load {

// Follows the answer to one request and checks that it is this request's own,
// whole and in order.
class AnswerCheck {
 public:
  // `marker` was sent with the request and has to come back, no other one.
  AnswerCheck(std::string marker, Delivery delivery)
      : marker_(std::move(marker)), delivery_(delivery) {}

  // One event of a streamed answer, `since_intended` after it was due to be
  // sent.
  void TakeEvent(const transport::ServerSentEvent& event,
                 Duration since_intended, Sample& sample);
  // The end of the HTTP call.
  void TakeResponse(const transport::HttpResponse& response, Sample& sample);

 private:
  void TakeToken(const transport::ServerSentEvent& event,
                 Duration since_intended, Sample& sample);
  void TakeAnswer(std::string_view json, Sample& sample);
  void TakeProblem(std::string_view json, Sample& sample);
  bool IsOwnAnswer(const std::string& output, const std::string& text) const;

  std::string marker_;
  Delivery delivery_;
  std::uint64_t next_offset_ = 0;
  std::string text_;
  enum class Stream { kOpen, kEnded, kBroken };
  Stream stream_ = Stream::kOpen;
};

}  // namespace lovagecleat::load
