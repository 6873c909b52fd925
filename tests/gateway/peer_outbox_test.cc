#include "services/gateway/peer_outbox.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "tests/transport/loop_fixture.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;

// Longer than messages are kept and hosts that are behind wait.
constexpr auto kLongerThanRetries = milliseconds(3500);

class OutboxFixture : public transport::LoopFixture {
 public:
  using Message = messages::ServerNotices;

  void RunFor(Duration time) {
    loop().After(time, [this] { loop().Quit(); });
    loop().Run();
  }

  // Adds a notice of a server to what is known, and for the host.
  void Add(const std::string& server) {
    known.push_back(server);
    const std::vector<std::string> peers = {"b"};
    outbox.ToAll(peers, [&server](Message& message) {
      message.add_leaving()->set_server(server);
    });
  }

  // The servers in all messages that were sent.
  std::vector<std::string> Sent() const {
    std::vector<std::string> servers;
    for (const Message& message : sent)
      for (const messages::LeavingServer& server : message.leaving())
        servers.push_back(server.server());
    return servers;
  }

  bool is_reachable = true;
  bool is_connected = true;
  std::vector<std::string> known;
  std::vector<Message> sent;
  PeerOutbox<Message> outbox{
      loop(), [this](const std::string&) { return is_reachable; },
      [this](const std::string&, const Message& message) {
        if (is_connected) sent.push_back(message);
        return is_connected;
      },
      [this](Message& all) {
        for (const std::string& server : known)
          all.add_leaving()->set_server(server);
        return !known.empty();
      }};
};

TEST_CASE_METHOD(OutboxFixture, "Entries within a short time share a message") {
  Add("s1");
  Add("s2");
  RunFor(milliseconds(100));
  REQUIRE(sent.size() == 1);
  REQUIRE(Sent() == std::vector<std::string>{"s1", "s2"});
}

// Guards against notices that a host never gets: those that came while it could
// not be reached were left out.
TEST_CASE_METHOD(OutboxFixture,
                 "A host gets all that is known once it is reachable") {
  is_reachable = false;
  Add("s1");
  Add("s2");
  RunFor(milliseconds(1200));
  REQUIRE(sent.empty());
  REQUIRE(outbox.hosts_behind() == 1);
  is_reachable = true;
  RunFor(milliseconds(1200));
  REQUIRE(sent.size() == 1);
  REQUIRE(Sent() == known);
  REQUIRE(outbox.hosts_behind() == 0);
}

// Guards against notices that a host never gets: those that could not be sent
// for two seconds were dropped.
TEST_CASE_METHOD(OutboxFixture,
                 "A host gets all that is known once it is connected") {
  is_connected = false;
  Add("s1");
  RunFor(kLongerThanRetries);
  REQUIRE(outbox.hosts_behind() == 1);
  is_connected = true;
  RunFor(kLongerThanRetries);
  REQUIRE(Sent() == known);
  REQUIRE(outbox.hosts_behind() == 0);
}

// Guards against memory without bounds, and against messages too large to be
// sent, while a host cannot be sent to.
TEST_CASE_METHOD(OutboxFixture, "What waits for a host is bounded") {
  is_connected = false;
  const std::size_t count = PeerOutbox<Message>::kMaximumEntries + 10;
  for (std::size_t i = 0; i < count; ++i) Add(std::to_string(i));
  REQUIRE(outbox.hosts_behind() == 1);
  is_connected = true;
  known = {"all"};
  RunFor(milliseconds(1200));
  REQUIRE(Sent() == known);
}

TEST_CASE_METHOD(OutboxFixture, "A host that is removed is not behind") {
  is_reachable = false;
  Add("s1");
  outbox.SetPeers({"c"});
  REQUIRE(outbox.hosts_behind() == 0);
}

}  // namespace
}  // namespace lovagecleat::gateway
