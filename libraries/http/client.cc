#include "http/client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/tcp_stream.h"

namespace lovagecleat::http {

namespace {

// A server in the same region answers a connection within a few milliseconds;
// a lost opening packet is sent again only after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// For servers that name no time for which they keep connections.
constexpr Duration kDefaultKeep = std::chrono::seconds(4);
// Taken off the time that a server names, so that its close does not cross a
// request of ours.
constexpr Duration kKeepMargin = std::chrono::milliseconds(1000);
// A connection used this recently is not yet closed by any server.
constexpr Duration kRecent = std::chrono::milliseconds(300);
constexpr std::size_t kIdlePerServer = 8;
// Responses to other requests that are skipped before the connection is given
// up.
constexpr int kMaximumSkipped = 4;

constexpr MessageLimits kResponseLimits{65536, std::uint64_t{64} * 1024 * 1024};

// "timeout=5, max=100"
Duration KeepTime(const ResponseHead& head) {
  const auto field = FindField(head.fields, "Keep-Alive");
  if (!field) return kDefaultKeep;
  constexpr std::string_view name = "timeout=";
  const std::size_t start = field->find(name);
  if (start == std::string_view::npos) return kDefaultKeep;
  const std::string_view digits = field->substr(start + name.size());
  int seconds = 0;
  const auto [stop, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc{}) return kDefaultKeep;
  return std::chrono::seconds(seconds) - kKeepMargin;
}

}  // namespace

// One connection to a server; carries a call or rests in the pool.
class ConnectionPool::Connection final : public StreamObserver,
                                         public MessageObserver {
 public:
  Connection(ConnectionPool& pool, const CallTarget& target)
      : pool_(pool),
        server_(target.server),
        stream_(TcpStream::Connect(pool.poller_, target.address, *this)) {
    connect_timer_ = loop().After(kConnectTimeout, [this] {
      if (!stream_->is_connected()) Fail(CallFailure::kNotConnected);
    });
  }

  ~Connection() override { loop().Cancel(connect_timer_); }

  const std::string& server() const { return server_; }

  void Start(std::string_view bytes, CallObserver& observer, PooledCall& call) {
    observer_ = &observer;
    call_ = &call;
    has_response_bytes_ = false;
    skipped_ = 0;
    BeginResponse();
    stream_->Write(bytes);
  }

  void Detach() {
    observer_ = nullptr;
    call_ = nullptr;
  }

  bool is_connected() const { return was_connected_; }

  // The object itself is destroyed later by the loop; until then it must not
  // send what it still has.
  void CloseNow() {
    *alive_ = false;
    loop().Cancel(connect_timer_);
    stream_->ResetOnClose();
    stream_->Close();
  }

  void OnConnected() override {
    was_connected_ = true;
    loop().Cancel(connect_timer_);
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
    is_head_told_ = false;
    is_skipping_ = false;
    reader_ = std::make_unique<MessageReader>(MessageReader::Role::kResponse,
                                              kResponseLimits, *this);
  }

  bool TellProgress();
  void Complete();
  void Fail(CallFailure failure);

  ConnectionPool& pool_;
  std::string server_;
  std::unique_ptr<TcpStream> stream_;
  TimerId connect_timer_;
  CallObserver* observer_ = nullptr;
  PooledCall* call_ = nullptr;
  std::unique_ptr<MessageReader> reader_;
  std::string unread_;
  std::optional<ResponseHead> head_;
  std::string body_;
  bool is_head_told_ = false;
  bool is_skipping_ = false;
  bool was_connected_ = false;
  bool was_reused_ = false;
  bool has_response_bytes_ = false;
  int skipped_ = 0;
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
    // The connection may be the caller; the loop destroys it.
    connection_->Detach();
    connection_->CloseNow();
    connection_->loop().After(
        Duration::zero(),
        [ended = std::shared_ptr<Connection>(std::move(connection_))] {});
  }

  bool was_sent() const override {
    return !connection_ || connection_->is_connected();
  }

  std::unique_ptr<Connection> Release() { return std::move(connection_); }

 private:
  std::unique_ptr<Connection> connection_;
};

void ConnectionPool::Connection::OnBytes(std::string_view bytes) {
  if (observer_ == nullptr) {
    // Nothing was asked: whatever this is, it belongs to no request.
    pool_.ForgetIdle(this);
    return;
  }
  has_response_bytes_ = true;
  unread_.append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (!unread_.empty()) {
    const std::size_t used = reader_->Feed(unread_);
    unread_.erase(0, used);
    if (reader_->error() != ParseError::kNone)
      return Fail(CallFailure::kGarbled);
    if (!TellProgress() || !*alive) return;
    if (!reader_->is_complete()) {
      if (used == 0) return;
      continue;
    }
    if (is_skipping_ || head_->status < 200) {
      if (is_skipping_ && ++skipped_ > kMaximumSkipped)
        return Fail(CallFailure::kGarbled);
      BeginResponse();
      continue;
    }
    return Complete();
  }
}

