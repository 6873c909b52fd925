#include "http/client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/tcp_stream.h"

namespace lovagecleat::http {

namespace {

// A server in the same region accepts a connection within a few milliseconds;
// TCP retransmits a lost SYN only after one second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// A request that the server's kernel has not acknowledged at two checks in a
// row is withdrawn by a reset. Left to this kernel's own time limit, it could
// still be delivered after the caller was answered. Two checks, since at the
// first one after a pause of this machine an acknowledgement may wait to be
// processed.
constexpr Duration kAcknowledgementCheckTime = std::chrono::milliseconds(500);
// A connection that was idle for less than this has had no keep-alive probe
// that could be unanswered.
constexpr Duration kProbeFreeIdleTime = std::chrono::milliseconds(1000);
// Used for servers that send no Keep-Alive timeout.
constexpr Duration kDefaultKeepAliveTime = std::chrono::seconds(4);
// Subtracted from the timeout that a server announces, so that the server does
// not close the connection while a request is on its way.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1000);
// No server closes a connection that was used this recently.
constexpr Duration kRecentUseTime = std::chrono::milliseconds(300);
constexpr std::size_t kMaximumIdlePerServer = 8;  // and kind of call
// Time without reuse of connections to a server that sends responses for other
// calls. Faults of this kind come in series.
constexpr Duration kDistrustTime = std::chrono::seconds(10);
// Limits the interim responses, and those to other requests, that are skipped
// before the call fails.
constexpr int kMaximumSkippedResponses = 4;

constexpr std::uint32_t kMaximumHeadBytes = 65536;

// Reads the timeout of a Keep-Alive field such as "timeout=5, max=100".
Duration KeepAliveTime(const ResponseHead& head) {
  const auto field = FindField(head.fields, "Keep-Alive");
  if (!field) return kDefaultKeepAliveTime;
  constexpr std::string_view name = "timeout=";
  const std::size_t start = field->find(name);
  if (start == std::string_view::npos) return kDefaultKeepAliveTime;
  const std::string_view digits = field->substr(start + name.size());
  int seconds = 0;
  const auto [stop, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc{}) return kDefaultKeepAliveTime;
  return std::chrono::seconds(seconds) - kKeepAliveMargin;
}

CallFailure FailureOf(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
    case ParseError::kBodyTooLarge:
      return CallFailure::kResponseTooLarge;
    case ParseError::kNone:
    case ParseError::kMalformed:
      return CallFailure::kInvalidResponse;
  }
  return CallFailure::kInvalidResponse;
}

}  // namespace

