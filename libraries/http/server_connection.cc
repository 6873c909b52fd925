#include "http/server_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lovagecleat::http {

namespace {

// Limits the buffered bytes of later requests while one is served; reading
// stops beyond this.
constexpr std::size_t kMaximumUnparsedBytes = std::size_t{256} * 1024;
// The connection is reset when more bytes of the response than this wait for a
// client that does not read them.
constexpr std::size_t kMaximumUnsentBytes = std::size_t{8} * 1024 * 1024;
// How long a closing connection is still read. Closing it with unread data
// would send a reset, which can discard the response before the client reads
// it.
constexpr Duration kLingerTime = std::chrono::seconds(1);

std::string ChunkHead(std::size_t size) {
  std::array<char, 20> digits;
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
  return std::string(digits.data(), end) + "\r\n";
}

}  // namespace

ServerConnection::ServerConnection(Server& server, int descriptor)
    : server_(server),
      stream_(std::make_unique<TcpStream>(server.poller_, descriptor, *this)),
      phase_since_(Now()),
      progress_at_(Now()),
      idle_timeout_(server.limits_.idle_timeout) {}

ServerConnection::~ServerConnection() = default;

TimePoint ServerConnection::Now() const {
  return server_.poller_.loop().clock().Now();
}

void ServerConnection::OnBytes(std::string_view bytes) {
  progress_at_ = Now();
  if (phase_ == Phase::kClosing) return;
  unparsed_.append(bytes);
  if (phase_ == Phase::kServing) {
    if (unparsed_.size() > kMaximumUnparsedBytes) stream_->SetReading(false);
    return;
  }
  ReadBuffered();
}

void ServerConnection::StartRequest() {
  phase_ = Phase::kReading;
  phase_since_ = Now();
  head_ = {};
  body_.clear();
  reader_ = std::make_unique<MessageReader>(MessageReader::Role::kRequest,
                                            server_.limits_.message, *this);
}

// The handler may respond before it returns; the loop below then reads the next
// request, rather than a nested call of this function.
void ServerConnection::ReadBuffered() {
  if (is_reading_buffered_) return;
  is_reading_buffered_ = true;
  while (!unparsed_.empty() && !is_removed_) {
    if (phase_ == Phase::kIdle) {
      // HTTP/1.1 allows an empty line before a request.
      if (unparsed_.starts_with("\r\n")) {
        unparsed_.erase(0, 2);
        continue;
      }
      StartRequest();
    }
    if (phase_ != Phase::kReading) break;
    const std::size_t used = reader_->Feed(unparsed_);
    unparsed_.erase(0, used);
    if (reader_->error() != ParseError::kNone) {
      Reject(reader_->error());
      break;
    }
    if (!reader_->is_complete()) break;
    keeps_connection_ = reader_->keeps_connection();
    phase_ = Phase::kServing;
    ++server_.active_exchanges_;
    exchange_ = std::make_unique<Exchange>(*this, std::move(head_),
                                           std::move(body_), phase_since_);
    server_.handler_.OnExchange(*exchange_);
  }
  is_reading_buffered_ = false;
}

void ServerConnection::OnRequestHead(RequestHead&& head) {
  head_ = std::move(head);
  if (HasToken(head_.fields, "Expect", "100-continue"))
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::OnMessageBody(std::string_view bytes) {
  body_.append(bytes);
}

void ServerConnection::OnMessageComplete() {}

void ServerConnection::Reject(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return RejectWith(431);
    case ParseError::kBodyTooLarge:
      return RejectWith(413);
    case ParseError::kMalformed:
    case ParseError::kNone:
      return RejectWith(400);
  }
}

void ServerConnection::RejectWith(int status) {
  ++server_.rejections_[status];
  stream_->Write(FormatResponseHead(
      status, {{"Content-Length", "0"}, {"Connection", "close"}}));
  CloseAfterSending();
}

void ServerConnection::OnStreamEnd(StreamEnd /*end*/) {
  if (is_removed_) return;
  if (exchange_) {
    ExchangeObserver* observer = exchange_->observer_;
    if (observer != nullptr) observer->OnClientDisconnected();
    exchange_.reset();
    --server_.active_exchanges_;
  }
  CloseAndRemove();
}

