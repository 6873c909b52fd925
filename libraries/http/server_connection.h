#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/server.h"

namespace lovagecleat::http {

// Serves one client connection: reads a complete request, passes it to the
// handler, writes the response, and repeats. Private to the library.
class ServerConnection final : public StreamObserver,
                               public MessageObserver,
                               public memory::HolderObserver {
 public:
  ServerConnection(Server& server, int descriptor);
  ~ServerConnection() override;

  void OnBytes(std::string_view bytes) override;
  void OnStreamEnd(StreamEnd end) override;
  void OnDrained() override;

  void OnRequestHead(RequestHead&& head) override;
  void OnMessageBody(std::string_view bytes) override;
  void OnMessageComplete() override;

  void OnRoom() override;
  void OnEvicted(memory::Eviction eviction) override;
  bool HasUnhandledProgress() const override;

  // Returns since when the client has sent or taken nothing although it is its
  // turn; nothing while its request is served or waits for room.
  std::optional<TimePoint> WaitsForClientSince();
  // Closes at once, so that another connection can be accepted. A client cannot
  // take a response that is not sent completely for a complete one.
  void Displace();

  // Enforces the time limits and the limit on unsent bytes.
  void CheckTimeouts(TimePoint now);
  void CloseIfIdle();
  std::size_t unsent_bytes() const { return stream_->unsent_bytes(); }

  void Respond(int status, const HeaderFields& fields, std::string_view body);
  void BeginResponse(int status, const HeaderFields& fields,
                     std::optional<std::uint64_t> length);
  void SendBody(std::string_view bytes);
  void FinishResponse();
  void Abort();

 private:
  enum class Phase { kIdle, kReading, kServing, kClosing };

  void ReadBuffered();
  bool ReadStep();
  bool DispatchRequest();
  void StartRequest();
  bool MakeRoomForBody();
  bool AskForRoom(std::size_t bytes);
  void ReleaseRequest();
  void UpdateHeld();
  void NoteSentBytes();
  std::size_t MaximumUnparsedBytes() const;
  void Reject(ParseError error);
  void RejectWith(int status);
  void EndExchange();
  void CloseAfterSending();
  void CloseAndRemove();
  TimePoint Now() const;

  Server& server_;
  std::unique_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_since_;
  TimePoint progress_at_;
  // Idle limit in force when the connection was last idle.
  Duration idle_timeout_;
  std::string unparsed_;
  std::unique_ptr<MessageReader> reader_;
  RequestHead head_;
  std::string body_;
  std::optional<std::size_t> announced_bytes_;
  std::unique_ptr<Exchange> exchange_;
  // What the head and the body of the request being read or served occupy.
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  bool keeps_connection_ = true;
  bool is_reading_buffered_ = false;
  bool is_removed_ = false;
  bool waits_for_room_ = false;
  bool has_room_ = false;  // for what was read of the request
  // The next request is read once the last response was sent.
  bool waits_for_drain_ = false;
  std::size_t dropped_bytes_ = 0;      // read after a refusal
  std::uint64_t sent_bytes_seen_ = 0;  // by the last check
  TimePoint sent_at_;                  // when it saw more of them
  memory::Holder holder_;
};

}  // namespace lovagecleat::http
