#include "transport/http_client.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

#include "transport/header_value.h"
#include "transport/release_with.h"

namespace lovagecleat::transport {

namespace {

// The library's defaults, 10 and 2, would queue calls behind each other.
constexpr int kMaximumConnections = 8000;
constexpr int kMaximumConnectionsPerHost = 2000;
constexpr int kIdleTimeoutSeconds = 30;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::string_view kEventStreamType = "text/event-stream";

template <typename Type>
using ObjectPointer = std::unique_ptr<Type, ReleaseWith<g_object_unref>>;
using ErrorPointer = std::unique_ptr<GError, ReleaseWith<g_error_free>>;

std::map<std::string, std::string> ReadHeaders(SoupMessageHeaders* headers) {
  std::map<std::string, std::string> result;
  SoupMessageHeadersIter iterator;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(&iterator, headers);
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), g_ascii_tolower);
    result[std::move(lower)] = value;
  }
  return result;
}

// A POST gets a connection of its own from the library in any case. Saying so
// to the server keeps used ones from piling up in the pool.
bool ClosesConnection(const HttpRequest& request) {
  return request.method == "POST" ||
         request.connection == ConnectionChoice::kFresh;
}

SoupMessage* MakeMessage(const HttpRequest& request) {
  const std::string uri = "http://" + request.address + request.path;
  SoupMessage* message = soup_message_new(request.method.c_str(), uri.c_str());
  if (message == nullptr) return nullptr;
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  if (request.connection == ConnectionChoice::kFresh)
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  auto* headers = soup_message_get_request_headers(message);
  if (!request.body.empty() || request.method == "POST") {
    GBytes* body = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message, "application/json", body);
    g_bytes_unref(body);
  }
  if (ClosesConnection(request))
    soup_message_headers_replace(headers, "Connection", "close");
  for (const auto& [name, value] : request.headers)
    soup_message_headers_replace(headers, name.c_str(),
                                 HeaderValue(value).c_str());
  return message;
}

