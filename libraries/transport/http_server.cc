#include "transport/http_server.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "transport/header_value.h"
#include "transport/http_problems.h"
#include "transport/http_routes.h"
#include "transport/release_with.h"
#include "transport/request_reader.h"
#include "transport/shut_down.h"

namespace lovagecleat::transport {

namespace {

constexpr std::size_t kSeparatorBytes = 4;  // ": " and CR LF
constexpr int kListenBacklog = 1024;
// While memory is bounded, the kernel holds at most about twice as much for a
// connection that is not read.
constexpr int kBoundedReceiveBytes = 32768;
// How often waits for memory are checked.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);
// A connection on which nothing has come for this long may be closed for a new
// one.
constexpr Duration kDisplaceableIdleTime = std::chrono::seconds(1);

// A body announced with more than this multiple of its limit is not read and
// discarded, so that the client may not get the 413.
constexpr std::size_t kDiscardFactor = 16;

template <typename Type>
using ObjectPointer = std::unique_ptr<Type, ReleaseWith<g_object_unref>>;

void RespondProblem(SoupServerMessage* message, const BuiltInProblem& problem) {
  const std::string body = ProblemBody(problem);
  soup_server_message_set_status(message, problem.status, nullptr);
  soup_server_message_set_response(message, kProblemContentType,
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  auto* headers = soup_server_message_get_response_headers(message);
  if (problem.status == kTooManyCalls.status)
    soup_message_headers_replace(headers, "Retry-After", kRetryAfterSeconds);
}

std::size_t HeaderBytes(SoupServerMessage* message) {
  std::size_t total = 0;
  SoupMessageHeadersIter iterator;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(
      &iterator, soup_server_message_get_request_headers(message));
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    total += std::string_view(name).size() + std::string_view(value).size();
    total += kSeparatorBytes;
  }
  return total;
}

constexpr const char* kConnectionNumberKey = "lovagecleat-connection";

// Numbers connections from 1. The number is stored with the socket; 0 if there
// is none.
std::uint64_t ConnectionNumber(SoupServerMessage* message) {
  static std::uint64_t last_number = 0;
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return 0;
  GObject* object = G_OBJECT(socket);
  gpointer number = g_object_get_data(object, kConnectionNumberKey);
  if (number == nullptr) {
    number = GSIZE_TO_POINTER(++last_number);
    g_object_set_data(object, kConnectionNumberKey, number);
  }
  return GPOINTER_TO_SIZE(number);
}

class SoupCall final : public HttpServerCall {
 public:
  explicit SoupCall(SoupServerMessage* message)
      : message_(SOUP_SERVER_MESSAGE(g_object_ref(message))),
        method_(soup_server_message_get_method(message)),
        path_(g_uri_get_path(soup_server_message_get_uri(message))),
        reader_(*RequestReader::Of(message)),
        body_(reader_.TakeBody()),
        connection_(ConnectionNumber(message)) {
    SetNoDelay();
    WatchPeer();
    soup_server_message_pause(message);
  }

  ~SoupCall() override { StopWatching(); }

  const std::string& method() const override { return method_; }
  const std::string& path() const override { return path_; }
  const std::string& body() const override { return body_; }
  std::uint64_t connection() const override { return connection_; }

  std::string Header(std::string_view name) const override {
    const char* value = soup_message_headers_get_list(
        soup_server_message_get_request_headers(message_.get()),
        std::string(name).c_str());
    return value == nullptr ? std::string() : std::string(value);
  }

  std::string QueryParameter(std::string_view name) const override {
    GUri* uri = soup_server_message_get_uri(message_.get());
    const char* query = g_uri_get_query(uri);
    if (query == nullptr) return {};
    GHashTable* form = soup_form_decode(query);
    const auto* value = static_cast<const char*>(
        g_hash_table_lookup(form, std::string(name).c_str()));
    std::string text = value == nullptr ? std::string() : std::string(value);
    g_hash_table_unref(form);
    return text;
  }

  void Respond(int status, std::string_view content_type, std::string_view body,
               const std::map<std::string, std::string>& headers) override {
    if (progress_ != Progress::kWaiting) return;
    progress_ = Progress::kResponded;
    soup_server_message_set_status(message_.get(), status, nullptr);
    SetHeaders(headers);
    const std::string type(content_type);
    soup_server_message_set_response(
        message_.get(), type.empty() ? nullptr : type.c_str(), SOUP_MEMORY_COPY,
        body.data(), body.size());
    reader_.AddUnsent(body.size());
    soup_server_message_unpause(message_.get());
  }

