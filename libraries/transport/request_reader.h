#pragma once

#include <libsoup/soup.h>

#include <cstddef>
#include <string>

#include "base/base.h"
#include "memory/memory.h"

// Private to the library.
namespace lovagecleat::transport {

// Reads the body of one request and holds what the request and its response
// occupy in the account of the process, as long as the message exists.
class RequestReader final : public memory::HolderObserver {
 public:
  RequestReader(SoupServerMessage* message, memory::ByteAccount& account,
                const Clock& clock, std::size_t maximum_body_bytes);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Attaches a reader to a message whose head has been read, and which destroys
  // it.
  static void Attach(SoupServerMessage* message, memory::ByteAccount& account,
                     const Clock& clock, std::size_t maximum_body_bytes);
  static RequestReader* Of(SoupServerMessage* message);

  // The request is not refused by its head.
  void Start();

  bool is_too_large() const { return received_bytes_ > maximum_body_bytes_; }

  // Returns the complete body. From now on the request is served.
  std::string TakeBody();

  // Bytes of the response wait for the client, or were sent.
  void AddUnsent(std::size_t bytes);
  void RemoveUnsent(std::size_t bytes);

  void OnRoom() override;
  void OnEvicted(memory::Eviction eviction) override;

 private:
  static void OnChunk(SoupServerMessage* message, GBytes* chunk, gpointer self);
  static void OnWritten(SoupServerMessage* message, guint bytes, gpointer self);
  void ReadChunk(GBytes* chunk);
  std::size_t CapacityFor(std::size_t bytes) const;
  // Returns whether a buffer of this size may be held.
  bool MakeRoom(std::size_t capacity);
  void Append(GBytes* chunk);
  void Refuse();

  SoupServerMessage* message_;
  const Clock& clock_;
  std::size_t maximum_body_bytes_;
  std::size_t announced_bytes_ = 0;  // 0 for a chunked body
  std::size_t received_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::string body_;
  GBytes* waiting_chunk_ = nullptr;  // read, but without room yet
  bool is_paused_ = false;
  bool is_reading_ = true;
  memory::Holder holder_;
};

}  // namespace lovagecleat::transport