// A connection to a server, either in use by a call or idle in the pool.
class ConnectionPool::Connection final : public StreamObserver,
                                         public MessageObserver {
 public:
  Connection(ConnectionPool& pool, const CallTarget& target)
      : pool_(pool),
        key_(target.server, target.kind),
        stream_(TcpStream::Connect(pool.poller_, target.address, *this)) {
    connect_timer_ = loop().After(kConnectTimeout, [this] {
      if (!stream_->is_connected()) Fail(CallFailure::kNotConnected);
    });
  }

  ~Connection() override {
    loop().Cancel(connect_timer_);
    loop().Cancel(acknowledgement_timer_);
    ReportClose(ConnectionClose::kHere);
  }

  const IdleKey& key() const { return key_; }
  const std::string& server() const { return key_.first; }
  bool is_reused() const { return was_reused_; }
  // Returns whether the server has sent something, or ended the connection,
  // that was not read yet.
  bool HasUnreadBytes() const { return stream_->HasUnreadBytes(); }

  void Start(std::string_view bytes, CallObserver& observer, PooledCall& call) {
    observer_ = &observer;
    call_ = &call;
    ++pool_.active_calls_;
    has_response_bytes_ = false;
    skipped_responses_ = 0;
    is_head_request_ = bytes.starts_with("HEAD ");
    request_bytes_ = bytes.size();
    BeginResponse();
    PauseKeepAlive();
    stream_->Write(bytes);
    if (connected_at_) CheckAcknowledgementLater(/*is_last=*/false);
  }

  void Detach() {
    loop().Cancel(acknowledgement_timer_);
    if (observer_ != nullptr) --pool_.active_calls_;
    observer_ = nullptr;
    call_ = nullptr;
  }

  std::optional<TimePoint> connected_at() const { return connected_at_; }
  std::optional<TimePoint> process_since() const { return process_since_; }

  // Tells the pool's observer of the end of the connection, once.
  void ReportClose(ConnectionClose close) {
    if (!connected_at_ || is_close_reported_) return;
    is_close_reported_ = true;
    if (pool_.connection_observer_ != nullptr)
      pool_.connection_observer_->OnConnectionClosed(server(), *process_since_,
                                                     close);
  }

  // The loop destroys this object later; until then it must not send the
  // bytes that are still buffered.
  void CloseNow() {
    *alive_ = false;
    ReportClose(ConnectionClose::kHere);
    loop().Cancel(connect_timer_);
    stream_->ResetOnClose();
    stream_->Close();
  }

  void OnConnected() override {
    connected_at_ = loop().clock().Now();
    loop().Cancel(connect_timer_);
    process_since_ =
        pool_.connection_observer_ != nullptr
            ? pool_.connection_observer_->OnConnectionOpened(server())
            : connected_at_;
    if (pool_.observer_ != nullptr) pool_.observer_->OnServerConnected();
    if (observer_ != nullptr) CheckAcknowledgementLater(/*is_last=*/false);
  }

  void OnBytes(std::string_view bytes) override;
  void OnStreamEnd(StreamEnd end) override;

  void OnResponseHead(ResponseHead&& head) override { head_ = std::move(head); }
  void OnMessageBody(std::string_view bytes) override {
    if (is_skipping_) return;
    body_.append(bytes);
  }
  void OnMessageComplete() override {}

 private:
  transport::Loop& loop() { return pool_.poller_.loop(); }

  void BeginResponse() {
    head_.reset();
    body_.clear();
    is_head_delivered_ = false;
    is_skipping_ = false;
    reader_ = std::make_unique<MessageReader>(
        is_head_request_ ? MessageReader::Role::kResponseToHead
                         : MessageReader::Role::kResponse,
        MessageLimits{kMaximumHeadBytes, observer_->maximum_body_bytes()},
        *this);
  }

  void PauseKeepAlive();
  void CheckAcknowledgementLater(bool is_last);
  void OnAcknowledged();
  bool DeliverProgress();
  void Complete();
  void Fail(CallFailure failure, bool is_server_lost = false);

  ConnectionPool& pool_;
  IdleKey key_;
  std::unique_ptr<TcpStream> stream_;
  TimerId connect_timer_;
  TimerId acknowledgement_timer_;
  std::size_t request_bytes_ = 0;
  bool is_keep_alive_paused_ = false;
  TimePoint idle_since_{};
  CallObserver* observer_ = nullptr;
  PooledCall* call_ = nullptr;
  std::unique_ptr<MessageReader> reader_;
  std::string unparsed_;
  std::optional<ResponseHead> head_;
  std::string body_;
  bool is_head_delivered_ = false;
  bool is_skipping_ = false;
  std::optional<TimePoint> connected_at_;
  std::optional<TimePoint> process_since_;
  bool is_close_reported_ = false;
  bool was_reused_ = false;
  bool has_response_bytes_ = false;
  bool is_head_request_ = false;
  int skipped_responses_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  friend class PooledCall;
  friend class ConnectionPool;
};

class ConnectionPool::PooledCall final : public Call {
 public:
  explicit PooledCall(std::unique_ptr<Connection> connection)
      : connection_(std::move(connection)) {}

  ~PooledCall() override {
    if (!connection_) return;
    // This may run inside a callback of the connection, so the loop destroys
    // the connection later.
    connection_->Detach();
    connection_->CloseNow();
    connection_->loop().DestroyLater(std::move(connection_));
  }

  bool may_have_been_sent() const override {
    return !connection_ || connection_->connected_at();
  }

  std::optional<TimePoint> connected_at() const override {
    return connection_ ? connection_->connected_at() : std::nullopt;
  }

  bool is_reused() const override {
    return connection_ && connection_->is_reused();
  }

  std::optional<TimePoint> process_since() const override {
    return connection_ ? connection_->process_since() : std::nullopt;
  }

  std::unique_ptr<Connection> Release() { return std::move(connection_); }

 private:
  std::unique_ptr<Connection> connection_;
};

void ConnectionPool::Connection::OnBytes(std::string_view bytes) {
  if (observer_ == nullptr) {
    // Bytes on an idle connection belong to no request.
    pool_.RemoveIdle(this);
    return;
  }
  if (!std::exchange(has_response_bytes_, true)) OnAcknowledged();
  if (pool_.observer_ != nullptr) pool_.observer_->OnServerBytes();
  unparsed_.append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (!unparsed_.empty()) {
    const std::size_t used = reader_->Feed(unparsed_);
    unparsed_.erase(0, used);
    if (reader_->error() != ParseError::kNone)
      return Fail(FailureOf(reader_->error()));
    if (!DeliverProgress() || !*alive) return;
    if (!reader_->is_complete()) {
      if (used == 0) return;
      continue;
    }
    if (is_skipping_ || head_->status < 200) {
      if (++skipped_responses_ > kMaximumSkippedResponses)
        return Fail(CallFailure::kResponseTooLarge);
      BeginResponse();
      continue;
    }
    return Complete();
  }
}