// One call, from Start until on_finished has run. Each of the library's
// callbacks holds a shared pointer to it.
class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  // Runs once at the end; the owner forgets the call.
  using ForgetCallback = std::function<void()>;

  ClientCall(Loop& loop, HttpRequest request,
             HttpClient::FinishedCallback on_finished,
             HttpClient::EventCallback on_event)
      : loop_(&loop),
        request_(std::move(request)),
        on_finished_(std::move(on_finished)),
        on_event_(std::move(on_event)),
        parser_(request_.maximum_body_bytes),
        cancellable_(g_cancellable_new()) {}

  ~ClientCall() {
    if (message_) g_signal_handlers_disconnect_by_data(message_.get(), this);
  }

  void Start(SoupSession* session, ForgetCallback on_forget) {
    on_forget_ = std::move(on_forget);
    message_.reset(MakeMessage(request_));
    if (!message_) {
      progress_timer_ = loop_->After(Duration::zero(), [self = Self()] {
        self->Finish(HttpFailure::kNotConnected);
      });
      return;
    }
    g_signal_connect(message_.get(), "starting", G_CALLBACK(OnStarting), this);
    ArmProgress(request_.first_byte_timeout);
    if (request_.deadline)
      deadline_timer_ = loop_->At(*request_.deadline, [self = Self()] {
        self->Stop(self->is_sent_ ? HttpFailure::kDeadlineReached
                                  : HttpFailure::kNotConnected);
      });
    soup_session_send_async(session, message_.get(), G_PRIORITY_DEFAULT,
                            cancellable_.get(), OnHeaders, Hold());
  }

  void Cancel() { Stop(HttpFailure::kCancelled); }

  // Ends the call without calling back. The library may hold it for a while
  // longer than the loop lives.
  void Abandon() {
    on_finished_ = nullptr;
    on_event_ = nullptr;
    on_forget_ = nullptr;
    Cancel();
    CancelTimers();
    loop_ = nullptr;
  }

 private:
  std::shared_ptr<ClientCall> Self() { return shared_from_this(); }

  // One reference for one callback of the library; see Take.
  gpointer Hold() { return new std::shared_ptr<ClientCall>(Self()); }

  static std::shared_ptr<ClientCall> Take(gpointer data) {
    const std::unique_ptr<std::shared_ptr<ClientCall>> held(
        static_cast<std::shared_ptr<ClientCall>*>(data));
    return *held;
  }

  // The last moment that the library offers before the first byte leaves: it
  // writes to the connected socket next, on this thread, and checks the
  // cancellable once more before it does. What is left is the time between
  // this check and the system call, in which the process may still be frozen
  // or preempted; senders keep a margin in `send_before` for it.
  static void OnStarting(SoupMessage* /*message*/, gpointer data) {
    auto* call = static_cast<ClientCall*>(data);
    const TimePoint now = call->loop_->clock().Now();
    if (call->request_.deadline && now >= *call->request_.deadline &&
        !call->is_sent_)
      return call->Stop(HttpFailure::kNotConnected);
    if (call->request_.send_before && now >= *call->request_.send_before &&
        !call->is_sent_)
      return call->Stop(HttpFailure::kSendWindowOver);
    call->is_sent_ = true;
    call->ArmProgress(call->request_.first_byte_timeout);
  }

  static void OnHeaders(GObject* source, GAsyncResult* result, gpointer data) {
    const auto call = Take(data);
    GError* error = nullptr;
    GInputStream* stream =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    const ErrorPointer owned(error);
    call->stream_.reset(stream);
    if (call->stop_reason_ != HttpFailure::kNone)
      return call->Finish(call->stop_reason_);
    if (stream == nullptr) return call->Finish(call->Classify(*error));
    call->TakeHeaders();
  }

  HttpFailure Classify(const GError& error) const {
    if (!is_sent_) return HttpFailure::kNotConnected;
    if (g_error_matches(&error, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_PARSING))
      return HttpFailure::kMalformed;
    return HttpFailure::kConnectionLost;
  }

  void TakeHeaders() {
    auto* headers = soup_message_get_response_headers(message_.get());
    response_.status =
        static_cast<int>(soup_message_get_status(message_.get()));
    response_.headers = ReadHeaders(headers);
    const char* type = soup_message_headers_get_content_type(headers, nullptr);
    is_event_stream_ = on_event_ != nullptr && type != nullptr &&
                       std::string_view(type) == kEventStreamType;
    const auto length = soup_message_headers_get_content_length(headers);
    if (std::cmp_greater(length, request_.maximum_body_bytes))
      return Finish(HttpFailure::kTooLarge);
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH)
      expected_bytes_ = static_cast<std::size_t>(length);
    ReadMore();
  }

  // A plain read returns as soon as there is any byte, so that no event waits
  // for the next one.
  void ReadMore() {
    ArmProgress(request_.progress_timeout);
    g_input_stream_read_async(stream_.get(), buffer_.data(), buffer_.size(),
                              G_PRIORITY_DEFAULT, cancellable_.get(), OnRead,
                              Hold());
  }

  static void OnRead(GObject* /*source*/, GAsyncResult* result, gpointer data) {
    const auto call = Take(data);
    GError* error = nullptr;
    const gssize count =
        g_input_stream_read_finish(call->stream_.get(), result, &error);
    const ErrorPointer owned(error);
    if (call->stop_reason_ != HttpFailure::kNone)
      return call->Finish(call->stop_reason_);
    if (count < 0) return call->Finish(HttpFailure::kConnectionLost);
    if (count == 0) return call->TakeEnd();
    call->TakeBytes({call->buffer_.data(), static_cast<std::size_t>(count)});
  }

  // The library reports no error where the connection ends before the stated
  // length.
  void TakeEnd() {
    const bool is_short = expected_bytes_ && received_bytes_ < *expected_bytes_;
    Finish(is_short ? HttpFailure::kConnectionLost : HttpFailure::kNone);
  }

  void TakeBytes(std::string_view bytes) {
    received_bytes_ += bytes.size();
    if (is_event_stream_) return TakeEvents(bytes);
    if (response_.body.size() + bytes.size() > request_.maximum_body_bytes)
      return Finish(HttpFailure::kTooLarge);
    response_.body.append(bytes);
    ReadMore();
  }

  void TakeEvents(std::string_view bytes) {
    const auto events = parser_.Feed(bytes);
    if (!events) return Finish(HttpFailure::kTooLarge);
    for (const auto& event : *events) {
      // The callback may have cancelled the call, or ended the client.
      if (stop_reason_ != HttpFailure::kNone) return Finish(stop_reason_);
      if (on_event_) on_event_(event);
    }
    if (stop_reason_ != HttpFailure::kNone) return Finish(stop_reason_);
    ReadMore();
  }

  void ArmProgress(Duration bound) {
    loop_->Cancel(progress_timer_);
    progress_timer_ = loop_->After(bound, [self = Self()] {
      self->Stop(self->is_sent_ ? HttpFailure::kNoProgress
                                : HttpFailure::kNotConnected);
    });
  }

  // The first reason stands. The library then ends what it is doing and calls
  // back, which finishes the call.
  void Stop(HttpFailure reason) {
    if (stop_reason_ != HttpFailure::kNone) return;
    stop_reason_ = reason;
    g_cancellable_cancel(cancellable_.get());
  }

  void Finish(HttpFailure failure) {
    CancelTimers();
    CloseStream();
    response_.failure = failure;
    const auto on_forget = std::exchange(on_forget_, nullptr);
    const auto on_finished = std::exchange(on_finished_, nullptr);
    if (on_forget) on_forget();
    if (on_finished) on_finished(response_);
  }

  void CancelTimers() {
    if (loop_ == nullptr) return;
    loop_->Cancel(progress_timer_);
    loop_->Cancel(deadline_timer_);
  }

  // Closing a stream that has not ended closes its connection, so that the
  // server learns that nobody reads any more.
  void CloseStream() {
    if (!stream_) return;
    g_input_stream_close_async(stream_.get(), G_PRIORITY_DEFAULT, nullptr,
                               nullptr, nullptr);
  }

  Loop* loop_;  // null once abandoned
  HttpRequest request_;
  HttpClient::FinishedCallback on_finished_;
  HttpClient::EventCallback on_event_;
  ForgetCallback on_forget_;
  ServerSentEventParser parser_;
  ObjectPointer<GCancellable> cancellable_;
  ObjectPointer<SoupMessage> message_;
  ObjectPointer<GInputStream> stream_;
  TimerId progress_timer_;
  TimerId deadline_timer_;
  bool is_sent_ = false;
  bool is_event_stream_ = false;
  std::optional<std::size_t> expected_bytes_;
  std::size_t received_bytes_ = 0;
  HttpFailure stop_reason_ = HttpFailure::kNone;
  HttpResponse response_;
  std::array<char, kReadBytes> buffer_;
};

}  // namespace

