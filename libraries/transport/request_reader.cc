#include "transport/request_reader.h"

#include <algorithm>
#include <utility>

#include "transport/shut_down.h"

namespace lovagecleat::transport {

namespace {

constexpr const char* kReaderKey = "lovagecleat-request-reader";
// Reads and discards up to this multiple of the limit of a body that is too
// large, so that the client can read the 413; beyond it the connection is
// closed.
constexpr std::size_t kDiscardFactor = 16;
// What the objects of a message and its connection occupy.
constexpr std::size_t kMessageBytes = 8192;
// What a field of a head occupies beside its text.
constexpr std::size_t kFieldBytes = 128;
// A body is held once more as the input of the request, and again in the calls
// to servers.
constexpr std::size_t kBodyCopies = 3;
// What the kernel may hold for a connection that is not read.
constexpr std::size_t kUnreadBytes = std::size_t{64} * 1024;

std::size_t HeadBytes(SoupServerMessage* message) {
  std::size_t bytes = 0;
  SoupMessageHeadersIter iterator;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(
      &iterator, soup_server_message_get_request_headers(message));
  while (soup_message_headers_iter_next(&iterator, &name, &value))
    bytes += std::string_view(name).size() + std::string_view(value).size() +
             kFieldBytes;
  return bytes;
}

}  // namespace

RequestReader::RequestReader(SoupServerMessage* message,
                             memory::ByteAccount& account, const Clock& clock,
                             std::size_t maximum_body_bytes)
    : message_(message),
      clock_(clock),
      maximum_body_bytes_(maximum_body_bytes),
      holder_(account, *this, 0, clock.Now()) {
  holder_.BeginRequest();
  holder_.Hold(memory::Kind::kConnections, kMessageBytes);
  holder_.Hold(memory::Kind::kHeads, HeadBytes(message));
}

void RequestReader::Attach(SoupServerMessage* message,
                           memory::ByteAccount& account, const Clock& clock,
                           std::size_t maximum_body_bytes) {
  auto* reader = new RequestReader(message, account, clock, maximum_body_bytes);
  g_object_set_data_full(
      G_OBJECT(message), kReaderKey, reader,
      [](gpointer data) { delete static_cast<RequestReader*>(data); });
  // libsoup keeps an object for each chunk, many times the size of a small one.
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunk), reader);
  g_signal_connect(message, "wrote-body-data", G_CALLBACK(OnWritten), reader);
}

RequestReader* RequestReader::Of(SoupServerMessage* message) {
  return static_cast<RequestReader*>(
      g_object_get_data(G_OBJECT(message), kReaderKey));
}

void RequestReader::Start() {
  const goffset length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(message_));
  // Longer ones are refused.
  if (length > 0 && std::cmp_less_equal(length, maximum_body_bytes_))
    announced_bytes_ = static_cast<std::size_t>(length);
  MakeRoom(announced_bytes_);
}

// The announced length is reserved at once; the buffer of a chunked body
// doubles, up to its limit.
std::size_t RequestReader::CapacityFor(std::size_t bytes) const {
  if (bytes <= body_.capacity()) return body_.capacity();
  if (announced_bytes_ > 0) return std::max(bytes, announced_bytes_);
  return std::max(bytes, std::min(2 * body_.capacity(), maximum_body_bytes_));
}

void RequestReader::OnChunk(SoupServerMessage* /*message*/, GBytes* chunk,
                            gpointer self) {
  static_cast<RequestReader*>(self)->ReadChunk(chunk);
}

void RequestReader::OnWritten(SoupServerMessage* /*message*/, guint bytes,
                              gpointer self) {
  static_cast<RequestReader*>(self)->RemoveUnsent(bytes);
}

void RequestReader::ReadChunk(GBytes* chunk) {
  holder_.OnProgress(clock_.Now());
  received_bytes_ += g_bytes_get_size(chunk);
  if (is_too_large()) {
    std::string().swap(body_);
    holder_.Hold(memory::Kind::kBodies, 0);
    if (received_bytes_ > maximum_body_bytes_ * kDiscardFactor)
      ShutDownConnection(message_);
    return;
  }
  const std::size_t needed = body_.size() + g_bytes_get_size(chunk);
  if (MakeRoom(CapacityFor(needed))) return Append(chunk);
  if (is_paused_) waiting_chunk_ = g_bytes_ref(chunk);
}

bool RequestReader::MakeRoom(std::size_t capacity) {
  const std::size_t before = holder_.held(memory::Kind::kBodies);
  const std::size_t after = std::max(kBodyCopies * capacity, before);
  const std::size_t whole =
      kBodyCopies * std::max(capacity, announced_bytes_ > 0
                                           ? announced_bytes_
                                           : maximum_body_bytes_);
  switch (holder_.Ask(after - before, std::max(whole, before) - before,
                      kUnreadBytes, clock_.Now())) {
    case memory::Answer::kGranted:
      body_.reserve(capacity);
      holder_.Hold(memory::Kind::kBodies, after);
      return true;
    case memory::Answer::kWait:
      if (!is_paused_) soup_server_message_pause(message_);
      is_paused_ = true;
      return false;
    case memory::Answer::kRefused:
      Refuse();
      return false;
  }
  return false;
}

void RequestReader::Append(GBytes* chunk) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  body_.append(data, size);
}

std::string RequestReader::TakeBody() {
  is_reading_ = false;
  holder_.EndRequest();
  holder_.SetWaitsForPeer(false, clock_.Now());
  holder_.SetEvictable(false);
  return std::exchange(body_, {});
}

void RequestReader::AddUnsent(std::size_t bytes) {
  unsent_bytes_ += bytes;
  holder_.Hold(memory::Kind::kResponses, unsent_bytes_);
  holder_.SetWaitsForPeer(unsent_bytes_ > 0, clock_.Now());
  holder_.SetEvictable(true);
}

void RequestReader::RemoveUnsent(std::size_t bytes) {
  holder_.OnProgress(clock_.Now());
  unsent_bytes_ -= std::min(bytes, unsent_bytes_);
  holder_.Hold(memory::Kind::kResponses, unsent_bytes_);
  if (!is_reading_) holder_.SetWaitsForPeer(unsent_bytes_ > 0, clock_.Now());
}

void RequestReader::OnRoom() {
  holder_.OnProgress(clock_.Now());
  GBytes* chunk = std::exchange(waiting_chunk_, nullptr);
  const std::size_t needed = chunk == nullptr
                                 ? announced_bytes_
                                 : body_.size() + g_bytes_get_size(chunk);
  if (!MakeRoom(CapacityFor(needed))) {
    waiting_chunk_ = is_paused_ ? chunk : nullptr;
    if (!is_paused_ && chunk != nullptr) g_bytes_unref(chunk);
    return;
  }
  if (chunk != nullptr) {
    Append(chunk);
    g_bytes_unref(chunk);
  }
  is_paused_ = false;
  soup_server_message_unpause(message_);
}

// A request that is being read has not run.
void RequestReader::OnEvicted(memory::Eviction /*eviction*/) {
  if (is_reading_) return Refuse();
  ShutDownConnection(message_);
  holder_.Release();
}

void RequestReader::Refuse() {
  RespondAndShutDown(message_, kNoMemory);
  g_clear_pointer(&waiting_chunk_, g_bytes_unref);
  std::string().swap(body_);
  // What still arrives is dropped.
  received_bytes_ = maximum_body_bytes_ + 1;
  holder_.Release();
  // libsoup finds the end of the connection when it reads on.
  if (std::exchange(is_paused_, false)) soup_server_message_unpause(message_);
}

}  // namespace lovagecleat::transport
