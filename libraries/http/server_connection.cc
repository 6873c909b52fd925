#include "http/server_connection.h"

#include <array>
#include <charconv>
#include <utility>

namespace lovagecleat::http {

namespace {

// Bytes of later requests that are kept while one is served.
constexpr std::size_t kMaximumUnreadBytes = std::size_t{256} * 1024;
// A client that does not take its response is given up beyond this.
constexpr std::size_t kMaximumUnsentBytes = std::size_t{8} * 1024 * 1024;
// How long a closed connection is still read, so that the client gets the
// response before a reset could discard it.
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
      progress_at_(Now()) {}

ServerConnection::~ServerConnection() = default;

TimePoint ServerConnection::Now() const {
  return server_.poller_.loop().clock().Now();
}

void ServerConnection::OnBytes(std::string_view bytes) {
  progress_at_ = Now();
  if (phase_ == Phase::kClosing) return;
  unread_.append(bytes);
  if (phase_ == Phase::kServing) {
    if (unread_.size() > kMaximumUnreadBytes) stream_->SetReading(false);
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

// A response may be written from within the handler, and then the next request
// is read by the loop here rather than by a call from within this one.
void ServerConnection::ReadBuffered() {
  if (is_reading_buffered_) return;
  is_reading_buffered_ = true;
  while (!unread_.empty() && !is_removed_) {
    if (phase_ == Phase::kIdle) {
      // An empty line before a request is allowed by HTTP/1.1.
      if (unread_.starts_with("\r\n")) {
        unread_.erase(0, 2);
        continue;
      }
      StartRequest();
    }
    if (phase_ != Phase::kReading) break;
    const std::size_t used = reader_->Feed(unread_);
    unread_.erase(0, used);
    if (reader_->error() != ParseError::kNone) {
      Refuse(reader_->error());
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

void ServerConnection::Refuse(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return RefuseWith(431);
    case ParseError::kBodyTooLarge:
      return RefuseWith(413);
    case ParseError::kMalformed:
    case ParseError::kNone:
      return RefuseWith(400);
  }
}

void ServerConnection::RefuseWith(int status) {
  ++server_.refusals_[status];
  stream_->Write(FormatResponseHead(
      status, {{"Content-Length", "0"}, {"Connection", "close"}}));
  CloseAfterSending();
}

void ServerConnection::OnStreamEnd(StreamEnd /*end*/) {
  if (is_removed_) return;
  if (exchange_) {
    ExchangeObserver* observer = exchange_->observer_;
    if (observer != nullptr) observer->OnClientGone();
    exchange_.reset();
    --server_.active_exchanges_;
  }
  RemoveSoon();
}

void ServerConnection::OnDrained() {}

void ServerConnection::CheckTime(TimePoint now) {
  const ServerLimits& limits = server_.limits_;
  switch (phase_) {
    case Phase::kIdle:
      if (now - progress_at_ > limits.idle_time) RemoveSoon();
      return;
    case Phase::kReading: {
      const bool is_head_late =
          !reader_->has_head() && now - phase_since_ > limits.head_time;
      if (is_head_late || now - progress_at_ > limits.idle_time)
        RefuseWith(408);
      return;
    }
    case Phase::kServing:
      if (stream_->unsent_bytes() > kMaximumUnsentBytes) {
        stream_->ResetOnClose();
        OnStreamEnd(StreamEnd::kReset);
      }
      return;
    case Phase::kClosing:
      if (now - phase_since_ > kLingerTime) RemoveSoon();
      return;
  }
}

void ServerConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle && unread_.empty()) CloseAfterSending();
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
  HeaderFields all = fields;
  if (server_.is_draining_) keeps_connection_ = false;
  if (length) {
    exchange_->framing_ = BodyFraming::kLength;
    all.push_back({"Content-Length", std::to_string(*length)});
  } else if (exchange_->head_.minor_version == 0) {
    exchange_->framing_ = BodyFraming::kUntilClose;
    keeps_connection_ = false;
  } else {
    exchange_->framing_ = BodyFraming::kChunked;
    all.push_back({"Transfer-Encoding", "chunked"});
  }
  if (!keeps_connection_) {
    all.push_back({"Connection", "close"});
  } else if (exchange_->head_.minor_version == 0) {
    all.push_back({"Connection", "keep-alive"});
  }
  stream_->Write(FormatResponseHead(status, all));
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
  stream_->SetReading(true);
  ReadBuffered();
}

void ServerConnection::Abort() {
  EndExchange();
  stream_->ResetOnClose();
  RemoveSoon();
}

// The exchange is destroyed later, since its user called this through it.
void ServerConnection::EndExchange() {
  --server_.active_exchanges_;
  server_.poller_.loop().After(
      Duration::zero(),
      [ended = std::shared_ptr<Exchange>(std::move(exchange_))] {});
}

void ServerConnection::CloseAfterSending() {
  phase_ = Phase::kClosing;
  phase_since_ = Now();
  unread_.clear();
  stream_->SetReading(true);
  stream_->ShutdownSending();
}

void ServerConnection::RemoveSoon() {
  if (is_removed_) return;
  is_removed_ = true;
  stream_->Close();
  server_.Remove(this);
}

}  // namespace lovagecleat::http