class HttpClient::State {
 public:
  explicit State(Loop& loop)
      : loop_(loop),
        session_(soup_session_new_with_options(
            "max-conns", kMaximumConnections, "max-conns-per-host",
            kMaximumConnectionsPerHost, "timeout", 0, "idle-timeout",
            kIdleTimeoutSeconds, "proxy-resolver", nullptr, nullptr)) {
    soup_session_remove_feature_by_type(session_.get(), SOUP_TYPE_AUTH_MANAGER);
    soup_session_remove_feature_by_type(session_.get(),
                                        SOUP_TYPE_CONTENT_DECODER);
  }

  ~State() {
    for (const auto& [id, call] : std::exchange(calls_, {})) call->Abandon();
    soup_session_abort(session_.get());
  }

  HttpCallId Start(HttpRequest request, FinishedCallback on_finished,
                   EventCallback on_event) {
    const HttpCallId id(++last_id_);
    const auto call = std::make_shared<ClientCall>(
        loop_, std::move(request), std::move(on_finished), std::move(on_event));
    calls_.emplace(id, call);
    call->Start(session_.get(), [this, id] { calls_.erase(id); });
    return id;
  }

  void Cancel(HttpCallId id) {
    const auto found = calls_.find(id);
    if (found != calls_.end()) found->second->Cancel();
  }

  const Clock& clock() const { return loop_.clock(); }

 private:
  Loop& loop_;
  std::uint64_t last_id_ = 0;
  ObjectPointer<SoupSession> session_;
  std::unordered_map<HttpCallId, std::shared_ptr<ClientCall>> calls_;
};

HttpClient::HttpClient(Loop& loop) : state_(std::make_unique<State>(loop)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Start(HttpRequest request, FinishedCallback on_finished,
                             EventCallback on_event) {
  return state_->Start(std::move(request), std::move(on_finished),
                       std::move(on_event));
}

void HttpClient::Cancel(HttpCallId call) { state_->Cancel(call); }

const Clock& HttpClient::clock() const { return state_->clock(); }

}  // namespace lovagecleat::transport
