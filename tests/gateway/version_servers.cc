#include "tests/gateway/version_servers.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace lovagecleat::gateway {

namespace {

// A request that cannot be served is refused within this time.
constexpr auto kRefusalTime = std::chrono::milliseconds(300);

// Returns kStreamHead with the id of the request.
std::string StreamHeadFor(const std::string& request) {
  std::string head = kStreamHead;
  head.replace(head.find("id1"), 3, FieldOf(request, kRequestIdName));
  return head;
}

}  // namespace

std::string FieldOf(const std::string& request, std::string_view name) {
  const auto at = request.find(name);
  if (at == std::string::npos) return {};
  const auto start = at + name.size();
  return request.substr(start, request.find("\r\n", start) - start);
}

std::string MakeRequest(const std::string& path, const std::string& id,
                        const std::string& extra) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" +
         Join({kRequestIdName, id}) +
         "\r\nX-Lovagecleat-Deadline-Ms: 5000\r\nContent-Length: 2\r\n" +
         extra + "\r\nhi";
}

std::string TakeUp(const std::string& id, const std::string& begun_by,
                   int last) {
  return MakeRequest("/r/", id,
                     "Last-Event-Id: " + std::to_string(last) +
                         "\r\nResumes: " + begun_by + "\r\n");
}

VersionServer::VersionServer(std::string version, After after_begin,
                             After after_take_up)
    : version_(std::move(version)),
      after_begin_(after_begin),
      after_take_up_(after_take_up),
      server_([this](transport::RawConnection& connection,
                     const std::string& request) {
        return Serve(connection, request);
      }) {}

bool VersionServer::Serve(transport::RawConnection& connection,
                          const std::string& request) {
  if (request.starts_with("POST /s/")) {
    connection.Write(Join({"HTTP/1.1 200 X\r\n", kSeal, kRequestIdName,
                           FieldOf(request, kRequestIdName),
                           "\r\nContent-Length: 2\r\n\r\n", version_}));
    return true;
  }
  const std::string last = FieldOf(request, kLastEventName);
  ++(last.empty() ? begun_ : taken_up_);
  int event = last.empty() ? 0 : std::stoi(last);
  connection.Write(Join({StreamHeadFor(request), MakeEvent(++event)}));
  switch (last.empty() ? after_begin_ : after_take_up_) {
    case After::kBreak:
      return false;
    case After::kWaitForClose:
      connection.WaitForClose();
      return false;
    case After::kContinue:
      break;
  }
  while (event < 3) connection.Write(MakeEvent(++event));
  connection.Write(kStreamEnd);
  return true;
}

std::string VersionServer::MakeEvent(int number) const {
  return Chunk("id: " + std::to_string(number) + "\ndata: " + version_ +
               "\n\n");
}

void CheckWholeStream(const std::string& response, const std::string& version) {
  INFO(response);
  const std::string other = version == "v1" ? "v2" : "v1";
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("data: " + version) != std::string::npos);
  CHECK(response.find("data: " + other) == std::string::npos);
  CHECK(response.find("id: 3\n") != std::string::npos);
  CHECK(response.ends_with(kStreamEnd));
}

VersionServer& StreamVersionsFixture::Add(const std::string& version,
                                          After after_begin,
                                          After after_take_up,
                                          const std::string& service) {
  VersionServer& server =
      servers.emplace_back(version, after_begin, after_take_up);
  AddServer("s" + std::to_string(servers.size()), service, server.address(),
            version);
  return server;
}

void StreamVersionsFixture::StartWith(std::size_t hosts, const char* routing) {
  rows.Set("op", "config", routing);
  StartHosts(hosts);
}

std::string StreamVersionsFixture::ReadUntilEvent(
    const transport::RawClient& client, const std::string& request,
    int number) {
  client.Write(request);
  const std::string event = "id: " + std::to_string(number) + "\ndata: ";
  std::string text;
  bool is_open = true;
  RunUntil([&] {
    is_open = is_open && client.ReadAvailable(text);
    return !is_open || text.find(event) != std::string::npos;
  });
  INFO(text);
  const auto at = text.find(event);
  REQUIRE(at != std::string::npos);
  return text.substr(at + event.size(), 2);
}

std::string StreamVersionsFixture::BeginAndClose(const std::string& id,
                                                 std::size_t host) {
  transport::RawClient client(callers_port(host));
  return ReadUntilEvent(client, MakeRequest("/r/", id));
}

int StreamVersionsFixture::taken_up() const {
  int sum = 0;
  for (const VersionServer& server : servers) sum += server.taken_up();
  return sum;
}

void StreamVersionsFixture::RequireRefused(const std::string& request,
                                           std::size_t host) {
  const int before = taken_up();
  const TimePoint sent_at = loop().clock().Now();
  const std::string response = Send(request, host);
  INFO(response);
  CHECK(loop().clock().Now() - sent_at < kRefusalTime);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(taken_up() == before);
}

}  // namespace lovagecleat::gateway
