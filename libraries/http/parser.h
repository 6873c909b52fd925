#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace lovagecleat::http {

enum class ParseError {
  kNone,
  kMalformed,       // not HTTP/1, or readable in two ways
  kHeaderTooLarge,  // beyond the limit on the header
  kBodyTooLarge,    // beyond the limit on the body
};

struct MessageLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
};

// Told of the parts of one message as they are read.
class MessageObserver {
 public:
  virtual ~MessageObserver() = default;
  virtual void OnRequestHead(RequestHead&& /*head*/) {}
  virtual void OnResponseHead(ResponseHead&& /*head*/) {}
  virtual void OnMessageBody(std::string_view bytes) = 0;
  virtual void OnMessageComplete() = 0;
};

// How the end of a message is told.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Reads one HTTP/1.1 message. Requests that two readers could understand
// differently are malformed: several lengths, a length beside chunks, folded
// or bare line ends, several hosts.
class MessageReader {
 public:
  enum class Role { kRequest, kResponse, kResponseToHead };

  MessageReader(Role role, const MessageLimits& limits,
                MessageObserver& observer);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Reads from the front of `bytes` and returns how many were used; stops at
  // the end of the message. Bytes of an unfinished head are not used: they are
  // to be fed again with what follows.
  std::size_t Feed(std::string_view bytes);

  // The connection's end completes a message without a length. False if the
  // message was cut off.
  bool FeedEnd();

  bool has_head() const;
  bool is_complete() const;
  ParseError error() const;

  // Valid once the head was read.
  bool keeps_connection() const;
  BodyFraming framing() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::http
