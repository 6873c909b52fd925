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

// libsoup's defaults, 10 and 2, would queue calls behind each other.
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
    std::string lower_name = name;
    std::transform(lower_name.begin(), lower_name.end(), lower_name.begin(),
                   g_ascii_tolower);
    result[std::move(lower_name)] = value;
  }
  return result;
}

// libsoup opens a new connection for every POST. "Connection: close" keeps used
// connections from accumulating in the pool.
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
                                 SanitizeHeaderValue(value).c_str());
  return message;
}

// One call, from Start until on_finished has run. Each pending libsoup callback
// holds a shared pointer to it.
class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  // Runs once at the end; the owner removes the call.
  using RemoveCallback = std::function<void()>;

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

  void Start(SoupSession* session, RemoveCallback on_remove) {
    on_remove_ = std::move(on_remove);
    message_.reset(MakeMessage(request_));
    if (!message_) {
      progress_timer_ = loop_->After(Duration::zero(), [self = Self()] {
        self->Finish(HttpFailure::kNotConnected);
      });
      return;
    }
    g_signal_connect(message_.get(), "starting", G_CALLBACK(OnStarting), this);
    RestartProgressTimer(request_.first_byte_timeout);
    if (request_.deadline)
      deadline_timer_ = loop_->At(*request_.deadline, [self = Self()] {
        self->Stop(self->is_sent_ ? HttpFailure::kDeadlineReached
                                  : HttpFailure::kNotConnected);
      });
    soup_session_send_async(session, message_.get(), G_PRIORITY_DEFAULT,
                            cancellable_.get(), OnHeaders, AddReference());
  }

  void Cancel() { Stop(HttpFailure::kCancelled); }

  // Ends the call without running its callbacks. libsoup may keep a reference
  // beyond the lifetime of the loop.
  void Detach() {
    on_finished_ = nullptr;
    on_event_ = nullptr;
    on_remove_ = nullptr;
    Cancel();
    CancelTimers();
    loop_ = nullptr;
  }

 private:
  std::shared_ptr<ClientCall> Self() { return shared_from_this(); }

  // Returns a reference for one libsoup callback; see TakeReference.
  gpointer AddReference() { return new std::shared_ptr<ClientCall>(Self()); }

  static std::shared_ptr<ClientCall> TakeReference(gpointer data) {
    const std::unique_ptr<std::shared_ptr<ClientCall>> reference(
        static_cast<std::shared_ptr<ClientCall>*>(data));
    return *reference;
  }

  // The last signal that libsoup emits before it sends the first byte: it then
  // checks the cancellable once more and writes to the connected socket on this
  // thread. The process may still be suspended or preempted between this check
  // and the system call; senders keep a margin in `send_before` for that.
  static void OnStarting(SoupMessage* /*message*/, gpointer data) {
    auto* call = static_cast<ClientCall*>(data);
    const TimePoint now = call->loop_->clock().Now();
    if (call->request_.deadline && now >= *call->request_.deadline &&
        !call->is_sent_)
      return call->Stop(HttpFailure::kNotConnected);
    if (call->request_.send_before && now >= *call->request_.send_before &&
        !call->is_sent_)
      return call->Stop(HttpFailure::kSendWindowExpired);
    call->is_sent_ = true;
    call->RestartProgressTimer(call->request_.first_byte_timeout);
  }

  static void OnHeaders(GObject* source, GAsyncResult* result, gpointer data) {
    const auto call = TakeReference(data);
    GError* error = nullptr;
    GInputStream* stream =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    const ErrorPointer owned(error);
    call->stream_.reset(stream);
    if (call->stop_reason_ != HttpFailure::kNone)
      return call->Finish(call->stop_reason_);
    if (stream == nullptr) return call->Finish(call->Classify(*error));
    call->ProcessHeaders();
  }

  HttpFailure Classify(const GError& error) const {
    if (!is_sent_) return HttpFailure::kNotConnected;
    if (g_error_matches(&error, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_PARSING))
      return HttpFailure::kInvalidResponse;
    return HttpFailure::kConnectionLost;
  }

  void ProcessHeaders() {
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

  // A plain read returns as soon as any byte is available, so that no event is
  // delayed until the next one.
  void ReadMore() {
    RestartProgressTimer(request_.progress_timeout);
    g_input_stream_read_async(stream_.get(), buffer_.data(), buffer_.size(),
                              G_PRIORITY_DEFAULT, cancellable_.get(), OnRead,
                              AddReference());
  }

  static void OnRead(GObject* /*source*/, GAsyncResult* result, gpointer data) {
    const auto call = TakeReference(data);
    GError* error = nullptr;
    const gssize count =
        g_input_stream_read_finish(call->stream_.get(), result, &error);
    const ErrorPointer owned(error);
    if (call->stop_reason_ != HttpFailure::kNone)
      return call->Finish(call->stop_reason_);
    if (count < 0) return call->Finish(HttpFailure::kConnectionLost);
    if (count == 0) return call->ProcessEnd();
    call->ProcessBytes({call->buffer_.data(), static_cast<std::size_t>(count)});
  }

  // libsoup reports no error when the connection ends before Content-Length
  // bytes.
  void ProcessEnd() {
    const bool is_short = expected_bytes_ && received_bytes_ < *expected_bytes_;
    Finish(is_short ? HttpFailure::kConnectionLost : HttpFailure::kNone);
  }

  void ProcessBytes(std::string_view bytes) {
    received_bytes_ += bytes.size();
    if (is_event_stream_) return ProcessEvents(bytes);
    if (response_.body.size() + bytes.size() > request_.maximum_body_bytes)
      return Finish(HttpFailure::kTooLarge);
    response_.body.append(bytes);
    ReadMore();
  }

  void ProcessEvents(std::string_view bytes) {
    const auto events = parser_.Feed(bytes);
    if (!events) return Finish(HttpFailure::kTooLarge);
    for (const auto& event : *events) {
      // The callback may have cancelled the call or destroyed the client.
      if (stop_reason_ != HttpFailure::kNone) return Finish(stop_reason_);
      if (on_event_) on_event_(event);
    }
    if (stop_reason_ != HttpFailure::kNone) return Finish(stop_reason_);
    ReadMore();
  }

  void RestartProgressTimer(Duration timeout) {
    loop_->Cancel(progress_timer_);
    progress_timer_ = loop_->After(timeout, [self = Self()] {
      self->Stop(self->is_sent_ ? HttpFailure::kNoProgress
                                : HttpFailure::kNotConnected);
    });
  }

  // Keeps the first reason. libsoup then aborts the pending operation and runs
  // its callback, which finishes the call.
  void Stop(HttpFailure reason) {
    if (stop_reason_ != HttpFailure::kNone) return;
    stop_reason_ = reason;
    g_cancellable_cancel(cancellable_.get());
  }

  void Finish(HttpFailure failure) {
    CancelTimers();
    CloseStream();
    response_.failure = failure;
    const auto on_remove = std::exchange(on_remove_, nullptr);
    const auto on_finished = std::exchange(on_finished_, nullptr);
    if (on_remove) on_remove();
    if (on_finished) on_finished(response_);
  }

  void CancelTimers() {
    if (loop_ == nullptr) return;
    loop_->Cancel(progress_timer_);
    loop_->Cancel(deadline_timer_);
  }

  // Closing a stream before its end closes its connection, so that the server
  // can stop sending.
  void CloseStream() {
    if (!stream_) return;
    g_input_stream_close_async(stream_.get(), G_PRIORITY_DEFAULT, nullptr,
                               nullptr, nullptr);
  }

  Loop* loop_;  // null after Detach
  HttpRequest request_;
  HttpClient::FinishedCallback on_finished_;
  HttpClient::EventCallback on_event_;
  RemoveCallback on_remove_;
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
    for (const auto& [id, call] : std::exchange(calls_, {})) call->Detach();
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
