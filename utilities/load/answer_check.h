#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/base.h"
#include "transport/transport.h"
#include "utilities/load/results.h"

namespace lovagecleat::load {

// Checks that the answer to one request belongs to it, is complete and is in
// order.
class AnswerCheck {
 public:
  // The answer must contain `marker`, which was sent with the request.
  AnswerCheck(std::string marker, Delivery delivery)
      : marker_(std::move(marker)), delivery_(delivery) {}

  // Handles one event of a streamed answer; `since_intended` is the time since
  // the intended send time of the request.
  void HandleEvent(const transport::ServerSentEvent& event,
                   Duration since_intended, Sample& sample);
  // Handles the end of the HTTP call.
  void HandleResponse(const transport::HttpResponse& response, Sample& sample);

 private:
  void HandleToken(const transport::ServerSentEvent& event,
                   Duration since_intended, Sample& sample);
  void HandleAnswer(std::string_view json, Sample& sample);
  void HandleProblem(std::string_view json, Sample& sample);
  bool IsExpectedAnswer(const std::string& output,
                        const std::string& text) const;

  std::string marker_;
  Delivery delivery_;
  std::uint64_t next_offset_ = 0;
  std::string text_;
  enum class Stream { kOpen, kEnded, kBroken };
  Stream stream_ = Stream::kOpen;
};

}  // namespace lovagecleat::load
