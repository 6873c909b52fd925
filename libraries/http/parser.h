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
  kMalformed,       // not HTTP/1, or ambiguous
  kHeaderTooLarge,  // larger than MessageLimits::header_bytes
  kBodyTooLarge,    // larger than MessageLimits::body_bytes
};

struct MessageLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
};

// Receives the parts of one message as they are parsed.
class MessageObserver {
 public:
  virtual ~MessageObserver() = default;
  virtual void OnRequestHead(RequestHead&& /*head*/) {}
  virtual void OnResponseHead(ResponseHead&& /*head*/) {}
  virtual void OnMessageBody(std::string_view bytes) = 0;
  virtual void OnMessageComplete() = 0;
};

// How the length of a message body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Parses one HTTP/1.1 message. Requests that two parsers could interpret
// differently are malformed: several lengths, a length with chunked coding,
// folded lines or bare line ends, several Host fields.
class MessageReader {
 public:
  enum class Role { kRequest, kResponse, kResponseToHead };

  MessageReader(Role role, const MessageLimits& limits,
                MessageObserver& observer);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Parses `bytes` up to the end of the message and returns the number of bytes
  // consumed. Bytes of an incomplete head are not consumed: the caller feeds
  // them again together with the bytes that follow.
  std::size_t Feed(std::string_view bytes);

  // Handles the end of the connection, which completes a response without a
  // length. Returns false if the message was truncated.
  bool FeedEnd();

  bool has_head() const;
  bool is_complete() const;
  ParseError error() const;

  // Valid once the head has been parsed.
  bool keeps_connection() const;
  BodyFraming framing() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::http
