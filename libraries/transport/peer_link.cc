#include "transport/peer_link.h"

#include <glib-unix.h>
#include <glib.h>
#include <zmq.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "transport/release_with.h"

namespace lovagecleat::transport {

namespace {

using std::chrono::milliseconds;

constexpr int kSendHighWaterMark = 1000;  // messages to one peer
// Messages from one peer. Once they are full, the kernel's buffers hold back
// the peer, whose own bounds apply.
constexpr int kReceiveHighWaterMark = 32;
// Memory for a queued message beside its bytes.
constexpr std::size_t kMessageOverheadBytes = 256;
// A connection is given up if the peer's kernel has acknowledged nothing for
// this long, with data on the way or, after the idle time, without.
constexpr milliseconds kAcknowledgementTimeout{3000};
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr milliseconds kReconnectInterval{100};
constexpr milliseconds kMaximumReconnectInterval{1000};
constexpr milliseconds kConnectTimeout{2000};

// Messages received in one batch before the loop runs other callbacks.
constexpr int kBatchMessages = 200;

using ContextPointer = std::unique_ptr<void, ReleaseWith<zmq_ctx_term>>;
using SocketPointer = std::unique_ptr<void, ReleaseWith<zmq_close>>;

void SetOption(void* socket, int option, int value) {
  zmq_setsockopt(socket, option, &value, sizeof(value));
}

void SetOption(void* socket, int option, milliseconds value) {
  SetOption(socket, option, static_cast<int>(value.count()));
}

// Sets the options that ROUTER and DEALER sockets share.
void SetCommonOptions(void* socket) {
  SetOption(socket, ZMQ_LINGER, 0);
  SetOption(socket, ZMQ_SNDHWM, kSendHighWaterMark);
  SetOption(socket, ZMQ_RCVHWM, kReceiveHighWaterMark);
  // ZeroMQ's own heartbeats (ZMQ_HEARTBEAT_IVL) end the process by an
  // assertion if a connection is lost while the receive queue is full, so the
  // kernel finds out whether peers can be reached.
  SetOption(socket, ZMQ_TCP_MAXRT, kAcknowledgementTimeout);
  SetOption(socket, ZMQ_TCP_KEEPALIVE, 1);
  SetOption(socket, ZMQ_TCP_KEEPALIVE_IDLE, kKeepAliveIdleSeconds);
  SetOption(socket, ZMQ_TCP_KEEPALIVE_INTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, ZMQ_TCP_KEEPALIVE_CNT, kKeepAliveProbes);
  const auto maximum_bytes =
      static_cast<std::int64_t>(PeerLink::kMaximumMessageBytes);
  zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &maximum_bytes, sizeof(maximum_bytes));
}

bool IsIpAddress(const std::string& address) {
  return g_hostname_is_ip_address(address.c_str()) != FALSE;
}

std::string Endpoint(std::string_view address_and_port) {
  return "tcp://" + std::string(address_and_port);
}

// One frame of a multipart message.
class Frame {
 public:
  Frame() { zmq_msg_init(&message_); }
  ~Frame() { zmq_msg_close(&message_); }
  Frame(const Frame&) = delete;
  Frame& operator=(const Frame&) = delete;

  bool Receive(void* socket) {
    return zmq_msg_recv(&message_, socket, ZMQ_DONTWAIT) >= 0;
  }
  bool HasMore() const { return zmq_msg_more(&message_) != 0; }
  std::size_t size() const { return zmq_msg_size(&message_); }
  const void* data() { return zmq_msg_data(&message_); }

 private:
  zmq_msg_t message_;
};

// Sizes of queued messages. The I/O thread subtracts what it has passed on.
struct QueueSizes {
  std::atomic<std::size_t> bytes = 0;  // to this peer, or to all
  std::shared_ptr<QueueSizes> all;     // null for all
};

// A message that ZeroMQ releases once it is with the kernel or dropped.
struct QueuedMessage {
  std::string bytes;
  std::shared_ptr<QueueSizes> peer;

