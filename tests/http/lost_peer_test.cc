#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <optional>

#include "http/http.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

// Tests connections whose peer reads nothing or is lost.
namespace lovagecleat::http {
namespace {

using std::chrono::milliseconds;
using transport::DropIncoming;

constexpr int kSegmentBytes = 1400;
constexpr std::size_t kMoreThanFits = std::size_t{8} * 1024 * 1024;

struct EndRecorder final : StreamObserver {
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnConnected() override { is_connected = true; }
  void OnStreamEnd(StreamEnd stream_end) override { end = stream_end; }
  bool is_connected = false;
  std::optional<StreamEnd> end;
};

// Connects a stream to a socket that the test holds and does not read.
class LostPeerFixture : public transport::LoopFixture {
 public:
  LostPeerFixture() : LostPeerFixture(0) {}

  // The peer's receive buffer has that size, and its segments that of an
  // Ethernet, unless it is zero.
  explicit LostPeerFixture(int receive_bytes) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (receive_bytes > 0) {
      SetOption(SOL_SOCKET, SO_RCVBUF, receive_bytes);
      SetOption(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
    }
    REQUIRE(bind(listener_, generic, size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    getsockname(listener_, generic, &size);
    stream_ = TcpStream::Connect(
        poller_, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)),
        recorder_);
    RunUntil([&] { return recorder_.is_connected; });
    peer_ = accept(listener_, nullptr, nullptr);
  }
  ~LostPeerFixture() {
    stream_.reset();
    close(peer_);
    close(listener_);
  }

  void RunFor(Duration time) {
    RunUntil([this, until = loop().clock().Now() + time] {
      return loop().clock().Now() >= until;
    });
  }

  // Returns the time until the connection ends.
  Duration TimeToEnd() {
    const TimePoint start = loop().clock().Now();
    RunUntil([&] { return recorder_.end.has_value(); });
    return loop().clock().Now() - start;
  }

  Poller poller_{loop()};
  EndRecorder recorder_;
  std::unique_ptr<TcpStream> stream_;
  int peer_ = -1;

 private:
  void SetOption(int level, int name, int value) {
    REQUIRE(setsockopt(listener_, level, name, &value, sizeof(value)) == 0);
  }

