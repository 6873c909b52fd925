#include "http/tcp_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace lovagecleat::http {

namespace {

// The connection ends when the peer does not answer for this long. Set with
// regard to the shortest time that a client waits on an unread request (1 s).
// The kernel applies the limit (TCP_USER_TIMEOUT) to bytes on their way, but
// also to those that a peer with a full receive window does not take while it
// acknowledges every probe; for such a peer, OnCheck takes over.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1500);
// The receive window of a peer takes at least this much, so that fewer bytes
// need no check.
constexpr std::size_t kLeastWindowBytes = 4096;
// Keep-alive probes detect a dead peer on an idle connection in about 3 s.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr std::size_t kReadBufferBytes = 32768;
constexpr int kListenBacklog = 512;
constexpr int kMaximumReadsPerEvent = 4;
// Bytes at the start of the send buffer that were sent are dropped once there
// are this many, and more than unsent ones.
constexpr std::size_t kCompactBytes = 65536;
// An empty send buffer of more bytes is released.
constexpr std::size_t kKeptBufferBytes = 4096;
// While memory is bounded, the kernel holds at most about twice as much for a
// connection that is not read.
constexpr int kBoundedReceiveBytes = 32768;
// How long no connection is accepted after the kernel could not do so.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

template <typename Value>
void SetOption(int descriptor, int level, int name, Value value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

// No limit if `timeout` is zero.
void SetUserTimeout(int descriptor, Duration timeout) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(milliseconds.count()));
}

void SetCommonOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetUserTimeout(descriptor, kAnswerTimeout);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

std::optional<sockaddr_in> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string ip(text.substr(0, colon));
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  std::uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto [stop, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || stop != digits.data() + digits.size())
    return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

int OpenSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

StreamEnd EndOfError(int error) {
  const bool is_reset = error == ECONNRESET || error == EPIPE;
  return is_reset ? StreamEnd::kReset : StreamEnd::kPeerLost;
}

// Returns the error that the socket has met since the last one was taken, or 0.
int TakeSocketError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

TcpStream::TcpStream(Poller& poller, StreamObserver& observer)
    : poller_(poller), observer_(observer) {}

TcpStream::TcpStream(Poller& poller, int descriptor, StreamObserver& observer)
    : poller_(poller),
      observer_(observer),
      descriptor_(descriptor),
      state_(State::kOpen) {
  SetCommonOptions(descriptor_);
  watched_events_ = EPOLLIN | EPOLLRDHUP;
  poller_.Watch(descriptor_, watched_events_, this);
}

std::unique_ptr<TcpStream> TcpStream::Connect(Poller& poller,
                                              std::string_view address,
                                              StreamObserver& observer) {
  std::unique_ptr<TcpStream> stream(new TcpStream(poller, observer));
  const std::optional<sockaddr_in> target = ParseAddress(address);
  if (target) stream->descriptor_ = OpenSocket();
  const auto fail = [&stream] {
    // Reported from the loop, since the caller does not own the stream yet.
    stream->poller_.loop().After(Duration::zero(),
                                 [raw = stream.get(), alive = stream->alive_] {
                                   if (*alive)
                                     raw->End(StreamEnd::kConnectFailed);
                                 });
  };
  if (stream->descriptor_ < 0) {
    fail();
    return stream;
  }
  SetCommonOptions(stream->descriptor_);
  const int result =
      connect(stream->descriptor_, AsSockaddr(*target), sizeof(*target));
  if (result != 0 && errno != EINPROGRESS) {
    fail();
    return stream;
  }
  stream->watched_events_ = EPOLLOUT;
  poller.Watch(stream->descriptor_, stream->watched_events_, stream.get());
  return stream;
}

TcpStream::~TcpStream() {
  *alive_ = false;
  Close();
}

void TcpStream::Close() {
  state_ = State::kEnded;
  std::string().swap(send_buffer_);
  send_offset_ = 0;
  if (descriptor_ < 0) return;
  poller_.Unwatch(descriptor_);
  close(descriptor_);
  descriptor_ = -1;
}

void TcpStream::ResetOnClose() {
  if (descriptor_ < 0) return;
  const linger abort{1, 0};
  SetOption(descriptor_, SOL_SOCKET, SO_LINGER, abort);
}

void TcpStream::SetKeepAlive(bool is_on) {
  if (descriptor_ < 0) return;
  SetOption(descriptor_, SOL_SOCKET, SO_KEEPALIVE, is_on ? 1 : 0);
}