// Returns false if the call ended.
bool ConnectionPool::Connection::DeliverProgress() {
  const std::shared_ptr<bool> alive = alive_;
  if (!head_) return true;
  if (!is_head_delivered_ && !is_skipping_ && head_->status >= 200) {
    const ResponseOwner owner = observer_->OwnerOf(*head_, was_reused_);
    if (owner == ResponseOwner::kUnknown) {
      Fail(CallFailure::kInvalidResponse);
      return false;
    }
    is_skipping_ = owner == ResponseOwner::kOtherCall;
    if (is_skipping_) {
      body_.clear();
      if (reader_->framing() != BodyFraming::kUntilClose) return true;
      Fail(CallFailure::kInvalidResponse);
      return false;
    }
    is_head_delivered_ = true;
    observer_->OnResponseHead(*head_);
    if (!*alive || observer_ == nullptr) return false;
  }
  if (!body_.empty() && is_head_delivered_) {
    const std::string body = std::exchange(body_, {});
    observer_->OnResponseBody(body);
    if (!*alive || observer_ == nullptr) return false;
  }
  return true;
}

// The kernel would end the connection for probes that were unanswered before
// the request was sent, and sooner than the request is withdrawn.
void ConnectionPool::Connection::PauseKeepAlive() {
  if (!was_reused_ || loop().clock().Now() - idle_since_ < kProbeFreeIdleTime)
    return;
  is_keep_alive_paused_ = true;
  stream_->SetKeepAlive(false);
}

void ConnectionPool::Connection::OnAcknowledged() {
  loop().Cancel(acknowledgement_timer_);
  if (std::exchange(is_keep_alive_paused_, false)) stream_->SetKeepAlive(true);
}

void ConnectionPool::Connection::CheckAcknowledgementLater(bool is_last) {
  acknowledgement_timer_ =
      loop().After(kAcknowledgementCheckTime, [this, is_last] {
        // The server's kernel takes the first bytes even if the server itself
        // reads nothing.
        const auto unacknowledged = stream_->UnacknowledgedBytes();
        if (!unacknowledged || *unacknowledged < request_bytes_)
          return OnAcknowledged();
        if (!is_last) return CheckAcknowledgementLater(/*is_last=*/true);
        ReportClose(ConnectionClose::kLost);
        Fail(CallFailure::kConnectionLost, /*is_server_lost=*/true);
      });
}

void ConnectionPool::Connection::Complete() {
  CallObserver* observer = observer_;
  std::unique_ptr<Connection> self = call_->Release();
  // If the response arrived before the whole request was sent, or is followed
  // by further bytes, the state of the connection is unknown.
  const bool is_reusable =
      reader_->keeps_connection() && unparsed_.empty() &&
      stream_->unsent_bytes() == 0 && stream_->is_connected() &&
      observer->IsCopyHarmless() && !pool_.IsDistrusted(server());
  const Duration keep_alive_time = KeepAliveTime(*head_);
  Detach();
  if (is_reusable && keep_alive_time > Duration::zero()) {
    was_reused_ = true;
    idle_since_ = loop().clock().Now();
    pool_.AddIdle(std::move(self), keep_alive_time);
  } else {
    CloseNow();
    loop().DestroyLater(std::move(self));
  }
  observer->OnResponseComplete();
}

void ConnectionPool::Connection::OnStreamEnd(StreamEnd end) {
  const ConnectionClose close = end == StreamEnd::kPeerLost
                                    ? ConnectionClose::kLost
                                    : ConnectionClose::kServer;
  if (observer_ == nullptr) {
    ReportClose(close);
    pool_.RemoveIdle(this);
    return;
  }
  if (end == StreamEnd::kConnectFailed) return Fail(CallFailure::kNotConnected);
  const std::shared_ptr<bool> alive = alive_;
  // A server that has not got the whole request has not answered it; it may be
  // about to reset the connection.
  if (end == StreamEnd::kEndOfFile && stream_->UnacknowledgedBytes() == 0U &&
      !is_skipping_ && reader_->FeedEnd()) {
    if (!DeliverProgress() || !*alive) return;
    return Complete();
  }
  ReportClose(close);
  Fail(CallFailure::kConnectionLost, end == StreamEnd::kPeerLost);
}

