#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lovagecleat::transport {

// One accepted connection, read and written without an HTTP library.
class RawConnection {
 public:
  explicit RawConnection(int descriptor) : descriptor_(descriptor) {}

  // Differs between all connections of a server.
  int number() const { return descriptor_; }

  // Returns the next request with its body, or nothing after the client has
  // closed the connection.
  std::optional<std::string> ReadRequest();
  void Write(std::string_view bytes);
  // Repeats `bytes` until the client closes the connection. Returns false if it
  // does not within `maximum` bytes.
  bool WriteUntilClosed(std::string_view bytes, std::size_t maximum);
  // Blocks until the client closes the connection.
  void WaitForClose();
  // Returns the head of the next request and leaves its body unread.
  std::optional<std::string> ReadHead();
  // Ends the sending half in order.
  void ShutdownSending();
  // Closes the connection with a reset, whatever is unread.
  void Reset();
  // As the functions below, for this connection.
  void DropIncoming();
  void DropIncomingButResets();

 private:
  bool ReadSome();

  int descriptor_;
  std::string buffer_;
};

// A TCP server with one thread for each connection, for server behaviour that
// an HTTP library does not offer.
class RawServer {
 public:
  using Serve = std::function<void(RawConnection&)>;

  explicit RawServer(Serve serve);
  ~RawServer();

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Cuts the path to the server: its open connections are reset, go silent or
  // live on, and new ones are refused or get no answer.
  enum class Cut { kSilent, kReset, kOnlyNewRefused };
  void CutPath(Cut cut);
  // Ends a cut other than kOnlyNewRefused.
  void RestorePath();

 private:
  void Accept();

  Serve serve_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::vector<int> descriptors_;  // guarded by mutex_
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// A blocking client connection, for requests that an HTTP library does not
// send.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port);
  ~RawClient();
  void Write(std::string_view bytes) const;
  void Close();
  // Returns all bytes until the server closes the connection.
  std::string ReadToEnd() const;
  // Appends the bytes that have arrived, without blocking. Returns whether the
  // connection is still open.
  bool ReadAvailable(std::string& text) const;

 private:
  int descriptor_;
};

// Drops all packets that arrive for the socket from now on, as if its machine
// were gone. Returns whether that could be set.
bool DropIncoming(int descriptor);

// The same, except for packets that reset the connection.
bool DropIncomingButResets(int descriptor);

// Returns a port on which nothing listens.
std::uint16_t UnusedPort();

}  // namespace lovagecleat::transport
