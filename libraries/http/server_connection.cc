#include "http/server_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

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
// The next request is not read while more of the last response is unsent.
constexpr std::size_t kMaximumUnsentBeforeNext = std::size_t{64} * 1024;
// What the objects of a connection occupy.
constexpr std::size_t kConnectionBytes = 4096;
// What the kernel may hold for a connection that is not read; see
// kBoundedReceiveBytes in tcp_stream.cc.
constexpr std::size_t kUnreadBytes = std::size_t{64} * 1024;
// A body is held once more while it is written to a server or another host.
constexpr std::size_t kBodyCopies = 2;
// A buffer of more bytes is released when it is empty.
constexpr std::size_t kKeptBufferBytes = 4096;
constexpr const char* kRetryAfterSeconds = "1";
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

// Returns what a string has allocated.
std::size_t AllocatedBytes(const std::string& text) {
  static const std::size_t own_capacity = std::string().capacity();
  return text.capacity() > own_capacity ? text.capacity() : 0;
}

// Returns what a head occupies, which is many times its length if its fields
// are short.
std::size_t AllocatedBytes(const RequestHead& head) {
  std::size_t bytes = AllocatedBytes(head.target) +
                      head.fields.capacity() * sizeof(HeaderField);
  for (const HeaderField& field : head.fields)
    bytes += AllocatedBytes(field.name) + AllocatedBytes(field.value);
  return bytes;
}

// Returns the length that a head announces; the parser checks the field.
std::optional<std::size_t> AnnouncedBytes(const RequestHead& head) {
  const auto field = FindField(head.fields, "Content-Length");
  if (!field) return std::nullopt;
  std::size_t length = 0;
  const auto [end, error] =
      std::from_chars(field->data(), field->data() + field->size(), length);
  if (error != std::errc{}) return std::nullopt;
  return length;
}

// Returns 0 if the share of a client address is not bounded.
std::uint32_t AddressOf(int descriptor, const memory::ByteAccount& account) {
  if (account.limits().address_share >= account.limits().total) return 0;
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohl(address.sin_addr.s_addr);
}

}  // namespace

ServerConnection::ServerConnection(Server& server, int descriptor)
    : server_(server),
      stream_(std::make_unique<TcpStream>(server.poller_, descriptor, *this)),
      phase_since_(Now()),
      progress_at_(Now()),
      idle_timeout_(server.limits_.idle_timeout),
      holder_(server.poller_.account(), *this,
              AddressOf(descriptor, server.poller_.account()), progress_at_) {
  UpdateHeld();
}

ServerConnection::~ServerConnection() = default;

TimePoint ServerConnection::Now() const {
  return server_.poller_.loop().clock().Now();
}

void ServerConnection::OnBytes(std::string_view bytes) {
  progress_at_ = Now();
  holder_.OnProgress(progress_at_);
  if (phase_ == Phase::kClosing) {
    // A client may send on for a while before it reads the refusal.
    dropped_bytes_ += bytes.size();
    const MessageLimits& limits = server_.limits_.message;
    if (dropped_bytes_ > limits.body_bytes + limits.header_bytes)
      CloseAndRemove();
    return;
  }
  unparsed_.append(bytes);
  if (phase_ != Phase::kServing) return ReadBuffered();
  if (unparsed_.size() > MaximumUnparsedBytes()) stream_->SetReading(false);
  UpdateHeld();
}

std::size_t ServerConnection::MaximumUnparsedBytes() const {
  const memory::ByteAccount& account = server_.poller_.account();
  return account.is_limited() ? account.limits().connection_share
                              : kMaximumUnparsedBytes;
}

void ServerConnection::StartRequest() {
  phase_ = Phase::kReading;
  phase_since_ = Now();
  ReleaseRequest();
  holder_.BeginRequest();
  reader_ = std::make_unique<MessageReader>(MessageReader::Role::kRequest,
                                            server_.limits_.message, *this);
}

// The handler may respond before it returns; the loop below then reads the next
// request, rather than a nested call of this function.
void ServerConnection::ReadBuffered() {
  if (is_reading_buffered_) return;
  is_reading_buffered_ = true;
  while (ReadStep()) {
  }
  is_reading_buffered_ = false;
  if (unparsed_.empty() && unparsed_.capacity() > kKeptBufferBytes)
    std::string().swap(unparsed_);
  UpdateHeld();
}

