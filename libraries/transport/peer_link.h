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

  // Bounds on messages that are queued but not yet with the kernel. A message
  // to a peer without any is always within them.
  static constexpr std::size_t kMaximumPeerQueueBytes =
      std::size_t{2} * 1024 * 1024;
  static constexpr std::size_t kMaximumQueueBytes =
      std::size_t{16} * 1024 * 1024;

  PeerLink(Loop& loop, HostId self);
  ~PeerLink();

  bool Bind(std::string_view address, std::uint16_t port);
  PeerLinkError last_error() const;

  // Connects to new peers and disconnects those not in `peers`.
  void SetPeers(std::span<const PeerAddress> peers);

  // Returns false if the host is not a peer or not connected, its queue or that
  // of all peers together is full, or the message exceeds kMaximumMessageBytes.
  bool Send(const HostId& host, const messages::PeerMessage& message);

  void OnMessage(MessageCallback callback);

  // Returns the number of received messages that were dropped as invalid.
  std::uint64_t malformed_messages() const;

  // Returns the size of all messages that are queued.
  std::size_t queued_bytes() const;
  // Returns the number of messages that were refused because a queue was full
  // or they were too large.
  std::uint64_t refused_messages() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
