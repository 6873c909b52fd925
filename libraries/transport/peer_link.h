#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/base.h"
#include "messages/messages.h"
#include "transport/loop.h"

namespace lovagecleat::transport {

struct PeerAddress {
  HostId host;
  std::string address;  // "127.0.0.1:7101", an IP number

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

enum class PeerLinkError { kNone, kNotAnIpNumber, kAddressInUse, kOther };

// Messages between entry processes over ZeroMQ. Delivery is not guaranteed and
// messages may arrive late; receivers check incarnation and sequence.
class PeerLink {
 public:
  using MessageCallback = std::function<void(const messages::PeerMessage&)>;

  static constexpr std::size_t kMaximumMessageBytes = std::size_t{1024} * 1024;

  PeerLink(Loop& loop, HostId self);
  ~PeerLink();

  bool Bind(std::string_view address, std::uint16_t port);
  PeerLinkError last_error() const;

  // Connects to new peers and drops those no longer named.
  void SetPeers(std::span<const PeerAddress> peers);

  // False where there is no such peer or its queue is full.
  bool Send(const HostId& host, const messages::PeerMessage& message);

  void OnMessage(MessageCallback callback);

  // Received messages that were dropped since they could not be read.
  std::uint64_t malformed_messages() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