  void StartStream(const std::map<std::string, std::string>& headers) override {
    if (progress_ != Progress::kWaiting) return;
    progress_ = Progress::kStreaming;
    soup_server_message_set_status(message_.get(), SOUP_STATUS_OK, nullptr);
    SetHeaders(headers);
    auto* response = soup_server_message_get_response_headers(message_.get());
    soup_message_headers_replace(response, "Content-Type", "text/event-stream");
    soup_message_headers_replace(response, "Cache-Control", "no-cache");
    soup_message_headers_set_encoding(response, SOUP_ENCODING_CHUNKED);
    // Frees chunks once written, so that memory use of a long stream is
    // bounded.
    soup_message_body_set_accumulate(ResponseBody(), FALSE);
    soup_server_message_unpause(message_.get());
  }

  void WriteEvent(const ServerSentEvent& event) override {
    if (progress_ != Progress::kStreaming) return;
    const std::string text = FormatServerSentEvent(event);
    soup_message_body_append(ResponseBody(), SOUP_MEMORY_COPY, text.data(),
                             text.size());
    reader_.AddUnsent(text.size());
    soup_server_message_unpause(message_.get());
  }

  void EndStream() override {
    if (progress_ != Progress::kStreaming) return;
    progress_ = Progress::kResponded;
    soup_message_body_complete(ResponseBody());
    soup_server_message_unpause(message_.get());
  }

  void Abort() override {
    if (progress_ == Progress::kClosed) return;
    on_disconnected_ = nullptr;
    Disconnect();
  }

  void OnDisconnected(std::function<void()> callback) override {
    if (progress_ == Progress::kClosed) return;
    on_disconnected_ = std::move(callback);
  }

  // Called when libsoup has finished the message, complete or not.
  void Finish() {
    StopWatching();
    const Progress previous = std::exchange(progress_, Progress::kClosed);
    const auto callback = std::exchange(on_disconnected_, nullptr);
    if (previous == Progress::kResponded || previous == Progress::kClosed)
      return;
    if (callback) callback();
  }

  // Shuts the connection down; libsoup then detects it and cleans up.
  void Disconnect() {
    StopWatching();
    progress_ = Progress::kClosed;
    ShutDownConnection(message_.get());
    if (soup_server_message_get_status(message_.get()) == 0)
      soup_server_message_set_status(
          message_.get(), SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    soup_message_body_complete(ResponseBody());
    soup_server_message_unpause(message_.get());
  }

 private:
  enum class Progress { kWaiting, kStreaming, kResponded, kClosed };

  void SetNoDelay() {
    GSocket* socket = soup_server_message_get_socket(message_.get());
    if (socket == nullptr) return;
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  }

  // libsoup does not read while a message is paused, so the end of the client's
  // stream is watched here. POLLRDHUP distinguishes it from further requests
  // waiting in the socket. A client that closes only its sending side counts as
  // disconnected too.
  void WatchPeer() {
    GSocket* socket = soup_server_message_get_socket(message_.get());
    if (socket == nullptr) return;
    watch_ = g_socket_create_source(
        socket, static_cast<GIOCondition>(POLLRDHUP), nullptr);
    const GSocketSourceFunc on_hang_up = [](GSocket*, GIOCondition,
                                            gpointer data) -> gboolean {
      static_cast<SoupCall*>(data)->OnHangUp();
      return G_SOURCE_REMOVE;
    };
    g_source_set_callback(watch_, G_SOURCE_FUNC(on_hang_up), this, nullptr);
    g_source_attach(watch_, nullptr);
  }

  void StopWatching() {
    if (watch_ == nullptr) return;
    g_source_destroy(watch_);
    g_source_unref(watch_);
    watch_ = nullptr;
  }

  void OnHangUp() {
    if (progress_ == Progress::kResponded) return;
    const auto callback = std::exchange(on_disconnected_, nullptr);
    Disconnect();
    if (callback) callback();
  }

  void SetHeaders(const std::map<std::string, std::string>& headers) {
    auto* response = soup_server_message_get_response_headers(message_.get());
    for (const auto& [name, value] : headers)
      soup_message_headers_replace(response, name.c_str(),
                                   SanitizeHeaderValue(value).c_str());
  }

  SoupMessageBody* ResponseBody() {
    return soup_server_message_get_response_body(message_.get());
  }

  ObjectPointer<SoupServerMessage> message_;
  std::string method_;
  std::string path_;
  // Destroyed with the message.
  RequestReader& reader_;
  std::string body_;
  std::uint64_t connection_ = 0;
  Progress progress_ = Progress::kWaiting;
  GSource* watch_ = nullptr;
  std::function<void()> on_disconnected_;
};

}  // namespace

class HttpServer::State {
 public:
  State(Loop& loop, const HttpServerLimits& limits)
      : loop_(loop),
        limits_(limits),
        account_([this] { RunAccountSoon(); }),
        server_(soup_server_new("server-header", "lovagecleat", nullptr)) {
    account_.SetLimits(limits.memory);
    if (account_.is_limited()) Sweep();
    g_signal_connect(server_.get(), "request-started",
                     G_CALLBACK(OnRequestStarted), this);
    soup_server_add_early_handler(server_.get(), nullptr, OnHeaders, this,
                                  nullptr);
    soup_server_add_handler(server_.get(), nullptr, OnRequest, this, nullptr);
  }