// False if the call ended.
bool ConnectionPool::Connection::TellProgress() {
  const std::shared_ptr<bool> alive = alive_;
  if (!head_) return true;
  if (!is_head_told_ && !is_skipping_ && head_->status >= 200) {
    is_skipping_ = !observer_->IsOwnResponse(*head_);
    if (is_skipping_) {
      body_.clear();
      if (reader_->framing() != BodyFraming::kUntilClose) return true;
      Fail(CallFailure::kGarbled);
      return false;
    }
    is_head_told_ = true;
    observer_->OnResponseHead(*head_);
    if (!*alive || observer_ == nullptr) return false;
  }
  if (!body_.empty() && is_head_told_) {
    const std::string body = std::exchange(body_, {});
    observer_->OnResponseBody(body);
    if (!*alive || observer_ == nullptr) return false;
  }
  return true;
}

void ConnectionPool::Connection::Complete() {
  CallObserver* observer = observer_;
  std::unique_ptr<Connection> self = call_->Release();
  // A response that came before its request was sent, or with more behind it,
  // leaves the connection in an unknown state.
  const bool is_reusable = reader_->keeps_connection() && unread_.empty() &&
                           stream_->unsent_bytes() == 0 &&
                           stream_->is_connected();
  const Duration keep = KeepTime(*head_);
  Detach();
  if (is_reusable && keep > Duration::zero()) {
    was_reused_ = true;
    pool_.KeepIdle(std::move(self), keep);
  } else {
    CloseNow();
    loop().After(Duration::zero(),
                 [ended = std::shared_ptr<Connection>(std::move(self))] {});
  }
  observer->OnResponseComplete();
}

void ConnectionPool::Connection::OnStreamEnd(StreamEnd end) {
  if (observer_ == nullptr) {
    pool_.ForgetIdle(this);
    return;
  }
  if (end == StreamEnd::kConnectFailed) return Fail(CallFailure::kNotConnected);
  const std::shared_ptr<bool> alive = alive_;
  if (end == StreamEnd::kEndOfFile && !is_skipping_ && reader_->FeedEnd()) {
    if (!TellProgress() || !*alive) return;
    return Complete();
  }
  Fail(CallFailure::kBroken);
}

void ConnectionPool::Connection::Fail(CallFailure failure) {
  if (observer_ == nullptr) return;
  CallObserver* observer = observer_;
  std::unique_ptr<Connection> self = call_->Release();
  Detach();
  CloseNow();
  const CallEnd end{failure, was_reused_ && !has_response_bytes_};
  loop().After(Duration::zero(),
               [ended = std::shared_ptr<Connection>(std::move(self))] {});
  observer->OnCallFailed(end);
}

ConnectionPool::ConnectionPool(Poller& poller) : poller_(poller) {}

ConnectionPool::~ConnectionPool() {
  idle_.clear();
  poller_.loop().RunDueTimers();
}

std::unique_ptr<Call> ConnectionPool::Start(const CallTarget& target,
                                            std::string_view bytes, Reuse reuse,
                                            CallObserver& observer) {
  std::unique_ptr<Connection> connection = TakeIdle(target.server, reuse);
  if (!connection) {
    connection = std::make_unique<Connection>(*this, target);
    ++opened_;
  }
  Connection* raw = connection.get();
  auto call = std::make_unique<PooledCall>(std::move(connection));
  raw->Start(bytes, observer, *call);
  return call;
}

std::unique_ptr<ConnectionPool::Connection> ConnectionPool::TakeIdle(
    const std::string& server, Reuse reuse) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) return nullptr;
  const TimePoint now = poller_.loop().clock().Now();
  std::vector<IdleConnection>& all = found->second;
  std::erase_if(
      all, [now](const IdleConnection& idle) { return idle.until <= now; });
  std::unique_ptr<Connection> taken;
  // The newest is the least likely to be closed by the server meanwhile.
  if (!all.empty() &&
      (reuse == Reuse::kAny || now - all.back().since <= kRecent)) {
    taken = std::move(all.back().connection);
    all.pop_back();
  }
  if (all.empty()) idle_.erase(found);
  return taken;
}

void ConnectionPool::KeepIdle(std::unique_ptr<Connection> connection,
                              Duration keep) {
  const TimePoint now = poller_.loop().clock().Now();
  std::vector<IdleConnection>& all = idle_[connection->server()];
  all.push_back({std::move(connection), now, now + keep});
  if (all.size() > kIdlePerServer) ForgetIdle(all.front().connection.get());
}

// Destroyed by the loop, since the connection itself may be the caller.
void ConnectionPool::ForgetIdle(Connection* connection) {
  const auto found = idle_.find(connection->server());
  if (found == idle_.end()) return;
  std::vector<IdleConnection>& all = found->second;
  for (auto it = all.begin(); it != all.end(); ++it) {
    if (it->connection.get() != connection) continue;
    connection->CloseNow();
    poller_.loop().After(
        Duration::zero(),
        [ended = std::shared_ptr<Connection>(std::move(it->connection))] {});
    all.erase(it);
    break;
  }
  if (all.empty()) idle_.erase(found);
}

void ConnectionPool::Drop(const std::string& server) { idle_.erase(server); }

std::size_t ConnectionPool::idle() const {
  std::size_t count = 0;
  for (const auto& [server, all] : idle_) count += all.size();
  return count;
}

}  // namespace lovagecleat::http
