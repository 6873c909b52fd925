#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <chrono>
#include <deque>
#include <string>
#include <thread>

#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::transport {
namespace {

messages::PeerMessage Message(std::string_view sender, std::uint64_t sequence) {
  messages::PeerMessage message;
  message.set_sender(std::string(sender));
  message.set_sequence(sequence);
  message.mutable_heartbeat()->set_configuration_revision(7);
  return message;
}

PeerAddress AddressOf(const char* host, std::uint16_t port) {
  return {HostId(host), "127.0.0.1:" + std::to_string(port)};
}

class Receiver {
 public:
  Receiver(Loop& loop, std::uint16_t port) : link_(loop, HostId("b")) {
    link_.OnMessage([this](const messages::PeerMessage& message) {
      sequences_.push_back(message.sequence());
    });
    REQUIRE(link_.Bind("127.0.0.1", port));
  }

  const std::vector<std::uint64_t>& sequences() const { return sequences_; }
  PeerLink& link() { return link_; }

 private:
  PeerLink link_;
  std::vector<std::uint64_t> sequences_;
};

// Sends until a message has arrived; messages are dropped until the connection
// is established.
void SendUntilArrived(LoopFixture& fixture, PeerLink& sender,
                      const Receiver& receiver) {
  std::uint64_t sequence = 0;
  fixture.RunUntil([&] {
    sender.Send(HostId("b"), Message("a", ++sequence));
    return !receiver.sequences().empty();
  });
}

TEST_CASE_METHOD(LoopFixture, "Messages arrive completely and in order") {
  const std::uint16_t port = UnusedPort();
  Receiver receiver(loop(), port);
  PeerLink sender(loop(), HostId("a"));
  sender.SetPeers(std::vector{AddressOf("b", port)});
  SendUntilArrived(*this, sender, receiver);
  const std::size_t before = receiver.sequences().size();
  // More than one batch; all arrive although no later message triggers a read.
  constexpr std::uint64_t first = 1000;
  constexpr std::uint64_t last = 1600;
  for (auto i = first; i < last; ++i)
    REQUIRE(sender.Send(HostId("b"), Message("a", i)));
  RunUntil([&] { return receiver.sequences().back() == last - 1; });
  REQUIRE(receiver.sequences().size() >= before + (last - first));
  REQUIRE(
      std::is_sorted(receiver.sequences().begin(), receiver.sequences().end()));
}

TEST_CASE_METHOD(LoopFixture, "A restarted peer is reconnected") {
  const std::uint16_t port = UnusedPort();
  PeerLink sender(loop(), HostId("a"));
  sender.SetPeers(std::vector{AddressOf("b", port)});
  {
    const Receiver receiver(loop(), port);
    SendUntilArrived(*this, sender, receiver);
  }
  RunUntil([&] { return !sender.Send(HostId("b"), Message("a", 1)); });
  const Receiver receiver(loop(), port);
  SendUntilArrived(*this, sender, receiver);
}

TEST_CASE_METHOD(LoopFixture, "Sending to a host that is not a peer fails") {
  const std::uint16_t port = UnusedPort();
  const Receiver receiver(loop(), port);
  PeerLink sender(loop(), HostId("a"));
  REQUIRE_FALSE(sender.Send(HostId("b"), Message("a", 1)));
  sender.SetPeers(std::vector{AddressOf("b", port)});
  SendUntilArrived(*this, sender, receiver);
  sender.SetPeers({});
  REQUIRE_FALSE(sender.Send(HostId("b"), Message("a", 2)));
}

TEST_CASE_METHOD(LoopFixture, "Malformed messages are dropped and counted") {
  const std::uint16_t port = UnusedPort();
  Receiver receiver(loop(), port);
  void* context = zmq_ctx_new();
  void* socket = zmq_socket(context, ZMQ_DEALER);
  const std::string endpoint = "tcp://127.0.0.1:" + std::to_string(port);
  REQUIRE(zmq_connect(socket, endpoint.c_str()) == 0);
  const std::string_view invalid = "\xff\xff\xff no message";
  zmq_send(socket, invalid.data(), invalid.size(), 0);
  zmq_send(socket, "part", 4, ZMQ_SNDMORE);
  zmq_send(socket, "part", 4, 0);
  const std::string good = Message("a", 5).SerializeAsString();
  zmq_send(socket, good.data(), good.size(), 0);
  RunUntil([&] { return !receiver.sequences().empty(); });
  REQUIRE(receiver.sequences() == std::vector<std::uint64_t>{5});
  REQUIRE(receiver.link().malformed_messages() == 2);
  zmq_close(socket);
  zmq_ctx_term(context);
}

// Guards against memory without bounds: a peer sends a message of any size.
TEST_CASE_METHOD(LoopFixture, "A message above the limit does not arrive") {
  const bool is_above = GENERATE(true, false);
  const std::uint16_t port = UnusedPort();
  Receiver receiver(loop(), port);
  void* context = zmq_ctx_new();
  void* socket = zmq_socket(context, ZMQ_DEALER);
  const int no_linger = 0;
  zmq_setsockopt(socket, ZMQ_LINGER, &no_linger, sizeof(no_linger));
  const std::string endpoint = "tcp://127.0.0.1:" + std::to_string(port);
  REQUIRE(zmq_connect(socket, endpoint.c_str()) == 0);
  auto large = Message("a", 1);
  const std::size_t overhead = 100;  // of the other fields
  large.mutable_stage_request()->set_input(std::string(
      PeerLink::kMaximumMessageBytes - (is_above ? 0 : overhead), 'x'));
  const std::string bytes = large.SerializeAsString();
  zmq_send(socket, bytes.data(), bytes.size(), 0);
  const std::string good = Message("a", 2).SerializeAsString();
  // The connection ends at the large message and is established again.
  RunUntil([&] {
    zmq_send(socket, good.data(), good.size(), ZMQ_DONTWAIT);
    return !receiver.sequences().empty() && receiver.sequences().back() == 2;
  });
  REQUIRE(receiver.sequences().front() == (is_above ? 2 : 1));
  zmq_close(socket);
  zmq_ctx_term(context);
}

TEST_CASE_METHOD(LoopFixture,
                 "The queue to a peer that does not read is bounded") {
  const std::uint16_t port = UnusedPort();
  Receiver receiver(loop(), port);
  PeerLink sender(loop(), HostId("a"));
  sender.SetPeers(std::vector{AddressOf("b", port)});
  SendUntilArrived(*this, sender, receiver);
  auto message = Message("a", 1);
  message.mutable_stage_request()->set_input(std::string(100000, 'x'));
  // The loop does not run, so the receiver reads nothing.
  constexpr int maximum_sent = 20000;
  int sent = 0;
  while (sent < maximum_sent && sender.Send(HostId("b"), message)) ++sent;
  REQUIRE(sent < maximum_sent);
  REQUIRE(sender.queued_bytes() <= PeerLink::kMaximumPeerQueueBytes);
  REQUIRE(sender.refused_messages() > 0);
  message.mutable_stage_request()->set_input(
      std::string(PeerLink::kMaximumMessageBytes, 'x'));
  REQUIRE_FALSE(sender.Send(HostId("b"), message));
  // The peer reads, and what has left the queue is not counted any more.
  RunUntil([&] { return sender.queued_bytes() == 0; });
  REQUIRE(sender.Send(HostId("b"), Message("a", 2)));
}

// Guards against memory without bounds: a thousand messages of any size were
// queued for each peer that was cut off, together hundreds of megabytes.
TEST_CASE_METHOD(LoopFixture, "The queues to all peers together are bounded") {
  constexpr std::size_t count = 12;
  std::deque<Receiver> receivers;
  std::vector<PeerAddress> peers;
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint16_t port = UnusedPort();
    receivers.emplace_back(loop(), port);
    peers.push_back(
        {HostId("b" + std::to_string(i)), "127.0.0.1:" + std::to_string(port)});
  }
  PeerLink sender(loop(), HostId("a"));
  sender.SetPeers(peers);
  for (std::size_t i = 0; i < count; ++i)
    RunUntil([&] {
      sender.Send(peers[i].host, Message("a", 1));
      return !receivers[i].sequences().empty();
    });
  auto message = Message("a", 1);
  message.mutable_stage_request()->set_input(std::string(200000, 'x'));
  // The loop does not run, so the receivers read nothing.
  constexpr int maximum_sent = 2000;
  for (const PeerAddress& peer : peers)
    for (int i = 0; i < maximum_sent; ++i)
      if (!sender.Send(peer.host, message)) break;
  // One message is always within the bound of a peer without any.
  REQUIRE(sender.queued_bytes() <= PeerLink::kMaximumQueueBytes +
                                       count * PeerLink::kMaximumMessageBytes);
  REQUIRE(sender.refused_messages() > 0);
  // What was queued for a peer that is removed is dropped.
  sender.SetPeers({});
  RunUntil([&] { return sender.queued_bytes() == 0; });
}

