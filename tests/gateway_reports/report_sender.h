#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {

// Stands for one more host, of any version, that sends reports to the hosts of
// a fixture. Create it once they have started.
class ReportSender {
 public:
  ReportSender(GatewayFixture& fixture, std::size_t hosts)
      : link_(fixture.loop(), HostId("sender")),
        address_("127.0.0.1:" + std::to_string(transport::UnusedPort())) {
    std::vector<transport::PeerAddress> peers;
    for (std::size_t i = 0; i < hosts; ++i) {
      const std::string name =
          i == 0 ? "host" : "host-" + std::to_string(i + 1);
      const auto row =
          nlohmann::json::parse(fixture.rows.Find("hosts", name)->value);
      peers.push_back({HostId(name), row.at("peers").get<std::string>()});
      hosts_.emplace_back(name);
    }
    link_.SetPeers(peers);
    fixture.RunFor(kConnectTime);
  }

  // Sends the reports to all hosts and waits until they have read them.
  void Send(GatewayFixture& fixture, const messages::ContentReports& reports) {
    messages::PeerMessage message;
    message.set_sender(address_);
    *message.mutable_content_reports() = reports;
    for (const HostId& host : hosts_) REQUIRE(link_.Send(host, message));
    fixture.RunFor(kReadTime);
  }

 private:
  static constexpr Duration kConnectTime = std::chrono::milliseconds(300);
  static constexpr Duration kReadTime = std::chrono::milliseconds(200);

  transport::PeerLink link_;
  std::string address_;
  std::vector<HostId> hosts_;
};

}  // namespace lovagecleat::gateway
