#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "tests/gateway/gateway_fixture.h"

// Tests requests whose server sends nothing for a while and then continues.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s1/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"safe-2","host":"a.example","prefix":"/s2/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":2,"service":"plain"},
 {"name":"stream-1","host":"a.example","prefix":"/r1/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"attempts":1,"service":"plain",
  "resumable":true},
 {"name":"stream-2","host":"a.example","prefix":"/r2/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"attempts":2,"service":"plain",
  "gapAimMs":300,"resumable":true},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Longer than every limit that the gateway has for the routes above.
constexpr auto kSilence = std::chrono::milliseconds(2600);
// A sound server may be silent for this long.
constexpr auto kSoundSilence = std::chrono::milliseconds(1200);
// A server that does not go on is left before this time is over.
constexpr auto kTimeToLeave = std::chrono::milliseconds(2000);

constexpr std::string_view kResponse =
    "HTTP/1.1 200 X\r\nX-Lovagecleat-Request-Id: id1\r\n"
    "X-Lovagecleat-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";

std::string MakeRequest(const std::string& path, int deadline_ms = 9000) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Pieces: 1\r\nX-Lovagecleat-Piece-Key: k\r\n"
         "X-Lovagecleat-Deadline-Ms: " +
         std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\nhi";
}

// Sends the first event of a stream, and after a silence the second and last.
bool StreamWithSilence(RawConnection& connection) {
  connection.Write(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n")}));
  std::this_thread::sleep_for(kSilence);
  connection.Write(Join({Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
  return true;
}

class SilentServerFixture : public GatewayFixture {
 public:
  void StartWith(std::initializer_list<ScriptedServer*> servers) {
    rows.Set("op", "config", kRouting);
    int number = 0;
    for (ScriptedServer* server : servers)
      AddServer("s" + std::to_string(++number), "plain", server->address());
    Start();
  }
};

// Guards against cut streams: the last permitted attempt was abandoned at a
// silent server, and the response that had begun could not continue.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream without attempts left waits for its server") {
  const auto script = [](RawConnection& connection, const std::string&) {
    return StreamWithSilence(connection);
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/r1/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
  REQUIRE(first.requests() + second.requests() == 1);
}

// Guards against failed requests: the last permitted attempt was abandoned at a
// silent server and answered with 502.
TEST_CASE_METHOD(SilentServerFixture,
                 "A safe request without attempts left waits for its server") {
  const auto script = [](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    connection.Write(Join({"HTTP/1.1 200 X\r\n", kSeal,
                           "X-Lovagecleat-Request-Id: id1\r\n"
                           "Content-Length: 2\r\n\r\nok"}));
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s1/")).starts_with("HTTP/1.1 200"));
  REQUIRE(first.requests() + second.requests() == 1);
}

// Guards against requests without an answer: callers left a stream whose last
// server sent no event, and the gateway waited until their deadline.
TEST_CASE_METHOD(SilentServerFixture,
                 "A stream that does not begin is answered in time") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.WaitForClose();
    return false;
  });
  StartWith({&server});
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/r1/")).starts_with("HTTP/1.1 504"));
  // Callers leave after four latency targets.
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(4000));
}

// Guards against requests without an answer: a stopping process ended while it
// waited for a silent server.
TEST_CASE_METHOD(SilentServerFixture,
                 "A request that is open when the process ends is answered") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.WaitForClose();
    return false;
  });
  StartWith({&server});
  std::string response;
  std::thread client([&, port = callers_port()] {
    const transport::RawClient raw(port);
    raw.Write(MakeRequest("/r1/"));
    response = raw.ReadToEnd();
  });
  RunUntil([&] { return server.requests() == 1; });
  gateway->Stop();
  loop().Run();
  KillHost(0);
  client.join();
  REQUIRE(response.starts_with("HTTP/1.1 502"));
}