void TcpStream::Write(std::string_view bytes) {
  if (state_ == State::kEnded) return;
  if (state_ == State::kConnecting || unsent_bytes() > 0) {
    AppendUnsent(bytes);
    return;
  }
  const std::size_t taken = Send(bytes);
  if (taken == bytes.size()) return;
  send_buffer_.assign(bytes.substr(taken));
  send_offset_ = 0;
  UpdateEvents();
}

std::size_t TcpStream::Send(std::string_view bytes) {
  const ssize_t sent =
      send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    write_failure_ = EndOfError(errno);
  const std::size_t taken = sent > 0 ? static_cast<std::size_t>(sent) : 0;
  CountSent(taken);
  return taken;
}

std::optional<std::size_t> TcpStream::UnacknowledgedBytes() const {
  int unacknowledged = 0;
  if (write_failure_ || ioctl(descriptor_, SIOCOUTQ, &unacknowledged) != 0 ||
      unacknowledged < 0)
    return std::nullopt;
  return unsent_bytes() + static_cast<std::size_t>(unacknowledged);
}

// A peer that always leaves some bytes unsent would otherwise keep all.
void TcpStream::AppendUnsent(std::string_view bytes) {
  if (send_offset_ >= kCompactBytes && send_offset_ >= unsent_bytes()) {
    send_buffer_.erase(0, send_offset_);
    send_offset_ = 0;
  }
  send_buffer_.append(bytes);
}

void TcpStream::ReleaseBuffer() {
  send_offset_ = 0;
  if (send_buffer_.capacity() > kKeptBufferBytes) {
    std::string().swap(send_buffer_);
  } else {
    send_buffer_.clear();
  }
}

bool TcpStream::HasUnreadBytes() const {
  pollfd readable{descriptor_, POLLIN, 0};
  return poll(&readable, 1, 0) > 0 && (readable.revents & POLLIN) != 0;
}

bool TcpStream::HasPendingEvents() const {
  if (descriptor_ < 0) return false;
  const auto events = static_cast<decltype(pollfd::events)>(
      watched_events_ & (EPOLLIN | EPOLLOUT));
  pollfd pending{descriptor_, events, 0};
  return poll(&pending, 1, 0) > 0 && (pending.revents & events) != 0;
}

void TcpStream::SetReading(bool is_reading) {
  if (is_reading_ == is_reading) return;
  is_reading_ = is_reading;
  UpdateEvents();
}

void TcpStream::ShutdownSending() {
  is_shutting_down_ = true;
  if (state_ == State::kOpen && unsent_bytes() == 0)
    shutdown(descriptor_, SHUT_WR);
}

void TcpStream::UpdateEvents() {
  if (state_ != State::kOpen) return;
  std::uint32_t events = EPOLLRDHUP;
  if (is_reading_) events |= EPOLLIN;
  if (unsent_bytes() > 0) events |= EPOLLOUT;
  if (events == watched_events_) return;
  watched_events_ = events;
  poller_.ChangeEvents(descriptor_, events);
}

void TcpStream::OnDescriptorEvents(std::uint32_t events) {
  const std::shared_ptr<bool> alive = alive_;
  if (state_ == State::kConnecting) {
    FinishConnecting();
    return;
  }
  if ((events & EPOLLOUT) != 0) FlushUnsent();
  if (!*alive || state_ != State::kOpen) return;
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0) return;
  if (is_reading_) return ReadAvailable();
  const bool is_broken = (events & (EPOLLHUP | EPOLLERR)) != 0;
  End(is_broken ? StreamEnd::kReset : StreamEnd::kEndOfFile);
}

void TcpStream::FinishConnecting() {
  if (TakeSocketError(descriptor_) != 0) return End(StreamEnd::kConnectFailed);
  state_ = State::kOpen;
  const std::shared_ptr<bool> alive = alive_;
  observer_.OnConnected();
  if (!*alive || state_ != State::kOpen) return;
  if (unsent_bytes() > 0) FlushUnsent();
  if (!*alive) return;
  UpdateEvents();
}

void TcpStream::FlushUnsent() {
  while (unsent_bytes() > 0) {
    const std::string_view unsent = send_buffer_;
    const std::size_t taken = Send(unsent.substr(send_offset_));
    if (taken == 0) break;
    send_offset_ += taken;
  }
  if (unsent_bytes() > 0) return;
  ReleaseBuffer();
  if (is_shutting_down_) shutdown(descriptor_, SHUT_WR);
  UpdateEvents();
  observer_.OnDrained();
}

void TcpStream::CountSent(std::size_t bytes) {
  unconfirmed_bytes_ += bytes;
  sent_bytes_ += bytes;
  if (unconfirmed_bytes_ >= kLeastWindowBytes) CheckPeerLater();
}

