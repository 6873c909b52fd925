#include "http/parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <utility>

namespace lovagecleat::http {

namespace {

namespace beast = boost::beast;

// Size of the shortest chunk, "0\r\n\r\n". Once Beast has seen the size of the
// last chunk, it asserts that it gets at least as many bytes.
constexpr std::size_t kMinimumChunkBytes = 5;

// Returns the length of the head including its empty line, or nullopt if the
// head is incomplete.
std::optional<std::size_t> HeadLength(std::string_view bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) return std::nullopt;
  return end + 4;
}

// Returns whether other parsers may interpret the line ends differently: a lone
// line feed or carriage return, or a folded line. A NUL byte counts as well.
bool HasAmbiguousLineEnds(std::string_view head) {
  for (std::size_t i = 0; i < head.size(); ++i) {
    const char character = head[i];
    if (character == '\0') return true;
    if (character == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
      return true;
    if (character != '\n') continue;
    if (i == 0 || head[i - 1] != '\r') return true;
    if (i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t'))
      return true;
  }
  return false;
}

// Returns whether the framing fields have only one interpretation.
bool HasUnambiguousFraming(const HeaderFields& fields) {
  const std::size_t length_fields = CountFields(fields, "Content-Length");
  const std::size_t encoding_fields = CountFields(fields, "Transfer-Encoding");
  if (length_fields + encoding_fields > 1) return false;
  // Some parsers accept a list of equal lengths; it is rejected here.
  const auto length = FindField(fields, "Content-Length");
  if (length && length->find_first_not_of("0123456789") != std::string::npos)
    return false;
  const auto encoding = FindField(fields, "Transfer-Encoding");
  return !encoding || EqualNames(*encoding, "chunked");
}

bool IsAcceptableRequest(const RequestHead& head) {
  if (!HasUnambiguousFraming(head.fields)) return false;
  if (head.target.empty() || head.target.front() != '/') return false;
  if (head.target.find('#') != std::string::npos) return false;
  const std::size_t host_fields = CountFields(head.fields, "Host");
  if (host_fields > 1) return false;
  if (host_fields == 0 && head.minor_version == 1) return false;
  // HTTP/1.0 has no chunked transfer coding.
  return head.minor_version == 1 ||
         CountFields(head.fields, "Transfer-Encoding") == 0;
}

constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Returns whether the fields announce a body.
bool AnnouncesBody(const HeaderFields& fields) {
  const auto length = FindField(fields, "Content-Length");
  return (length && length->find_first_not_of('0') != std::string_view::npos) ||
         FindField(fields, "Transfer-Encoding").has_value();
}

// Nothing asks a server to switch protocols. The body that an interim response
// announces would be read as the next response.
bool IsAcceptableResponse(const ResponseHead& head) {
  if (!HasUnambiguousFraming(head.fields)) return false;
  if (head.status < 100 || head.status > 599) return false;
  if (head.status == kSwitchingProtocols) return false;
  return head.status >= 200 || !AnnouncesBody(head.fields);
}

// Implements the callbacks of the Beast parser for requests and responses.
template <bool kIsRequest>
class BeastParser final : public beast::http::basic_parser<kIsRequest> {
 public:
  explicit BeastParser(MessageObserver& observer) : observer_(observer) {}

  bool is_rejected() const { return is_rejected_; }

  // Valid once the head has been parsed.
  bool announces_body() const { return announces_body_; }
  int status() const { return status_; }

 private:
  using string_view = beast::string_view;
  using error_code = beast::error_code;

  static std::string ToString(string_view text) {
    return {text.data(), text.size()};
  }

  void on_request_impl(beast::http::verb /*method*/, string_view method,
                       string_view target, int version,
                       error_code& /*error*/) override {
    request_.method = ToString(method);
    request_.target = ToString(target);
    request_.minor_version = version - 10;
  }

  void on_response_impl(int code, string_view reason, int /*version*/,
                        error_code& /*error*/) override {
    status_ = code;
    response_.status = code;
    response_.reason = ToString(reason);
  }

  void on_field_impl(beast::http::field /*name*/, string_view name,
                     string_view value, error_code& /*error*/) override {
    // Trailer fields are dropped, since nothing uses them.
    if (has_head_) return;
    fields().push_back({ToString(name), ToString(value)});
  }

  void on_header_impl(error_code& error) override {
    has_head_ = true;
    const bool is_acceptable = kIsRequest ? IsAcceptableRequest(request_)
                                          : IsAcceptableResponse(response_);
    if (!is_acceptable) {
      is_rejected_ = true;
      error = beast::http::error::bad_transfer_encoding;
      return;
    }
    announces_body_ = AnnouncesBody(fields());
    if constexpr (kIsRequest) {
      observer_.OnRequestHead(std::move(request_));
    } else {
      observer_.OnResponseHead(std::move(response_));
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*error*/) override {}

  std::size_t on_body_impl(string_view body, error_code& /*error*/) override {
    observer_.OnMessageBody({body.data(), body.size()});
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code& /*error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body,
                                 error_code& /*error*/) override {
    observer_.OnMessageBody({body.data(), body.size()});
    return body.size();
  }

  void on_finish_impl(error_code& /*error*/) override {}

  HeaderFields& fields() {
    if constexpr (kIsRequest) {
      return request_.fields;
    } else {
      return response_.fields;
    }
  }

  MessageObserver& observer_;
  RequestHead request_;
  ResponseHead response_;
  bool has_head_ = false;
  bool is_rejected_ = false;
  bool announces_body_ = false;
  int status_ = 0;  // of a response
};

}  // namespace

class MessageReader::State {
 public:
  State(Role role, const MessageLimits& limits, MessageObserver& observer)
      : limits_(limits), observer_(observer) {
    if (role == Role::kRequest) {
      request_ = std::make_unique<BeastParser<true>>(observer);
      Configure(*request_);
    } else {
      response_ = std::make_unique<BeastParser<false>>(observer);
      Configure(*response_);
      is_to_head_ = role == Role::kResponseToHead;
      response_->skip(is_to_head_);
    }
  }

  std::size_t Feed(std::string_view bytes) {
    return request_ ? FeedTo(*request_, bytes) : FeedTo(*response_, bytes);
  }

  bool FeedEnd() {
    if (request_) return false;
    if (is_complete_) return true;
    if (error_ != ParseError::kNone || !response_->got_some()) return false;
    if (!response_->is_header_done() || !response_->need_eof()) return false;
    beast::error_code error;
    response_->put_eof(error);
    if (error) return false;
    Complete();
    return true;
  }

  bool has_head() const {
    return request_ ? request_->is_header_done() : response_->is_header_done();
  }
  bool is_complete() const { return is_complete_; }
  ParseError error() const { return error_; }
  bool keeps_connection() const {
    if (request_) return request_->keep_alive();
    return response_->keep_alive() && !HasUnreadBody();
  }

  BodyFraming framing() const {
    return request_ ? FramingOf(*request_) : FramingOf(*response_);
  }

 private:
  template <typename Parser>
  static BodyFraming FramingOf(const Parser& parser) {
    if (parser.chunked()) return BodyFraming::kChunked;
    if (parser.need_eof()) return BodyFraming::kUntilClose;
    if (parser.content_length()) return BodyFraming::kLength;
    return BodyFraming::kNone;
  }

  // A response that has no body, by its status or by the method of its request,
  // may be followed by the one that it announces.
  bool HasUnreadBody() const {
    const int status = response_->status();
    return response_->announces_body() &&
           (is_to_head_ || status == kNoContent || status == kNotModified);
  }

  template <typename Parser>
  void Configure(Parser& parser) {
    parser.eager(true);
    parser.header_limit(limits_.header_bytes);
    parser.body_limit(limits_.body_bytes);
  }

  template <typename Parser>
  std::size_t FeedTo(Parser& parser, std::string_view bytes) {
    std::size_t used = 0;
    while (error_ == ParseError::kNone && !is_complete_ &&
           used < bytes.size()) {
      const std::string_view rest = bytes.substr(used);
      if (!parser.is_header_done() && !IsHeadReadable(rest)) break;
      if (is_at_chunk_line_ && rest.size() < kMinimumChunkBytes) break;
      beast::error_code error;
      const std::size_t consumed = parser.put(
          boost::asio::const_buffer(rest.data(), rest.size()), error);
      used += consumed;
      if (error == beast::http::error::need_more) error = {};
      if (error) {
        error_ = Classify(error);
        break;
      }
      if (parser.is_done()) Complete();
      // Beast takes every byte of a chunk's data.
      is_at_chunk_line_ = consumed < rest.size();
      if (consumed == 0) break;
    }
    // Beast buffers no line of a chunk and no trailer, however long: it leaves
    // them unread until they are complete.
    if (error_ == ParseError::kNone && !is_complete_ &&
        bytes.size() - used > limits_.header_bytes)
      error_ = ParseError::kHeaderTooLarge;
    return used;
  }

  // Returns whether the head is complete and unambiguous; sets `error_` if it
  // is too large or malformed.
  bool IsHeadReadable(std::string_view bytes) {
    const std::optional<std::size_t> length = HeadLength(bytes);
    if (length.value_or(bytes.size()) > limits_.header_bytes) {
      error_ = ParseError::kHeaderTooLarge;
      return false;
    }
    if (!length) return false;
    if (!HasAmbiguousLineEnds(bytes.substr(0, *length))) return true;
    error_ = ParseError::kMalformed;
    return false;
  }

  static ParseError Classify(const beast::error_code& error) {
    if (error == beast::http::error::header_limit)
      return ParseError::kHeaderTooLarge;
    if (error == beast::http::error::body_limit)
      return ParseError::kBodyTooLarge;
    return ParseError::kMalformed;
  }

  void Complete() {
    is_complete_ = true;
    observer_.OnMessageComplete();
  }

  MessageLimits limits_;
  MessageObserver& observer_;
  std::unique_ptr<BeastParser<true>> request_;
  std::unique_ptr<BeastParser<false>> response_;
  bool is_to_head_ = false;
  bool is_complete_ = false;
  // Whether the line of a chunk is incomplete.
  bool is_at_chunk_line_ = false;
  ParseError error_ = ParseError::kNone;
};

MessageReader::MessageReader(Role role, const MessageLimits& limits,
                             MessageObserver& observer)
    : state_(std::make_unique<State>(role, limits, observer)) {}

MessageReader::~MessageReader() = default;

std::size_t MessageReader::Feed(std::string_view bytes) {
  return state_->Feed(bytes);
}
bool MessageReader::FeedEnd() { return state_->FeedEnd(); }
bool MessageReader::has_head() const { return state_->has_head(); }
bool MessageReader::is_complete() const { return state_->is_complete(); }
ParseError MessageReader::error() const { return state_->error(); }
bool MessageReader::keeps_connection() const {
  return state_->keeps_connection();
}
BodyFraming MessageReader::framing() const { return state_->framing(); }

}  // namespace lovagecleat::http