// Returns whether there may be more to do.
bool ServerConnection::ReadStep() {
  if (is_removed_ || waits_for_drain_) return false;
  if (phase_ == Phase::kIdle) {
    if (unparsed_.empty()) return false;
    // HTTP/1.1 allows an empty line before a request.
    if (unparsed_.starts_with("\r\n")) {
      unparsed_.erase(0, 2);
      return true;
    }
    StartRequest();
  }
  if (phase_ != Phase::kReading) return false;
  if (reader_->is_complete()) return DispatchRequest();
  if (unparsed_.empty() || !MakeRoomForBody()) return false;
  const std::size_t used = reader_->Feed(unparsed_);
  unparsed_.erase(0, used);
  if (reader_->error() != ParseError::kNone) {
    Reject(reader_->error());
    return false;
  }
  return reader_->is_complete() && DispatchRequest();
}

bool ServerConnection::DispatchRequest() {
  if (!has_room_ && !AskForRoom(0)) return false;
  holder_.EndRequest();
  keeps_connection_ = reader_->keeps_connection();
  phase_ = Phase::kServing;
  ++server_.active_exchanges_;
  exchange_ = std::make_unique<Exchange>(*this, std::move(head_),
                                         std::move(body_), phase_since_);
  body_ = {};
  server_.handler_.OnExchange(*exchange_);
  return true;
}

// Reserves the announced length at once. The buffer of a chunked body doubles,
// up to its limit.
bool ServerConnection::MakeRoomForBody() {
  if (!reader_->has_head()) return true;
  const std::size_t limit = server_.limits_.message.body_bytes;
  const std::size_t needed =
      announced_bytes_.value_or(body_.size() + unparsed_.size());
  if (needed <= body_.capacity()) return has_room_ || AskForRoom(0);
  const std::size_t capacity =
      announced_bytes_
          ? needed
          : std::max(needed, std::min(2 * body_.capacity(), limit));
  if (!AskForRoom(kBodyCopies * (capacity - body_.capacity()))) return false;
  if (!server_.poller_.account().is_limited()) return true;
  // body_.reserve might allocate twice what it holds.
  std::string larger;
  larger.reserve(capacity);
  larger.append(body_);
  body_.swap(larger);
  return true;
}

// If there is no room, the connection is not read, or refuses the request.
bool ServerConnection::AskForRoom(std::size_t bytes) {
  UpdateHeld();
  const std::size_t body_limit =
      std::min(announced_bytes_.value_or(server_.limits_.message.body_bytes),
               server_.limits_.message.body_bytes);
  const std::size_t most =
      reader_->is_complete()
          ? 0
          : kBodyCopies *
                (std::max(body_limit, body_.capacity()) - body_.capacity());
  switch (holder_.Ask(bytes, most, kUnreadBytes, Now())) {
    case memory::Answer::kGranted:
      has_room_ = true;
      return true;
    case memory::Answer::kWait:
      waits_for_room_ = true;
      stream_->SetReading(false);
      return false;
    case memory::Answer::kRefused:
      RejectWith(503);
      return false;
  }
  return false;
}

void ServerConnection::OnRoom() {
  waits_for_room_ = false;
  progress_at_ = Now();
  holder_.OnProgress(progress_at_);
  stream_->SetReading(true);
  ReadBuffered();
}

// A request that is being read has not run.
void ServerConnection::OnEvicted(memory::Eviction /*eviction*/) {
  waits_for_room_ = false;
  if (phase_ == Phase::kReading) return RejectWith(503);
  stream_->ResetOnClose();
  OnStreamEnd(StreamEnd::kReset);
}

std::optional<TimePoint> ServerConnection::WaitsForClientSince() {
  if (phase_ == Phase::kServing || waits_for_room_) return std::nullopt;
  NoteSentBytes();
  return std::max(progress_at_, sent_at_);
}

bool ServerConnection::HasUnhandledProgress() const {
  return stream_->HasPendingEvents();
}