void TcpStream::CheckPeerLater() {
  if (is_check_due_) return;
  is_check_due_ = true;
  poller_.CheckLater(descriptor_);
}

// Runs at least twice within kAnswerTimeout of a write, which is before the
// kernel ends the connection.
void TcpStream::OnCheck() {
  is_check_due_ = false;
  if (state_ != State::kOpen) return;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return;
  const PeerState peer = PeerStateOf(info, size);
  switch (peer) {
    case PeerState::kUnknown:
      return;
    case PeerState::kCaughtUp:
      unconfirmed_bytes_ = 0;
      SetKernelLimit(true);
      return;
    case PeerState::kReceiving:
      // The kernel counts its limit from the first probe of a full window also
      // while the window opens for less than a segment, so it stays off until
      // the peer has caught up.
      break;
    case PeerState::kNotReading:
    case PeerState::kNotAnswering:
      SetKernelLimit(false);
      break;
  }
  const std::chrono::milliseconds since_answer(info.tcpi_last_ack_recv);
  if (peer_progress_ && peer_progress_->IsLost(peer, since_answer,
                                               poller_.loop().clock().Now())) {
    ResetOnClose();
    return End(StreamEnd::kPeerLost);
  }
  CheckPeerLater();
}

void TcpStream::SetKernelLimit(bool is_on) {
  if (is_on == !peer_progress_) return;
  if (is_on) {
    peer_progress_.reset();
  } else {
    peer_progress_.emplace(kAnswerTimeout);
  }
  SetUserTimeout(descriptor_, is_on ? kAnswerTimeout : Duration::zero());
}

void TcpStream::ReadAvailable() {
  const std::shared_ptr<bool> alive = alive_;
  std::array<char, kReadBufferBytes> buffer;
  for (int i = 0; i < kMaximumReadsPerEvent; ++i) {
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) return;
      return End(EndOfError(errno));
    }
    if (count == 0) return End(TakeEndOfFile());
    const auto size = static_cast<std::size_t>(count);
    observer_.OnBytes({buffer.data(), size});
    if (!*alive || state_ != State::kOpen || !is_reading_) return;
    // A short read has emptied the socket, so another recv would only return
    // EAGAIN.
    if (size < buffer.size()) return;
  }
}

// A reset that came after the end of the peer's bytes, or whose error a write
// has taken, does not fail a read.
StreamEnd TcpStream::TakeEndOfFile() {
  if (write_failure_) return *write_failure_;
  const int error = TakeSocketError(descriptor_);
  return error == 0 ? StreamEnd::kEndOfFile : EndOfError(error);
}

void TcpStream::End(StreamEnd end) {
  if (state_ == State::kEnded) return;
  state_ = State::kEnded;
  if (descriptor_ >= 0) poller_.Unwatch(descriptor_);
  observer_.OnStreamEnd(end);
}

TcpListener::TcpListener(Poller& poller, int descriptor,
                         AcceptCallback callback)
    : poller_(poller), descriptor_(descriptor), callback_(std::move(callback)) {
  poller_.Watch(descriptor_, EPOLLIN, this);
}

std::unique_ptr<TcpListener> TcpListener::Listen(Poller& poller,
                                                 std::string_view address,
                                                 AcceptCallback callback) {
  const std::optional<sockaddr_in> bind_address = ParseAddress(address);
  if (!bind_address) return nullptr;
  const int descriptor = OpenSocket();
  if (descriptor < 0) return nullptr;
  SetOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  if (poller.account().is_limited())
    SetOption(descriptor, SOL_SOCKET, SO_RCVBUF, kBoundedReceiveBytes);
  if (bind(descriptor, AsSockaddr(*bind_address), sizeof(*bind_address)) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::unique_ptr<TcpListener>(
      new TcpListener(poller, descriptor, std::move(callback)));
}

TcpListener::~TcpListener() {
  poller_.loop().Cancel(resume_timer_);
  poller_.Unwatch(descriptor_);
  close(descriptor_);
}

std::uint16_t TcpListener::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void TcpListener::OnDescriptorEvents(std::uint32_t /*events*/) {
  while (true) {
    const int accepted =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM)
        PauseAccepting();
      return;
    }
    callback_(accepted);
  }
}

// The descriptor stays readable while a connection waits, so that the loop
// would do nothing else.
void TcpListener::PauseAccepting() {
  poller_.ChangeEvents(descriptor_, 0);
  resume_timer_ = poller_.loop().After(
      kAcceptPause, [this] { poller_.ChangeEvents(descriptor_, EPOLLIN); });
}

}  // namespace lovagecleat::http
