#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/server.h"

namespace lovagecleat::http {

// Serves one client connection: reads a complete request, passes it to the
// handler, writes the response, and repeats. Private to the library.
class ServerConnection final : public StreamObserver, public MessageObserver {
 public:
  ServerConnection(Server& server, int descriptor);
  ~ServerConnection() override;

  void OnBytes(std::string_view bytes) override;
  void OnStreamEnd(StreamEnd end) override;
  void OnDrained() override;

  void OnRequestHead(RequestHead&& head) override;
  void OnMessageBody(std::string_view bytes) override;
  void OnMessageComplete() override;

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
  void StartRequest();
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
  std::unique_ptr<Exchange> exchange_;
  bool keeps_connection_ = true;
  bool is_reading_buffered_ = false;
  bool is_removed_ = false;
};

}  // namespace lovagecleat::http
