#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "http/poller.h"

namespace lovagecleat::http {

enum class StreamEnd {
  kConnectFailed,  // nothing was sent
  kEndOfFile,      // the other side closed its sending half
  kReset,          // the connection broke
};

// Told of what happens on one TcpStream. The stream may be destroyed from
// within any of these calls.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  // All bytes written so far are with the kernel.
  virtual void OnDrained() {}
  virtual void OnStreamEnd(StreamEnd end) = 0;
};

// One non-blocking TCP connection. The kernel gives it up when sent data stays
// unacknowledged for the time limit, so that a silent peer is noticed.
class TcpStream final : public DescriptorObserver {
 public:
  // Takes over an accepted descriptor.
  TcpStream(Poller& poller, int descriptor, StreamObserver& observer);

  // Connects to "IP:PORT"; the outcome is told to the observer.
  static std::unique_ptr<TcpStream> Connect(Poller& poller,
                                            std::string_view address,
                                            StreamObserver& observer);

  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void Write(std::string_view bytes);

  // Stops or resumes reading, which pushes back on the sender. The end of the
  // connection is still told while reading is stopped.
  void SetReading(bool is_reading);

  // Ends the sending half once all is sent; the other half stays open.
  void ShutdownSending();

  // Closes at once and drops what was not sent; the observer is told nothing
  // more. For users that destroy the stream only later.
  void Close();

  // Makes closing send a reset, so that the other side cannot take what it got
  // for a whole message.
  void ResetOnClose();

  std::size_t unsent_bytes() const { return unsent_.size() - sent_; }
  bool is_connected() const { return state_ == State::kOpen; }

  void OnDescriptorEvents(std::uint32_t events) override;

 private:
  enum class State { kConnecting, kOpen, kEnded };
  TcpStream(Poller& poller, StreamObserver& observer);
  void FinishConnecting();
  void ReadAvailable();
  void FlushUnsent();
  void End(StreamEnd end);
  void UpdateEvents();

  Poller& poller_;
  StreamObserver& observer_;
  int descriptor_ = -1;
  State state_ = State::kConnecting;
  bool is_reading_ = true;
  bool is_shutting_down_ = false;
  std::uint32_t watched_events_ = 0;
  std::string unsent_;
  std::size_t sent_ = 0;
  // Cleared by the destructor; a callback may destroy this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections on one address.
class TcpListener final : public DescriptorObserver {
 public:
  using AcceptCallback = std::function<void(int descriptor)>;

  // Nothing if the address cannot be bound.
  static std::unique_ptr<TcpListener> Listen(Poller& poller,
                                             std::string_view address,
                                             AcceptCallback callback);
  ~TcpListener() override;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // The bound port, for listeners on port 0.
  std::uint16_t port() const;

  void OnDescriptorEvents(std::uint32_t events) override;

 private:
  TcpListener(Poller& poller, int descriptor, AcceptCallback callback);

  Poller& poller_;
  int descriptor_;
  AcceptCallback callback_;
};

}  // namespace lovagecleat::http
