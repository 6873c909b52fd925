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

// One accepted connection, read and written without any HTTP library.
class RawConnection {
 public:
  explicit RawConnection(int descriptor) : descriptor_(descriptor) {}

  // The next request with its body; nothing once the peer has closed.
  std::optional<std::string> ReadRequest();
  void Write(std::string_view bytes);
  // Returns when the peer has closed.
  void WaitForEnd();

 private:
  bool ReadSome();

  int descriptor_;
  std::string buffer_;
};

// A TCP server on a thread of its own, for what a library would not do.
class RawServer {
 public:
  using Serve = std::function<void(RawConnection&)>;

  explicit RawServer(Serve serve);
  ~RawServer();

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept();

  Serve serve_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::vector<int> open_;  // guarded by mutex_
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// A blocking client connection, for requests that a library would not send.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port);
  ~RawClient();
  void Write(std::string_view bytes) const;
  void Close();
  // All bytes until the server closes.
  std::string ReadToEnd() const;

 private:
  int descriptor_;
};

// A port on which nothing listens.
std::uint16_t UnusedPort();

}  // namespace lovagecleat::transport
