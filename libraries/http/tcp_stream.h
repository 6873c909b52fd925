#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "http/peer_progress.h"
#include "http/poller.h"

namespace lovagecleat::http {

enum class StreamEnd {
  kConnectFailed,  // no connection; nothing was sent
  kEndOfFile,      // the peer closed its sending half
  kReset,          // the peer reset the connection
  kPeerLost,       // the peer did not answer in time, or has no path to it
};

// Receives the events of one TcpStream. A callback may destroy the stream.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  // All bytes written so far have been passed to the kernel.
  virtual void OnDrained() {}
  virtual void OnStreamEnd(StreamEnd end) = 0;
};

// A non-blocking TCP connection. It ends when the peer acknowledges nothing for
// too long, but not while a peer that reads nothing still acknowledges.
class TcpStream final : public DescriptorObserver {
 public:
  // Takes ownership of an accepted descriptor.
  TcpStream(Poller& poller, int descriptor, StreamObserver& observer);

  // Connects to "IP:PORT"; the observer receives the outcome.
  static std::unique_ptr<TcpStream> Connect(Poller& poller,
                                            std::string_view address,
                                            StreamObserver& observer);

  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void Write(std::string_view bytes);

  // Stops or resumes reading, which applies back pressure to the sender. The
  // end of the connection is still reported while reading is stopped.
  void SetReading(bool is_reading);

  // Shuts down the sending half once all bytes are sent; the other half stays
  // open.
  void ShutdownSending();

  // Closes at once and drops unsent bytes; the observer receives no further
  // events. For users that destroy the stream only later.
  void Close();

  // Makes Close send a reset, so that the peer cannot take the bytes received
  // so far for a complete message.
  void ResetOnClose();

  // Sets whether the kernel probes the peer while the connection is idle, which
  // it does by default, and ends the connection if probes are unanswered.
  void SetKeepAlive(bool is_on);

  std::size_t unsent_bytes() const {
    return send_buffer_.size() - send_offset_;
  }
  // Returns how many of the bytes written the peer has not acknowledged;
  // nothing if the kernel does not tell. Valid until Close, also after the end
  // of the connection.
  std::optional<std::size_t> UnacknowledgedBytes() const;
  // Returns what the buffer for unsent bytes occupies.
  std::size_t buffered_bytes() const { return send_buffer_.capacity(); }
  // Returns how many bytes were passed to the kernel.
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  // Returns whether bytes of the peer, or its end of the connection, wait to be
  // read.
  bool HasUnreadBytes() const;
  // Returns whether the stream can be read or written as it waits to be.
  bool HasPendingEvents() const;
  bool is_connected() const { return state_ == State::kOpen; }

  void OnDescriptorEvents(std::uint32_t events) override;
  void OnCheck() override;

 private:
  enum class State { kConnecting, kOpen, kEnded };
  TcpStream(Poller& poller, StreamObserver& observer);
  void FinishConnecting();
  void ReadAvailable();
  void FlushUnsent();
  // Passes bytes to the kernel and returns how many it took.
  std::size_t Send(std::string_view bytes);
  StreamEnd TakeEndOfFile();
  void AppendUnsent(std::string_view bytes);
  void ReleaseBuffer();
  void CountSent(std::size_t bytes);
  void CheckPeerLater();
  void SetKernelLimit(bool is_on);
  void End(StreamEnd end);
  void UpdateEvents();

  Poller& poller_;
  StreamObserver& observer_;
  int descriptor_ = -1;
  State state_ = State::kConnecting;
  bool is_reading_ = true;
  bool is_shutting_down_ = false;
  std::uint32_t watched_events_ = 0;
  std::string send_buffer_;
  std::size_t send_offset_ = 0;
  // Set once a write has failed, which takes the error from the socket: the
  // reads after that find the connection ended in order.
  std::optional<StreamEnd> write_failure_;
  std::uint64_t sent_bytes_ = 0;
  // Bytes passed to the kernel since the peer was last known to have
  // acknowledged all.
  std::size_t unconfirmed_bytes_ = 0;
  bool is_check_due_ = false;
  // Watches the peer while the kernel's time limit is off.
  std::optional<PeerProgress> peer_progress_;
  // Set to false by the destructor; a callback may destroy this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections on one address.
class TcpListener final : public DescriptorObserver {
 public:
  using AcceptCallback = std::function<void(int descriptor)>;

  // Returns nullptr if the address cannot be bound.
  static std::unique_ptr<TcpListener> Listen(Poller& poller,
                                             std::string_view address,
                                             AcceptCallback callback);
  ~TcpListener() override;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns the bound port, for listeners on port 0.
  std::uint16_t port() const;

  void OnDescriptorEvents(std::uint32_t events) override;

 private:
  void PauseAccepting();

  TcpListener(Poller& poller, int descriptor, AcceptCallback callback);

  Poller& poller_;
  int descriptor_;
  AcceptCallback callback_;
  TimerId resume_timer_;
};

}  // namespace lovagecleat::http