// Guards against cut streams: a silent server was abandoned although no other
// server could continue the stream.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream without another server waits for its own") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    return StreamWithSilence(connection);
  });
  StartWith({&server});
  const std::string response = Send(MakeRequest("/r2/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
  REQUIRE(server.requests() == 1);
}

// Guards against cut streams: a silent server was abandoned for one that then
// rejected the stream.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream survives that the next server is full") {
  std::atomic<int> resumptions = 0;
  const auto script = [&resumptions](RawConnection& connection,
                                     const std::string& request) {
    if (request.find("Last-Event-Id: ") == std::string::npos)
      return StreamWithSilence(connection);
    if (++resumptions == 1) {
      connection.Write(
          "HTTP/1.1 503 X\r\nX-Lovagecleat-Not-Executed: 1\r\n"
          "X-Lovagecleat-Request-Id: id1\r\nContent-Length: 0\r\n\r\n");
    } else {
      connection.Write(
          Join({kStreamHead, Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
    }
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/r2/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
}

// Guards against corrupt responses: the response of a second server was
// appended to the beginning of one that was abandoned while it arrived.
TEST_CASE_METHOD(SilentServerFixture,
                 "A partly forwarded response is not joined with another") {
  const std::string half(100'000, 'x');
  const bool is_broken = GENERATE(false, true);
  const auto script = [&half, is_broken](RawConnection& connection,
                                         const std::string&) {
    connection.Write(Join({"HTTP/1.1 200 X\r\n", kSeal,
                           "X-Lovagecleat-Request-Id: id1\r\n"
                           "Content-Length: 200000\r\n\r\n",
                           half}));
    if (is_broken) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    connection.Write(half);
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/s2/"));
  // Only the body contains this character.
  const auto body_bytes = std::count(response.begin(), response.end(), 'x');
  REQUIRE(body_bytes == (is_broken ? 100'000 : 200'000));
  REQUIRE(response.ends_with(kStreamEnd) == !is_broken);
}

// A server that responds to each request in two parts. It is silent between the
// parts of its first response.
class PausingServer {
 public:
  // `split` is the number of bytes before the silence.
  PausingServer(std::string response, std::size_t split, Duration silence)
      : response_(std::move(response)),
        split_(split),
        silence_(silence),
        server_([this](RawConnection& connection, const std::string&) {
          const std::string_view bytes(response_);
          connection.Write(bytes.substr(0, split_));
          if (!has_paused_.exchange(true))
            std::this_thread::sleep_for(silence_);
          connection.Write(bytes.substr(split_));
          return true;
        }) {}
  ScriptedServer& server() { return server_; }

 private:
  std::string response_;
  std::size_t split_;
  Duration silence_;
  std::atomic<bool> has_paused_ = false;
  ScriptedServer server_;
};

// Guards against abandoned calls: a safe request was sent again at its route's
// latency target although its server went on within the time that sound servers
// may be silent for.
TEST_CASE_METHOD(SilentServerFixture,
                 "A safe request waits out the silence of a sound server") {
  // Before the head, within it, after it and within the body.
  const std::size_t split =
      GENERATE_COPY(std::size_t{0}, std::size_t{30}, kResponse.size() - 2,
                    kResponse.size() - 1);
  PausingServer first(std::string(kResponse), split, kSoundSilence);
  PausingServer second(std::string(kResponse), split, kSoundSilence);
  StartWith({&first.server(), &second.server()});
  REQUIRE(Send(MakeRequest("/s2/")).starts_with("HTTP/1.1 200"));
  REQUIRE(first.server().requests() + second.server().requests() == 1);
}

// Guards against abandoned calls: the same on a connection that was used
// before.
TEST_CASE_METHOD(SilentServerFixture,
                 "A kept connection survives the silence of a sound server") {
  std::atomic<int> requests = 0;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    if (++requests == 2) std::this_thread::sleep_for(kSoundSilence);
    connection.Write(kResponse);
    return true;
  });
  StartWith({&server});
  for (int i = 0; i < 3; ++i)
    REQUIRE(Send(MakeRequest("/s2/")).starts_with("HTTP/1.1 200"));
  REQUIRE(server.requests() == 3);
  REQUIRE(server.connections() == 1);
}

// Guards against resumed streams: a gap of a second between events counted as
// the end of a server.
TEST_CASE_METHOD(SilentServerFixture,
                 "A stream waits out the silence of a sound server") {
  const std::string first_event =
      Join({kStreamHead, Chunk("id: 1\ndata: a\n\n")});
  const std::string response =
      Join({first_event, Chunk("id: 2\ndata: b\n\n"), kStreamEnd});
  // Before the head, before the first event, within it and after it.
  const std::size_t split =
      GENERATE_COPY(std::size_t{0}, std::string_view(kStreamHead).size(),
                    first_event.size() - 5, first_event.size());
  PausingServer first(response, split, kSoundSilence);
  PausingServer second(response, split, kSoundSilence);
  StartWith({&first.server(), &second.server()});
  REQUIRE(Send(MakeRequest("/r2/")).ends_with(kStreamEnd));
  REQUIRE(first.server().requests() + second.server().requests() == 1);
}

// Guards against waiting for servers that do not go on, wherever they stop.
TEST_CASE_METHOD(SilentServerFixture,
                 "A server that stays silent is left in time") {
  const bool is_stream = GENERATE(false, true);
  const std::string response =
      is_stream ? Join({kStreamHead, Chunk("id: 1\ndata: a\n\n"), kStreamEnd})
                : std::string(kResponse);
  const std::size_t split =
      GENERATE_COPY(std::size_t{0}, std::size_t{30}, response.size() - 6);
  std::atomic<int> requests = 0;
  const auto script = [&](RawConnection& connection, const std::string&) {
    const bool is_first = ++requests == 1;
    connection.Write(is_first ? response.substr(0, split) : response);
    if (is_first) connection.WaitForClose();
    return !is_first;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const TimePoint start = loop().clock().Now();
  const std::string text = Send(MakeRequest(is_stream ? "/r2/" : "/s2/"));
  REQUIRE(text.starts_with("HTTP/1.1 200"));
  REQUIRE(loop().clock().Now() - start < kTimeToLeave);
  REQUIRE(requests == 2);
}

// Guards against calls without end: a server that is stalled sends a byte now
// and then, in the head of its response or within an event of a stream.
TEST_CASE_METHOD(SilentServerFixture,
                 "A server that sends a byte now and then is left in time") {
  const std::string filler(200, 'a');
  const std::string response =
      Join({kStreamHead, Chunk(Join({"id: 1\ndata: ", filler, "\n\n"})),
            kStreamEnd});
  const std::size_t split =
      GENERATE_COPY(std::size_t{30}, response.size() - filler.size());
  std::atomic<int> requests = 0;
  const auto script = [&](RawConnection& connection, const std::string&) {
    if (++requests > 1) {
      connection.Write(response);
      return true;
    }
    connection.Write(response.substr(0, split));
    // For longer than the time to leave it; writing to a closed connection has
    // no effect.
    for (std::size_t i = split; i < split + 15; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      connection.Write(response.substr(i, 1));
    }
    return false;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/r2/")).ends_with(kStreamEnd));
  REQUIRE(loop().clock().Now() - start < kTimeToLeave);
  REQUIRE(requests == 2);
}

// Guards against requests without an answer: the time that is left is shorter
// than the time after which a silent server is left.
TEST_CASE_METHOD(SilentServerFixture,
                 "A silent server is left while another can answer in time") {
  constexpr int deadline_ms = 1500;
  std::atomic<int> requests = 0;
  const auto script = [&](RawConnection& connection, const std::string&) {
    if (++requests == 1) connection.WaitForClose();
    connection.Write(kResponse);
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s2/", deadline_ms)).starts_with("HTTP/1.1 200"));
  REQUIRE(requests == 2);
}

// Guards against sound servers that got no requests: some timed out during a
// silence, and the server counted as failed. One that is silent for longer
// does.
TEST_CASE_METHOD(SilentServerFixture,
                 "Requests that time out do not blame a sound server") {
  constexpr int deadline_ms = 500;
  constexpr int requests_at_once = 4;
  const bool is_sound = GENERATE(true, false);
  std::atomic<bool> is_silent = true;
  const auto script = [&](RawConnection& connection, const std::string&) {
    while (is_silent) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    connection.Write(kResponse);
    return true;
  };
  ScriptedServer server(script);
  ScriptedServer other(script);
  StartWith({&server});
  const auto send_several = [&] {
    return RunWithClient([&](transport::RawClient& raw) {
      std::vector<std::unique_ptr<transport::RawClient>> clients;
      for (int i = 1; i < requests_at_once; ++i)
        clients.push_back(
            std::make_unique<transport::RawClient>(callers_port()));
      for (const auto& client : clients)
        client->Write(MakeRequest("/s1/", deadline_ms));
      raw.Write(MakeRequest("/s1/", deadline_ms));
      std::string text = raw.ReadToEnd();
      for (const auto& client : clients) text.append(client->ReadToEnd());
      return text;
    });
  };
  send_several();
  if (!is_sound) {
    RunFor(kSoundSilence);
    send_several();
  }
  is_silent = false;
  const int requests = server.requests();
  // A server of another zone is used only if that in the own zone is not.
  rows.Set("servers", "other",
           R"({"service":"plain","address":")" + other.address() +
               R"(","zone":"y","version":"v1","state":"ready","slots":4,)"
               R"("seq":1})");
  // Until the row has been read, but within the time of a suspension.
  RunFor(std::chrono::milliseconds(1000));
  REQUIRE(Send(MakeRequest("/s1/")).starts_with("HTTP/1.1 200"));
  REQUIRE(server.requests() == requests + (is_sound ? 1 : 0));
  REQUIRE(other.requests() == (is_sound ? 0 : 1));
}

// Guards against a server that hangs with all new streams and gets them for
// ever, since one that began before still has events.
TEST_CASE_METHOD(
    SilentServerFixture,
    "A server that begins no streams is suspended beside a live one") {
  std::atomic<bool> is_ended = false;
  // Sends events until the end of the test, so that calls remain in flight.
  const auto live = [&is_ended](RawConnection& connection) {
    connection.Write(kStreamHead);
    for (int id = 1; !is_ended; ++id) {
      connection.Write(Chunk("id: " + std::to_string(id) + "\ndata: x\n\n"));
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    connection.Write(kStreamEnd);
    return false;
  };
  std::atomic<int> streams = 0;
  ScriptedServer hanging([&](RawConnection& connection, const std::string&) {
    if (++streams == 1) return live(connection);
    connection.WaitForClose();
    return false;
  });
  ScriptedServer sound([&](RawConnection& connection, const std::string&) {
    return live(connection);
  });
  StartWith({&hanging, &sound});
  int sent_before = 0;
  int sent_after = 0;
  RunWithClient([&](transport::RawClient& first) {
    std::vector<std::unique_ptr<transport::RawClient>> clients;
    const auto send_several = [&](int count, std::chrono::milliseconds wait) {
      for (int i = 0; i < count; ++i) {
        clients.push_back(
            std::make_unique<transport::RawClient>(callers_port()));
        clients.back()->Write(MakeRequest("/r2/"));
      }
      std::this_thread::sleep_for(wait);
    };
    first.Write(MakeRequest("/r2/"));
    // Those that are left go to the other server, which then has more in
    // flight.
    send_several(5, kTimeToLeave);
    send_several(6, kTimeToLeave);
    sent_before = hanging.requests();
    send_several(3, std::chrono::milliseconds(300));
    sent_after = hanging.requests();
    is_ended = true;
    for (const auto& client : clients) client->ReadToEnd();
    return first.ReadToEnd();
  });
  REQUIRE(sent_before >= 7);
  REQUIRE(sent_after == sent_before);
}

// A stage server that is silent on all its connections for a while after it has
// received the first call.
class PausingStageServer {
 public:
  explicit PausingStageServer(Duration silence)
      : silence_(silence),
        server_([this](RawConnection& connection, const std::string& request) {
          return Handle(connection, request);
        }) {}
  ScriptedServer& server() { return server_; }

  std::atomic<int> calls = 0;
  std::atomic<int> reports = 0;
  std::atomic<bool> is_busy = true;  // as its reports say
  // Time by which responses to calls follow reports after the silence.
  std::atomic<Duration> call_delay = Duration::zero();

 private:
  bool Handle(RawConnection& connection, const std::string& request) {
    const bool is_call = request.starts_with("POST /stage-run");
    const bool is_report = request.starts_with("GET /report");
    if (is_report) ++reports;
    if (is_call && ++calls == 1) until_ = clock_.Now() + silence_;
    while (clock_.Now() < until_.load())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (is_call) std::this_thread::sleep_for(call_delay.load());
    const std::string body =
        is_call     ? R"({"items":[{"handle":"h0"}]})"
        : is_report ? Join({R"({"queued":0,"busy":)",
                            is_busy ? "true" : "false", R"(,"freeMb":1})"})
                    : "";
    connection.Write("HTTP/1.1 200 X\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  }

  SystemClock clock_;
  Duration silence_;
  std::atomic<TimePoint> until_{TimePoint{}};
  ScriptedServer server_;
};

// Guards against abandoned stage calls: a call was ended, and its server
// blamed, after a multiple of the call's usual time.
TEST_CASE_METHOD(SilentServerFixture,
                 "A stage call waits out the silence of a sound server") {
  PausingStageServer stage(kSoundSilence);
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.Write(kResponse);
    return true;
  });
  AddServer("stage", "encoder", stage.server().address());
  StartWith({&server});
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.calls == 1);
}

// Guards against connections opened at a silent server: it was asked again and
// again whether it had already answered a slow call.
TEST_CASE_METHOD(SilentServerFixture,
                 "A silent stage server is asked one question at a time") {
  PausingStageServer stage(kSoundSilence);
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.Write(kResponse);
    return true;
  });
  AddServer("stage", "encoder", stage.server().address());
  StartWith({&server});
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.reports == 1);
  // The call, the report and the release have a connection each.
  RunFor(std::chrono::milliseconds(300));
  REQUIRE(stage.server().connections() == 3);
}

// Guards against abandoned stage calls: after a silence, the report that the
// server had finished arrived just before its response on another connection,
// and the response counted as lost.
TEST_CASE_METHOD(SilentServerFixture,
                 "A stage response may follow the report of its server") {
  PausingStageServer stage(kSoundSilence);
  stage.is_busy = false;
  stage.call_delay = std::chrono::milliseconds(5);
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.Write(kResponse);
    return true;
  });
  AddServer("stage", "encoder", stage.server().address());
  StartWith({&server});
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.calls == 1);
}

// Guards against waiting for stage servers that do not go on.
TEST_CASE_METHOD(
    SilentServerFixture,
    "A stage call to a server that stays silent is ended in time") {
  PausingStageServer stage(std::chrono::milliseconds(1900));
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.Write(kResponse);
    return true;
  });
  AddServer("stage", "encoder", stage.server().address());
  StartWith({&server});
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.calls == 2);
}

}  // namespace
}  // namespace lovagecleat::gateway