// The client can act on the response from now on.
void ServerConnection::OnDrained() {
  progress_at_ = Now();
  if (phase_ == Phase::kClosing) phase_since_ = progress_at_;
}

void ServerConnection::CheckTimeouts(TimePoint now) {
  const ServerLimits& limits = server_.limits_;
  // A client may still go by the higher limit that its connection became idle
  // under.
  const Duration idle_timeout = std::max(idle_timeout_, limits.idle_timeout);
  const bool is_sending = stream_->unsent_bytes() > 0;
  switch (phase_) {
    case Phase::kIdle:
      // A request may have arrived while the process did not run.
      if (!is_sending && now - progress_at_ > idle_timeout &&
          !stream_->HasUnreadBytes())
        CloseAndRemove();
      return;
    case Phase::kReading: {
      const bool has_head_timed_out =
          !reader_->has_head() && now - phase_since_ > limits.head_timeout;
      if (has_head_timed_out || now - progress_at_ > idle_timeout)
        RejectWith(408);
      return;
    }
    case Phase::kServing:
      if (stream_->unsent_bytes() > kMaximumUnsentBytes) {
        stream_->ResetOnClose();
        OnStreamEnd(StreamEnd::kReset);
      }
      return;
    case Phase::kClosing:
      if (!is_sending && now - phase_since_ > kLingerTime) CloseAndRemove();
      return;
  }
}

void ServerConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle && unparsed_.empty() && !stream_->HasUnreadBytes())
    CloseAfterSending();
}

void ServerConnection::Respond(int status, const HeaderFields& fields,
                               std::string_view body) {
  BeginResponse(status, fields, body.size());
  SendBody(body);
  FinishResponse();
}

void ServerConnection::BeginResponse(int status, const HeaderFields& fields,
                                     std::optional<std::uint64_t> length) {
  exchange_->has_begun_ = true;
  HeaderFields response_fields = fields;
  if (server_.is_draining_) keeps_connection_ = false;
  if (length) {
    exchange_->framing_ = BodyFraming::kLength;
    response_fields.push_back({"Content-Length", std::to_string(*length)});
  } else if (exchange_->head_.minor_version == 0) {
    exchange_->framing_ = BodyFraming::kUntilClose;
    keeps_connection_ = false;
  } else {
    exchange_->framing_ = BodyFraming::kChunked;
    response_fields.push_back({"Transfer-Encoding", "chunked"});
  }
  if (!keeps_connection_) {
    response_fields.push_back({"Connection", "close"});
  } else if (exchange_->head_.minor_version == 0) {
    response_fields.push_back({"Connection", "keep-alive"});
  }
  stream_->Write(FormatResponseHead(status, response_fields));
}

void ServerConnection::SendBody(std::string_view bytes) {
  if (bytes.empty() || exchange_->head_.method == "HEAD") return;
  if (exchange_->framing_ == BodyFraming::kChunked) {
    stream_->Write(ChunkHead(bytes.size()).append(bytes).append("\r\n"));
  } else {
    stream_->Write(bytes);
  }
}

void ServerConnection::FinishResponse() {
  if (exchange_->framing_ == BodyFraming::kChunked &&
      exchange_->head_.method != "HEAD")
    stream_->Write("0\r\n\r\n");
  EndExchange();
  if (!keeps_connection_) return CloseAfterSending();
  phase_ = Phase::kIdle;
  phase_since_ = Now();
  progress_at_ = phase_since_;
  idle_timeout_ = server_.limits_.idle_timeout;
  stream_->SetReading(true);
  ReadBuffered();
}

void ServerConnection::Abort() {
  EndExchange();
  stream_->ResetOnClose();
  CloseAndRemove();
}

// The loop destroys the exchange later, since the caller reached this function
// through it.
void ServerConnection::EndExchange() {
  --server_.active_exchanges_;
  server_.poller_.loop().DestroyLater(std::move(exchange_));
}

void ServerConnection::CloseAfterSending() {
  phase_ = Phase::kClosing;
  phase_since_ = Now();
  unparsed_.clear();
  stream_->SetReading(true);
  stream_->ShutdownSending();
}

void ServerConnection::CloseAndRemove() {
  if (is_removed_) return;
  is_removed_ = true;
  stream_->Close();
  server_.Remove(this);
}

}  // namespace lovagecleat::http