  int listener_ = socket(AF_INET, SOCK_STREAM, 0);
};

// Guards against connections that never end: a lost peer is found out while
// bytes are on their way to it.
TEST_CASE_METHOD(LostPeerFixture, "A lost peer ends the connection") {
  const std::size_t bytes = GENERATE(std::size_t{10}, std::size_t{100'000});
  REQUIRE(DropIncoming(peer_));
  stream_->Write(std::string(bytes, 'x'));
  const Duration time = TimeToEnd();
  REQUIRE(recorder_.end == StreamEnd::kPeerLost);
  REQUIRE(time > milliseconds(1000));
  REQUIRE(time < milliseconds(3000));
}

// Guards against connections that never end: a peer with a full receive window
// is lost.
TEST_CASE_METHOD(LostPeerFixture,
                 "A lost peer that was reading nothing ends the connection") {
  stream_->Write(std::string(kMoreThanFits, 'x'));
  RunFor(milliseconds(1700));
  REQUIRE_FALSE(recorder_.end);
  REQUIRE(DropIncoming(peer_));
  // The kernel sends its probes in growing intervals.
  REQUIRE(TimeToEnd() < milliseconds(6000));
  REQUIRE(recorder_.end == StreamEnd::kPeerLost);
}

// Guards against ended connections: bytes that the kernel holds for a peer that
// reads nothing counted as unanswered.
TEST_CASE_METHOD(LostPeerFixture, "A peer may read nothing for seconds") {
  // The first fits into the kernel's buffer.
  const std::size_t bytes = GENERATE(std::size_t{1'000'000}, kMoreThanFits);
  stream_->Write(std::string(bytes, 'x'));
  RunFor(milliseconds(4000));
  REQUIRE_FALSE(recorder_.end);
}

// Guards against connections without a time limit: it was not set again after a
// peer had read nothing for a while.
TEST_CASE_METHOD(LostPeerFixture,
                 "A lost peer is found after it had read nothing for a while") {
  stream_->Write(std::string(1'000'000, 'x'));
  RunFor(milliseconds(2000));
  std::string buffer(1'000'000, '\0');
  REQUIRE(recv(peer_, buffer.data(), buffer.size(), MSG_WAITALL) == 1'000'000);
  RunFor(milliseconds(1000));
  REQUIRE(DropIncoming(peer_));
  stream_->Write("x");
  REQUIRE(TimeToEnd() < milliseconds(3000));
  REQUIRE(recorder_.end == StreamEnd::kPeerLost);
}

// Reads through a window that is hardly larger than a segment.
class SmallWindowFixture : public LostPeerFixture {
 public:
  SmallWindowFixture() : LostPeerFixture(2304) {}

  void ReadSlowly(Duration time) {
    std::array<char, 300> buffer{};
    const TimePoint end = loop().clock().Now() + time;
    while (loop().clock().Now() < end && !recorder_.end) {
      RunFor(milliseconds(100));
      recv(peer_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    }
  }
};

// Guards against ended connections: the window of a peer that reads slowly
// closed and opened for less than a segment, and the kernel's limit counted
// from its first probe.
TEST_CASE_METHOD(SmallWindowFixture,
                 "A peer may read slowly through a small window") {
  stream_->Write(std::string(1'000'000, 'x'));
  ReadSlowly(milliseconds(8000));
  REQUIRE_FALSE(recorder_.end);
}

// Guards against connections that never end: the kernel's limit is off while
// the window of a slow peer is small.
TEST_CASE_METHOD(SmallWindowFixture,
                 "A lost peer is found while it reads slowly") {
  stream_->Write(std::string(1'000'000, 'x'));
  ReadSlowly(milliseconds(3000));
  REQUIRE_FALSE(recorder_.end);
  REQUIRE(DropIncoming(peer_));
  REQUIRE(TimeToEnd() < milliseconds(6000));
  REQUIRE(recorder_.end == StreamEnd::kPeerLost);
}

tcp_info MakeInfo(std::uint32_t unacknowledged, std::uint32_t unsent,
                  std::uint8_t probes) {
  tcp_info info{};
  info.tcpi_state = 1;  // established
  info.tcpi_unacked = unacknowledged;
  info.tcpi_notsent_bytes = unsent;
  info.tcpi_probes = probes;
  return info;
}

TEST_CASE("The kernel's numbers tell what a peer does") {
  const auto state_of = [](const tcp_info& info) {
    return PeerStateOf(info, sizeof(info));
  };
  REQUIRE(state_of(MakeInfo(0, 0, 0)) == PeerState::kCaughtUp);
  REQUIRE(state_of(MakeInfo(3, 0, 0)) == PeerState::kReceiving);
  REQUIRE(state_of(MakeInfo(3, 9000, 0)) == PeerState::kReceiving);
  REQUIRE(state_of(MakeInfo(0, 9000, 0)) == PeerState::kNotReading);
  REQUIRE(state_of(MakeInfo(0, 9000, 1)) == PeerState::kNotAnswering);
  REQUIRE(state_of(tcp_info{}) == PeerState::kUnknown);
  REQUIRE(PeerStateOf(MakeInfo(0, 0, 0), 100) == PeerState::kUnknown);
}

TEST_CASE("A peer is lost when nothing is acknowledged for the limit") {
  PeerProgress progress(milliseconds(1500));
  const TimePoint start{};
  const auto is_lost = [&](PeerState state, int last_answer, int now) {
    return progress.IsLost(state, milliseconds(now - last_answer),
                           start + milliseconds(now));
  };
  REQUIRE_FALSE(is_lost(PeerState::kNotAnswering, 0, 500));
  REQUIRE_FALSE(is_lost(PeerState::kNotAnswering, 0, 1999));
  // An answer came between two unanswered probes.
  REQUIRE_FALSE(is_lost(PeerState::kNotAnswering, 2100, 2500));
  REQUIRE_FALSE(is_lost(PeerState::kNotAnswering, 2100, 3500));
  // So it counts from then, also for bytes that were on their way.
  REQUIRE_FALSE(is_lost(PeerState::kReceiving, 2100, 3599));
  // Every probe is answered, in growing intervals.
  REQUIRE_FALSE(is_lost(PeerState::kNotReading, 3600, 9000));
  REQUIRE_FALSE(is_lost(PeerState::kNotAnswering, 3600, 9500));
  REQUIRE(is_lost(PeerState::kNotAnswering, 3600, 11000));
}

}  // namespace
}  // namespace lovagecleat::http