// Appends a frame of ZMTP 3.0 with a body of at most 255 bytes.
void AppendFrame(std::string& bytes, char flags, std::string_view body) {
  bytes += flags;
  bytes += static_cast<char>(body.size());
  bytes += body;
}

constexpr std::size_t kGreetingBytes = 64;

std::string Greeting() {
  using namespace std::string_literals;
  std::string bytes = "\xff\0\0\0\0\0\0\0\1\x7f\3\0NULL"s;
  bytes.resize(kGreetingBytes);
  return bytes;
}

// What a DEALER sends after its greeting: messages and pings.
std::string DealerFrames(int messages, int pings) {
  using namespace std::string_view_literals;
  constexpr char message_flags = 0;
  constexpr char command_flags = 4;
  std::string bytes;
  AppendFrame(bytes, command_flags, "\5READY\13Socket-Type\0\0\0\6DEALER"sv);
  const std::string message = Message("a", 1).SerializeAsString();
  for (int i = 0; i < messages; ++i) AppendFrame(bytes, message_flags, message);
  for (int i = 0; i < pings; ++i)
    AppendFrame(bytes, command_flags, "\4PING\0\x1e"sv);
  return bytes;
}

void SendAll(int descriptor, std::string_view bytes) {
  REQUIRE(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
}

// Connects as a DEALER does, sends the frames and resets the connection once
// they are with ZeroMQ.
void SendAndReset(std::uint16_t port, std::string_view frames) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0);
  SendAll(descriptor, Greeting());
  std::array<char, kGreetingBytes> greeting{};
  REQUIRE(recv(descriptor, greeting.data(), greeting.size(), MSG_WAITALL) ==
          static_cast<ssize_t>(greeting.size()));
  SendAll(descriptor, frames);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const linger reset{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(descriptor);
}