void ConnectionPool::Connection::Fail(CallFailure failure,
                                      bool is_server_lost) {
  if (observer_ == nullptr) return;
  CallObserver* observer = observer_;
  std::unique_ptr<Connection> self = call_->Release();
  Detach();
  CloseNow();
  const CallEnd end{failure, was_reused_ && !has_response_bytes_,
                    is_server_lost};
  loop().DestroyLater(std::move(self));
  if (failure == CallFailure::kNotConnected && pool_.observer_ != nullptr)
    pool_.observer_->OnServerNotConnected(server());
  if (failure == CallFailure::kNotConnected &&
      pool_.connection_observer_ != nullptr)
    pool_.connection_observer_->OnConnectionFailed(server());
  observer->OnCallFailed(end);
}

ConnectionPool::ConnectionPool(Poller& poller) : poller_(poller) {}

ConnectionPool::~ConnectionPool() {
  idle_.clear();
  poller_.loop().DestroyPending();
}

std::unique_ptr<Call> ConnectionPool::Start(const CallTarget& target,
                                            std::string_view bytes, Reuse reuse,
                                            CallObserver& observer) {
  std::unique_ptr<Connection> connection =
      TakeIdle({target.server, target.kind}, reuse);
  if (!connection) {
    connection = std::make_unique<Connection>(*this, target);
    ++opened_connections_;
  }
  Connection* raw = connection.get();
  auto call = std::make_unique<PooledCall>(std::move(connection));
  raw->Start(bytes, observer, *call);
  return call;
}

std::unique_ptr<ConnectionPool::Connection> ConnectionPool::TakeIdle(
    const IdleKey& key, Reuse reuse) {
  if (reuse == Reuse::kNone) return nullptr;
  const auto found = idle_.find(key);
  if (found == idle_.end()) return nullptr;
  const TimePoint now = poller_.loop().clock().Now();
  std::vector<IdleConnection>& connections = found->second;
  std::erase_if(connections, [now](const IdleConnection& idle) {
    return idle.expires_at <= now;
  });
  std::unique_ptr<Connection> taken;
  // The server is least likely to have closed the most recently used one.
  while (!taken && !connections.empty() &&
         (reuse == Reuse::kAny ||
          now - connections.back().idle_since <= kRecentUseTime)) {
    taken = std::move(connections.back().connection);
    connections.pop_back();
    // What waits to be read belongs to no call.
    if (taken->HasUnreadBytes()) {
      taken->ReportClose(ConnectionClose::kServer);
      taken.reset();
    }
  }
  if (connections.empty()) idle_.erase(found);
  return taken;
}

void ConnectionPool::AddIdle(std::unique_ptr<Connection> connection,
                             Duration keep_alive_time) {
  const TimePoint now = poller_.loop().clock().Now();
  std::vector<IdleConnection>& connections = idle_[connection->key()];
  connections.push_back({std::move(connection), now, now + keep_alive_time});
  if (connections.size() > kMaximumIdlePerServer)
    RemoveIdle(connections.front().connection.get());
}

// The loop destroys the connection later, since the connection itself may
// be the caller.
void ConnectionPool::RemoveIdle(Connection* connection) {
  const auto found = idle_.find(connection->key());
  if (found == idle_.end()) return;
  std::vector<IdleConnection>& connections = found->second;
  for (auto it = connections.begin(); it != connections.end(); ++it) {
    if (it->connection.get() != connection) continue;
    connection->CloseNow();
    poller_.loop().DestroyLater(std::move(it->connection));
    connections.erase(it);
    break;
  }
  if (connections.empty()) idle_.erase(found);
}

void ConnectionPool::CloseIdleConnections(const std::string& server) {
  auto it = idle_.lower_bound({server, ""});
  while (it != idle_.end() && it->first.first == server) it = idle_.erase(it);
}

void ConnectionPool::DistrustConnections(const std::string& server) {
  CloseIdleConnections(server);
  const TimePoint now = poller_.loop().clock().Now();
  std::erase_if(distrusted_until_,
                [now](const auto& entry) { return entry.second <= now; });
  distrusted_until_[server] = now + kDistrustTime;
}

bool ConnectionPool::IsDistrusted(const std::string& server) {
  const auto found = distrusted_until_.find(server);
  if (found == distrusted_until_.end()) return false;
  if (found->second > poller_.loop().clock().Now()) return true;
  distrusted_until_.erase(found);
  return false;
}

std::size_t ConnectionPool::idle_connections() const {
  std::size_t count = 0;
  for (const auto& [key, connections] : idle_) count += connections.size();
  return count;
}

}  // namespace lovagecleat::http
