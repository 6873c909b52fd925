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
  std::string address;  // IP address and port: "127.0.0.1:7101"

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

enum class PeerLinkError { kNone, kNotAnIpAddress, kAddressInUse, kOther };

// Exchanges messages between entry processes over ZeroMQ. Messages may be lost
// or arrive late; receivers check incarnation and sequence.
class PeerLink {
 public:
  using MessageCallback = std::function<void(const messages::PeerMessage&)>;

  static constexpr std::size_t kMaximumMessageBytes = std::size_t{1024} * 1024;

  PeerLink(Loop& loop, HostId self);
  ~PeerLink();

  bool Bind(std::string_view address, std::uint16_t port);
  PeerLinkError last_error() const;

  // Connects to new peers and disconnects those not in `peers`.
  void SetPeers(std::span<const PeerAddress> peers);

  // Returns false if the host is not a peer, its queue is full, or the message
  // exceeds kMaximumMessageBytes.
  bool Send(const HostId& host, const messages::PeerMessage& message);

  void OnMessage(MessageCallback callback);

  // Returns the number of received messages that were dropped as invalid.
  std::uint64_t malformed_messages() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