// A peer is lost while the process reads nothing and its receive queue is full.
// The process then reads on, with another peer.
void LosePeerWhileQueueIsFull(LoopFixture& fixture, int pings) {
  const std::uint16_t port = UnusedPort();
  Receiver receiver(fixture.loop(), port);
  // The loop does not run, so the receiver reads nothing.
  SendAndReset(port, DealerFrames(100, pings));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  PeerLink sender(fixture.loop(), HostId("a"));
  sender.SetPeers(std::vector{AddressOf("b", port)});
  fixture.RunUntil([&] {
    sender.Send(HostId("b"), Message("a", 2));
    return !receiver.sequences().empty() && receiver.sequences().back() == 2;
  });
}

// Guards against an assertion of ZeroMQ that ended the process when its own
// ping was due on the connection that was lost.
TEST_CASE_METHOD(LoopFixture,
                 "A peer lost while the receive queue is full ends nothing") {
  LosePeerWhileQueueIsFull(*this, 0);
}

// Guards against the same assertion at the answer to a ping that is found
// behind the messages.
TEST_CASE_METHOD(LoopFixture,
                 "A pinging peer lost while the receive queue is full ends "
                 "nothing") {
  LosePeerWhileQueueIsFull(*this, 2);
}

TEST_CASE_METHOD(LoopFixture, "A failed Bind reports its reason") {
  const std::uint16_t port = UnusedPort();
  const Receiver receiver(loop(), port);
  PeerLink other(loop(), HostId("c"));
  REQUIRE_FALSE(other.Bind("127.0.0.1", port));
  REQUIRE(other.last_error() == PeerLinkError::kAddressInUse);
  REQUIRE_FALSE(other.Bind("localhost", port));
  REQUIRE(other.last_error() == PeerLinkError::kNotAnIpAddress);
}

}  // namespace
}  // namespace lovagecleat::transport