  ~State() {
    soup_server_remove_handler(server_.get(), nullptr);
    for (const auto& [message, call] : calls_) {
      g_signal_handlers_disconnect_by_data(message, this);
      call->Abort();
    }
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    for (const auto& [socket, connection] : connections_)
      g_object_weak_unref(G_OBJECT(socket), OnSocketGone, this);
    soup_server_disconnect(server_.get());
    loop_.Cancel(sweep_timer_);
    loop_.Cancel(run_timer_);
  }

  void Route(std::string_view method, std::string_view path, Handler handler) {
    routes_.Add(method, path, std::move(handler));
  }

  // Creates the socket here, since libsoup's has a backlog of ten, and clients
  // of a larger burst would have to wait for a SYN retransmission.
  std::optional<std::uint16_t> Listen(std::string_view address,
                                      std::uint16_t port) {
    const ObjectPointer<GInetAddress> ip(
        g_inet_address_new_from_string(std::string(address).c_str()));
    if (!ip) return Fail(ListenError::kNotAnIpAddress);
    const ObjectPointer<GSocketAddress> socket_address(
        g_inet_socket_address_new(ip.get(), port));
    GError* error = nullptr;
    ObjectPointer<GSocket> socket(
        g_socket_new(g_inet_address_get_family(ip.get()), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, &error));
    if (!socket) return Fail(error);
    g_socket_set_listen_backlog(socket.get(), kListenBacklog);
    if (account_.is_limited())
      g_socket_set_option(socket.get(), SOL_SOCKET, SO_RCVBUF,
                          kBoundedReceiveBytes, nullptr);
    const bool is_listening =
        g_socket_bind(socket.get(), socket_address.get(), TRUE, &error) &&
        g_socket_listen(socket.get(), &error) &&
        soup_server_listen_socket(server_.get(), socket.get(),
                                  static_cast<SoupServerListenOptions>(0),
                                  &error);
    if (!is_listening) return Fail(error);
    return BoundPort(socket.get());
  }

  void StopListening() {
    GSList* listeners = soup_server_get_listeners(server_.get());
    for (GSList* item = listeners; item != nullptr; item = item->next)
      g_socket_close(G_SOCKET(item->data), nullptr);
    g_slist_free(listeners);
  }

  ListenError last_error() const { return last_error_; }
  std::size_t open_calls() const { return calls_.size(); }

 private:
  std::nullopt_t Fail(ListenError error) {
    last_error_ = error;
    return std::nullopt;
  }

  std::nullopt_t Fail(GError* error) {
    const bool is_in_use =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE);
    g_clear_error(&error);
    return Fail(is_in_use ? ListenError::kAddressInUse : ListenError::kOther);
  }

  std::optional<std::uint16_t> BoundPort(GSocket* socket) {
    const ObjectPointer<GSocketAddress> bound(
        g_socket_get_local_address(socket, nullptr));
    if (!bound) return Fail(ListenError::kOther);
    last_error_ = ListenError::kNone;
    return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
  }