void ServerConnection::Displace() {
  if (stream_->unsent_bytes() > 0) stream_->ResetOnClose();
  CloseAndRemove();
}

void ServerConnection::ReleaseRequest() {
  head_ = {};
  std::string().swap(body_);
  announced_bytes_.reset();
  has_room_ = false;
  head_bytes_ = 0;
  body_bytes_ = 0;
}

void ServerConnection::UpdateHeld() {
  if (is_removed_) return;
  if (phase_ == Phase::kReading) body_bytes_ = AllocatedBytes(body_);
  holder_.Hold(memory::Kind::kConnections, kConnectionBytes);
  holder_.Hold(memory::Kind::kHeads, head_bytes_ + AllocatedBytes(unparsed_));
  holder_.Hold(memory::Kind::kBodies, kBodyCopies * body_bytes_);
  holder_.Hold(memory::Kind::kResponses, stream_->buffered_bytes());
  NoteSentBytes();
  holder_.SetWaitsForPeer(
      phase_ != Phase::kServing || stream_->unsent_bytes() > 0, Now());
  holder_.SetEvictable(phase_ != Phase::kServing || exchange_ == nullptr ||
                       exchange_->has_begun_);
}

void ServerConnection::OnRequestHead(RequestHead&& head) {
  head_ = std::move(head);
  head_bytes_ = AllocatedBytes(head_);
  announced_bytes_ = AnnouncedBytes(head_);
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
  HeaderFields fields{{"Content-Length", "0"}, {"Connection", "close"}};
  if (status == 503) fields.push_back({"Retry-After", kRetryAfterSeconds});
  stream_->Write(FormatResponseHead(status, fields));
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

void ServerConnection::NoteSentBytes() {
  if (stream_->sent_bytes() == sent_bytes_seen_) return;
  sent_bytes_seen_ = stream_->sent_bytes();
  sent_at_ = Now();
  holder_.OnProgress(sent_at_);
}

// The client can act on the response from now on.
void ServerConnection::OnDrained() {
  progress_at_ = Now();
  if (phase_ == Phase::kClosing) phase_since_ = progress_at_;
  NoteSentBytes();
  if (waits_for_drain_) {
    waits_for_drain_ = false;
    stream_->SetReading(true);
    ReadBuffered();
  }
  UpdateHeld();
}

void ServerConnection::CheckTimeouts(TimePoint now) {
  const ServerLimits& limits = server_.limits_;
  // A client may still go by the higher limit that its connection became idle
  // under.
  const Duration idle_timeout = std::max(idle_timeout_, limits.idle_timeout);
  const bool is_sending = stream_->unsent_bytes() > 0;
  if (is_sending) NoteSentBytes();
  switch (phase_) {
    case Phase::kIdle:
      // A request may have arrived while the process did not run.
      if (!is_sending && now - progress_at_ > idle_timeout &&
          !stream_->HasUnreadBytes())
        CloseAndRemove();
      return;
    case Phase::kReading: {
      if (waits_for_room_) return;
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
  UpdateHeld();
}

void ServerConnection::SendBody(std::string_view bytes) {
  if (bytes.empty() || exchange_->head_.method == "HEAD") return;
  if (exchange_->framing_ == BodyFraming::kChunked) {
    stream_->Write(ChunkHead(bytes.size()).append(bytes).append("\r\n"));
  } else {
    stream_->Write(bytes);
  }
  UpdateHeld();
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
  waits_for_drain_ = stream_->unsent_bytes() > kMaximumUnsentBeforeNext;
  stream_->SetReading(!waits_for_drain_);
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
  ReleaseRequest();
}

void ServerConnection::CloseAfterSending() {
  phase_ = Phase::kClosing;
  phase_since_ = Now();
  std::string().swap(unparsed_);
  ReleaseRequest();
  holder_.EndRequest();
  waits_for_drain_ = false;
  stream_->SetReading(true);
  stream_->ShutdownSending();
  UpdateHeld();
}

void ServerConnection::CloseAndRemove() {
  if (is_removed_) return;
  is_removed_ = true;
  stream_->Close();
  ReleaseRequest();
  std::string().swap(unparsed_);
  holder_.Release();
  server_.Remove(this);
}

}  // namespace lovagecleat::http
