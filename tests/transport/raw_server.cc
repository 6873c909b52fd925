#include "tests/transport/raw_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <charconv>
#include <span>

namespace lovagecleat::transport {

namespace {

constexpr int kBacklog = 64;
// Below the range that the kernel takes ports from.
constexpr int kFirstTestPort = 12000;
constexpr int kTestPorts = 20000;
constexpr int kPortsPerProcess = 307;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kContentLengthPrefix = "Content-Length: ";

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::uint16_t BindToAnyPort(int descriptor) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  const int bound =
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  REQUIRE(bound == 0);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::size_t BodyLength(std::string_view head) {
  const auto at = head.find(kContentLengthPrefix);
  if (at == std::string_view::npos) return 0;
  const std::string_view digits = head.substr(at + kContentLengthPrefix.size());
  std::size_t length = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), length);
  return length;
}

}  // namespace

bool RawConnection::ReadSome() {
  std::array<char, 4096> bytes;
  const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> RawConnection::ReadRequest() {
  while (buffer_.find(kHeaderEnd) == std::string::npos)
    if (!ReadSome()) return std::nullopt;
  const std::size_t head_bytes = buffer_.find(kHeaderEnd) + kHeaderEnd.size();
  const std::string_view received = buffer_;
  const std::size_t total_bytes =
      head_bytes + BodyLength(received.substr(0, head_bytes));
  while (buffer_.size() < total_bytes)
    if (!ReadSome()) return std::nullopt;
  std::string request = buffer_.substr(0, total_bytes);
  buffer_.erase(0, total_bytes);
  return request;
}

void RawConnection::Write(std::string_view bytes) {
  send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool RawConnection::WriteUntilClosed(std::string_view bytes,
                                     std::size_t maximum) {
  constexpr std::size_t bytes_per_write = 65536;
  std::string block;
  while (block.size() < bytes_per_write) block.append(bytes);
  for (std::size_t sent = 0; sent < maximum;) {
    const ssize_t count =
        send(descriptor_, block.data(), block.size(), MSG_NOSIGNAL);
    if (count < static_cast<ssize_t>(block.size())) return true;
    sent += block.size();
  }
  return false;
}

void RawConnection::WaitForClose() {
  while (ReadSome()) buffer_.clear();
}

std::optional<std::string> RawConnection::ReadHead() {
  while (buffer_.find(kHeaderEnd) == std::string::npos)
    if (!ReadSome()) return std::nullopt;
  return buffer_.substr(0, buffer_.find(kHeaderEnd) + kHeaderEnd.size());
}

void RawConnection::ShutdownSending() { shutdown(descriptor_, SHUT_WR); }

// The server closes the descriptor later, so that its number is not used again
// while the server may still shut it down. Disconnecting sends the reset.
void RawConnection::Reset() {
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  static_cast<void>(connect(descriptor_, &unspecified, sizeof(unspecified)));
}

void RawConnection::DropIncoming() { transport::DropIncoming(descriptor_); }

void RawConnection::DropIncomingButResets() {
  transport::DropIncomingButResets(descriptor_);
}

namespace {

bool AttachFilter(int descriptor, std::span<sock_filter> filter) {
  const sock_fprog program{static_cast<std::uint16_t>(filter.size()),
                           filter.data()};
  return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof(program)) == 0;
}

}  // namespace

bool DropIncoming(int descriptor) {
  std::array filter{sock_filter{BPF_RET | BPF_K, 0, 0, 0}};
  return AttachFilter(descriptor, filter);
}

bool DropIncomingButResets(int descriptor) {
  // The filter sees a packet from its TCP header on.
  constexpr std::uint32_t flags_offset = 13;
  constexpr std::uint32_t reset_flag = 0x04;
  constexpr std::uint32_t whole_packet = 0xffffffff;
  std::array filter{
      sock_filter{BPF_LD | BPF_B | BPF_ABS, 0, 0, flags_offset},
      sock_filter{BPF_JMP | BPF_JSET | BPF_K, 0, 1, reset_flag},
      sock_filter{BPF_RET | BPF_K, 0, 0, whole_packet},
      sock_filter{BPF_RET | BPF_K, 0, 0, 0},
  };
  return AttachFilter(descriptor, filter);
}

RawServer::RawServer(Serve serve)
    : serve_(std::move(serve)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
  port_ = BindToAnyPort(listener_);
  listen(listener_, kBacklog);
  acceptor_ = std::thread([this] { Accept(); });
}

RawServer::~RawServer() {
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : descriptors_) shutdown(descriptor, SHUT_RDWR);
  }
  for (auto& thread : threads_) thread.join();
  for (const int descriptor : descriptors_) close(descriptor);
}

void RawServer::CutPath(Cut cut) {
  if (cut == Cut::kOnlyNewRefused) {
    shutdown(listener_, SHUT_RDWR);
    return;
  }
  const std::lock_guard lock(mutex_);
  if (cut == Cut::kReset)
    for (const int descriptor : descriptors_) shutdown(descriptor, SHUT_RDWR);
  for (const int descriptor : descriptors_) DropIncoming(descriptor);
  DropIncoming(listener_);
}

void RawServer::RestorePath() {
  const std::lock_guard lock(mutex_);
  const int unused = 0;
  for (const int descriptor : descriptors_)
    setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused,
               sizeof(unused));
  setsockopt(listener_, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

void RawServer::Accept() {
  while (true) {
    const int descriptor = accept(listener_, nullptr, nullptr);
    if (descriptor < 0) return;
    const std::lock_guard lock(mutex_);
    descriptors_.push_back(descriptor);
    threads_.emplace_back([this, descriptor] {
      RawConnection connection(descriptor);
      serve_(connection);
      shutdown(descriptor, SHUT_RDWR);
    });
  }
}

RawClient::RawClient(std::uint16_t port)
    : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address = LoopbackAddress(port);
  const int connected = connect(
      descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  REQUIRE(connected == 0);
}

RawClient::~RawClient() { Close(); }

void RawClient::Write(std::string_view bytes) const {
  send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RawClient::Close() {
  if (descriptor_ >= 0) close(descriptor_);
  descriptor_ = -1;
}

std::string RawClient::ReadToEnd() const {
  std::string all;
  std::array<char, 4096> bytes;
  for (ssize_t count = 1; count > 0;) {
    count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count > 0) all.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return all;
}

bool RawClient::ReadAvailable(std::string& text) const {
  std::array<char, 4096> bytes;
  while (true) {
    const ssize_t count =
        recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
    if (count == 0) return false;
    text.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

// The kernel gives ports that are bound to port 0 to other processes as well,
// as soon as they are closed. These ports are below those that it gives out,
// and each process begins at another one.
std::uint16_t UnusedPort() {
  static int next = static_cast<int>(getpid()) * kPortsPerProcess % kTestPorts;
  for (int tries = 0; tries < kTestPorts; ++tries) {
    const int port = kFirstTestPort + next;
    next = (next + 1) % kTestPorts;
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = LoopbackAddress(static_cast<std::uint16_t>(port));
    const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(descriptor);
    if (is_free) return static_cast<std::uint16_t>(port);
  }
  return 0;
}

}  // namespace lovagecleat::transport