  std::size_t size() const { return bytes.size() + kMessageOverheadBytes; }
};

void ReleaseQueued(void* /*data*/, void* hint) {
  const std::unique_ptr<QueuedMessage> message(
      static_cast<QueuedMessage*>(hint));
  message->peer->bytes -= message->size();
  message->peer->all->bytes -= message->size();
}

struct Peer {
  std::string address;
  SocketPointer socket;
  std::shared_ptr<QueueSizes> queue;
};

}  // namespace

// Each process receives on one ROUTER socket and sends on one DEALER socket for
// each peer, so that a full queue to one peer does not block the others.
class PeerLink::State {
 public:
  State(Loop& loop, HostId self)
      : loop_(loop),
        self_(std::move(self)),
        context_(zmq_ctx_new()),
        router_(zmq_socket(context_.get(), ZMQ_ROUTER)) {
    SetCommonOptions(router_.get());
    SetOption(router_.get(), ZMQ_ROUTER_MANDATORY, 1);
  }

  ~State() {
    if (watch_id_ != 0) g_source_remove(watch_id_);
    loop_.Cancel(drain_timer_);
  }

  bool Bind(std::string_view address, std::uint16_t port) {
    const std::string ip(address);
    if (!IsIpAddress(ip)) return Fail(PeerLinkError::kNotAnIpAddress);
    const std::string endpoint = Endpoint(ip + ":" + std::to_string(port));
    if (zmq_bind(router_.get(), endpoint.c_str()) != 0)
      return Fail(errno == EADDRINUSE ? PeerLinkError::kAddressInUse
                                      : PeerLinkError::kOther);
    last_error_ = PeerLinkError::kNone;
    Watch();
    return true;
  }

  PeerLinkError last_error() const { return last_error_; }
  std::uint64_t malformed_messages() const { return malformed_messages_; }
  std::size_t queued_bytes() const { return queue_->bytes; }
  std::uint64_t refused_messages() const { return refused_messages_; }

  void SetPeers(std::span<const PeerAddress> peers) {
    std::map<HostId, Peer> kept;
    for (const auto& [host, address] : peers) {
      if (host == self_) continue;
      const auto found = peers_.find(host);
      const bool is_same =
          found != peers_.end() && found->second.address == address;
      Peer peer = is_same ? std::move(found->second) : Connect(address);
      if (peer.socket) kept.insert_or_assign(host, std::move(peer));
    }
    peers_ = std::move(kept);
  }