  // Runs before the body is read; if a status is set here, OnRequest does not
  // run.
  static void OnHeaders(SoupServer* /*server*/, SoupServerMessage* message,
                        const char* /*path*/, GHashTable* /*query*/,
                        gpointer data) {
    auto* state = static_cast<State*>(data);
    const HttpServerLimits& limits = state->limits_;
    state->Touch(message);
    auto* headers = soup_server_message_get_request_headers(message);
    const auto length = soup_message_headers_get_content_length(headers);
    RequestReader::Attach(message, state->account_, state->loop_.clock(),
                          limits.maximum_body_bytes);
    g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunk), state);
    if (HeaderBytes(message) > limits.maximum_header_bytes)
      return RespondProblem(message, kHeadersTooLarge);
    if (std::cmp_greater(length, limits.maximum_body_bytes * kDiscardFactor))
      return RespondAndShutDown(message, kBodyTooLarge);
    if (std::cmp_greater(length, limits.maximum_body_bytes))
      return RespondProblem(message, kBodyTooLarge);
    RequestReader::Of(message)->Start();
  }

  static void OnRequest(SoupServer* /*server*/, SoupServerMessage* message,
                        const char* path, GHashTable* /*query*/,
                        gpointer data) {
    auto* state = static_cast<State*>(data);
    if (RequestReader::Of(message)->is_too_large())
      return RespondProblem(message, kBodyTooLarge);
    if (state->calls_.size() >= state->limits_.maximum_open_calls)
      return RespondProblem(message, kTooManyCalls);
    state->Dispatch(message, path);
  }

  void Dispatch(SoupServerMessage* message, std::string_view path) {
    const std::string_view method = soup_server_message_get_method(message);
    if (const auto* handler = routes_.Find(method, path))
      return StartCall(message, *handler);
    const bool is_known_path = routes_.HasPath(path);
    RespondProblem(message, is_known_path ? kMethodNotAllowed : kNotFound);
  }

  void StartCall(SoupServerMessage* message, const Handler& handler) {
    const auto call = std::make_shared<SoupCall>(message);
    calls_.emplace(message, call);
    g_signal_connect(message, "finished", G_CALLBACK(OnFinished), this);
    handler(call);
  }

  static void OnFinished(SoupServerMessage* message, gpointer data) {
    auto* state = static_cast<State*>(data);
    const auto found = state->calls_.find(message);
    if (found == state->calls_.end()) return;
    const auto call = found->second;
    state->calls_.erase(found);
    call->Finish();
  }

  // --- Connections and memory
  // -------------------------------------------------

  struct Connection {
    TimePoint progress_at{};
    bool is_closing = false;
  };

  // libsoup begins a message when it accepts a connection, and after each
  // message on it.
  static void OnRequestStarted(SoupServer* /*server*/,
                               SoupServerMessage* message, gpointer data) {
    auto* state = static_cast<State*>(data);
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket == nullptr) return;
    if (!state->connections_.contains(socket)) {
      g_object_weak_ref(G_OBJECT(socket), OnSocketGone, state);
      state->connections_[socket] = {state->loop_.clock().Now()};
      state->LimitConnections(socket);
    }
    state->Touch(message);
  }

  static void OnChunk(SoupServerMessage* message, GBytes* /*chunk*/,
                      gpointer data) {
    static_cast<State*>(data)->Touch(message);
  }

  static void OnSocketGone(gpointer data, GObject* socket) {
    auto* state = static_cast<State*>(data);
    const auto found =
        state->connections_.find(reinterpret_cast<GSocket*>(socket));
    if (found == state->connections_.end()) return;
    if (found->second.is_closing) --state->closing_connections_;
    state->connections_.erase(found);
  }

  void Touch(SoupServerMessage* message) {
    const auto found =
        connections_.find(soup_server_message_get_socket(message));
    if (found != connections_.end())
      found->second.progress_at = loop_.clock().Now();
  }

  // Beyond the limit, closes the connection on which nothing has come for
  // longest, or the new one.
  void LimitConnections(GSocket* added) {
    const std::size_t limit = limits_.maximum_connections;
    if (limit == 0 || connections_.size() - closing_connections_ <= limit)
      return;
    std::unordered_set<GSocket*> serving;
    for (const auto& [message, call] : calls_)
      serving.insert(soup_server_message_get_socket(message));
    const TimePoint now = loop_.clock().Now();
    GSocket* closed = added;
    TimePoint since = now - kDisplaceableIdleTime;
    for (const auto& [socket, connection] : connections_) {
      if (connection.is_closing || connection.progress_at > since ||
          serving.contains(socket))
        continue;
      closed = socket;
      since = connection.progress_at;
    }
    connections_[closed].is_closing = true;
    ++closing_connections_;
    ShutDownSocket(closed);
  }

  void RunAccountSoon() {
    run_timer_ = loop_.After(Duration::zero(),
                             [this] { account_.Run(loop_.clock().Now()); });
  }

  void Sweep() {
    account_.Run(loop_.clock().Now());
    sweep_timer_ = loop_.After(kSweepPeriod, [this] { Sweep(); });
  }

  Loop& loop_;
  HttpServerLimits limits_;
  memory::ByteAccount account_;
  TimerId run_timer_;
  TimerId sweep_timer_;
  std::unordered_map<GSocket*, Connection> connections_;
  std::size_t closing_connections_ = 0;
  ListenError last_error_ = ListenError::kNone;
  ObjectPointer<SoupServer> server_;
  HttpRoutes routes_;
  std::unordered_map<SoupServerMessage*, std::shared_ptr<SoupCall>> calls_;
};

HttpServer::HttpServer(Loop& loop, const HttpServerLimits& limits)
    : state_(std::make_unique<State>(loop, limits)) {}

HttpServer::~HttpServer() = default;

void HttpServer::Route(std::string_view method, std::string_view path,
                       Handler handler) {
  state_->Route(method, path, std::move(handler));
}

std::optional<std::uint16_t> HttpServer::Listen(std::string_view address,
                                                std::uint16_t port) {
  return state_->Listen(address, port);
}

void HttpServer::StopListening() { state_->StopListening(); }

ListenError HttpServer::last_error() const { return state_->last_error(); }

std::size_t HttpServer::open_calls() const { return state_->open_calls(); }

}  // namespace lovagecleat::transport