  bool Send(const HostId& host, const messages::PeerMessage& message) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) return false;
    Peer& peer = found->second;
    auto queued = std::make_unique<QueuedMessage>(
        QueuedMessage{message.SerializeAsString(), peer.queue});
    const std::size_t size = queued->size();
    if (queued->bytes.size() > kMaximumMessageBytes || !HasRoom(peer, size)) {
      ++refused_messages_;
      return false;
    }
    zmq_msg_t frame;
    if (zmq_msg_init_data(&frame, queued->bytes.data(), queued->bytes.size(),
                          ReleaseQueued, queued.get()) != 0)
      return false;
    peer.queue->bytes += size;
    queue_->bytes += size;
    static_cast<void>(queued.release());  // ReleaseQueued deletes it
    if (zmq_msg_send(&frame, peer.socket.get(), ZMQ_DONTWAIT) >= 0) return true;
    zmq_msg_close(&frame);
    return false;
  }

  void OnMessage(MessageCallback callback) {
    on_message_ = std::move(callback);
  }

 private:
  bool Fail(PeerLinkError error) {
    last_error_ = error;
    return false;
  }

  bool HasRoom(const Peer& peer, std::size_t size) const {
    const std::size_t queued = peer.queue->bytes;
    return queued == 0 || (queued + size <= kMaximumPeerQueueBytes &&
                           queue_->bytes + size <= kMaximumQueueBytes);
  }

  // With ZMQ_IMMEDIATE nothing is queued while there is no connection, so that
  // a peer does not get outdated messages after it reconnects.
  Peer Connect(const std::string& address) {
    Peer peer;
    peer.address = address;
    peer.queue = std::make_shared<QueueSizes>();
    peer.queue->all = queue_;
    peer.socket.reset(zmq_socket(context_.get(), ZMQ_DEALER));
    void* socket = peer.socket.get();
    if (socket == nullptr) return peer;
    SetCommonOptions(socket);
    SetOption(socket, ZMQ_IMMEDIATE, 1);
    SetOption(socket, ZMQ_RECONNECT_IVL, kReconnectInterval);
    SetOption(socket, ZMQ_RECONNECT_IVL_MAX, kMaximumReconnectInterval);
    SetOption(socket, ZMQ_CONNECT_TIMEOUT, kConnectTimeout);
    if (zmq_connect(socket, Endpoint(address).c_str()) != 0)
      peer.socket.reset();
    return peer;
  }

  void Watch() {
    if (watch_id_ != 0) return;
    int descriptor = -1;
    std::size_t size = sizeof(descriptor);
    zmq_getsockopt(router_.get(), ZMQ_FD, &descriptor, &size);
    const GUnixFDSourceFunc on_readable = [](gint, GIOCondition,
                                             gpointer data) -> gboolean {
      static_cast<State*>(data)->Drain();
      return G_SOURCE_CONTINUE;
    };
    watch_id_ = g_unix_fd_add(descriptor, G_IO_IN, on_readable, this);
    ScheduleDrain();
  }

  // ZMQ_FD is edge-triggered, so all received messages must be read before the
  // loop waits on it again. After a full batch a timer continues, which lets
  // other callbacks run in between.
  void Drain() {
    for (int i = 0; i < kBatchMessages; ++i) {
      if (!IsReadable()) return;
      ReceiveMessage();
    }
    ScheduleDrain();
  }

  void ScheduleDrain() {
    loop_.Cancel(drain_timer_);
    drain_timer_ = loop_.After(Duration::zero(), [this] { Drain(); });
  }

  bool IsReadable() {
    int events = 0;
    std::size_t size = sizeof(events);
    zmq_getsockopt(router_.get(), ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
  }

  // A message consists of the sender's routing id and one payload frame.
  void ReceiveMessage() {
    Frame routing_id;
    if (!routing_id.Receive(router_.get())) return;
    if (!routing_id.HasMore()) return CountMalformed();
    Frame payload;
    if (!payload.Receive(router_.get())) return CountMalformed();
    if (payload.HasMore()) {
      DiscardRemainingFrames();
      return CountMalformed();
    }
    messages::PeerMessage message;
    const auto size = static_cast<int>(payload.size());
    if (!message.ParseFromArray(payload.data(), size)) return CountMalformed();
    if (message.sender().empty()) return CountMalformed();
    if (on_message_) on_message_(message);
  }

  void DiscardRemainingFrames() {
    Frame frame;
    while (frame.Receive(router_.get()) && frame.HasMore()) continue;
  }

  void CountMalformed() { ++malformed_messages_; }

  Loop& loop_;
  HostId self_;
  PeerLinkError last_error_ = PeerLinkError::kNone;
  std::shared_ptr<QueueSizes> queue_ = std::make_shared<QueueSizes>();
  ContextPointer context_;
  SocketPointer router_;
  std::map<HostId, Peer> peers_;
  MessageCallback on_message_;
  std::uint64_t malformed_messages_ = 0;
  std::uint64_t refused_messages_ = 0;
  guint watch_id_ = 0;
  TimerId drain_timer_;
};

PeerLink::PeerLink(Loop& loop, HostId self)
    : state_(std::make_unique<State>(loop, std::move(self))) {}

PeerLink::~PeerLink() = default;

bool PeerLink::Bind(std::string_view address, std::uint16_t port) {
  return state_->Bind(address, port);
}

PeerLinkError PeerLink::last_error() const { return state_->last_error(); }

void PeerLink::SetPeers(std::span<const PeerAddress> peers) {
  state_->SetPeers(peers);
}

bool PeerLink::Send(const HostId& host, const messages::PeerMessage& message) {
  return state_->Send(host, message);
}

void PeerLink::OnMessage(MessageCallback callback) {
  state_->OnMessage(std::move(callback));
}

std::uint64_t PeerLink::malformed_messages() const {
  return state_->malformed_messages();
}

std::size_t PeerLink::queued_bytes() const { return state_->queued_bytes(); }

std::uint64_t PeerLink::refused_messages() const {
  return state_->refused_messages();
}

}  // namespace lovagecleat::transport
