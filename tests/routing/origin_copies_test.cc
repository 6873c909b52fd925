#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLifetime = seconds(20);
constexpr int kZones = 3;
const std::size_t kMaximumCopies = OriginCopyLimits().copies;
// Of a message, and of each copy in it, on the wire.
constexpr std::size_t kMessageBytes = 40;
constexpr std::size_t kCopyBytes = 100;
// A host that could be used again has its copies within this time: the longest
// avoidance, a probe and the budget.
constexpr Duration kRecoveryTime = seconds(18);
// A host that has not acknowledged a batch for this time, and a second look at
// it, gets no more copies.
constexpr Duration kGivenUpTime = milliseconds(200 + 20) + 2 * kStep;
// A stream that began this long ago is known in each zone with a usable host.
constexpr Duration kSpreadTime = milliseconds(1500);

struct Message {
  std::size_t to = 0;
  std::size_t from = 0;
  std::uint64_t batch = 0;
  bool is_acknowledgement = false;
  std::vector<std::string> streams;
};

struct Sent {
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::size_t copies = 0;
  std::size_t batches = 0;  // with copies
  std::size_t probes = 0;
  std::size_t acknowledgements = 0;
  std::size_t received = 0;  // messages
  std::size_t begun = 0;     // streams

  void Add(const Sent& other) {
    messages += other.messages;
    bytes += other.bytes;
    copies += other.copies;
    batches += other.batches;
    probes += other.probes;
    acknowledgements += other.acknowledgements;
    received += other.received;
    begun += other.begun;
  }
};

// Hosts that exchange messages with a delay under virtual time. Messages to or
// from a lost host are lost, as are those between two sides of a cut.
class Network {
 public:
  struct Host {
    std::unique_ptr<OriginCopies> copies;
    std::string zone;
    bool is_lost = false;
    bool is_cut = false;
    bool is_connected = true;  // to the others: a message can be sent to it
    Duration delay = milliseconds(2);
    std::set<std::string> known;
    std::map<std::int64_t, Sent> by_second;
  };

  Network(std::size_t count, std::uint64_t seed) : random_(seed) {
    hosts_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      hosts_[i].zone = std::string(1, static_cast<char>('a' + i % kZones));
      hosts_[i].copies = std::make_unique<OriginCopies>(hosts_[i].zone);
    }
    for (std::size_t i = 0; i < count; ++i) ShowHosts(i);
  }

  Host& host(std::size_t i) { return hosts_[i]; }
  std::size_t size() const { return hosts_.size(); }
  Random& random() { return random_; }
  TimePoint now() const { return now_; }

  bool IsCutOff(std::size_t a, std::size_t b) const {
    return hosts_[a].is_cut != hosts_[b].is_cut;
  }

  // Begins streams at hosts that run, at a rate for all of them together.
  void RunFor(Duration time, double streams_per_second) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      due_streams_ += streams_per_second * kStep.count() / 1e6;
      for (; due_streams_ >= 1; due_streams_ -= 1) BeginStream();
      Deliver();
      for (std::size_t i = 0; i < size(); ++i) {
        Host& host = hosts_[i];
        if (host.is_lost) continue;
        const auto due = host.copies->NextDue();
        if (!active_.contains(i) && !(due && *due <= now_)) continue;
        host.copies->Flush(
            now_, [this, i](const auto& batch) { return Send(i, batch); });
        // Copies that multiply would take all memory before the run ends.
        if (host.copies->size() > kMaximumCopies)
          FAIL("host " << i << " holds " << host.copies->size() << " copies");
      }
      active_.clear();
    }
  }

  // Each stream that a running host has begun since then is known in each zone,
  // unless it has ended or has just begun.
  void RequireKnownInAllZones(TimePoint since) {
    std::map<std::string, std::set<std::string>> known;
    std::set<std::string> zones;
    for (const Host& host : hosts_) {
      if (host.is_lost) continue;
      zones.insert(host.zone);
      known[host.zone].insert(host.known.begin(), host.known.end());
    }
    std::size_t missing = 0;
    for (const auto& [stream, begun] : streams_) {
      const Duration age = now_ - begun.at;
      if (begun.at < since || age > kLifetime || age < kSpreadTime ||
          hosts_[begun.host].is_lost)
        continue;
      for (const std::string& zone : zones)
        if (!known[zone].contains(stream)) ++missing;
    }
    REQUIRE(missing == 0);
  }

  // The bounds of docs/design/peer-bounds.md over every span of seconds: one
  // copy for each zone and stream, and what is sent again within its budget,
  // probes within theirs, one acknowledgement for each message.
  void RequireBounded() {
    for (std::size_t i = 0; i < size(); ++i) {
      Host& host = hosts_[i];
      REQUIRE(host.copies->size() <= kMaximumCopies);
      for (auto first = host.by_second.begin(); first != host.by_second.end();
           ++first) {
        Sent sum;
        // Copies may be queued in one second and sent in the next.
        const auto before = host.by_second.find(first->first - 1);
        if (before != host.by_second.end()) sum.begun = before->second.begun;
        for (auto last = first; last != host.by_second.end(); ++last) {
          sum.Add(last->second);
          RequireBounded(i, sum,
                         static_cast<double>(last->first - first->first + 1));
        }
      }
    }
  }

  std::size_t most_messages() const {
    std::size_t most = 0;
    for (const Host& host : hosts_)
      for (const auto& [second, sent] : host.by_second)
        most = std::max(most, sent.messages);
    return most;
  }

  // Hosts see which others are reachable.
  void ShowHosts(std::size_t i) {
    std::vector<CopyHost> others;
    for (std::size_t j = 0; j < size(); ++j)
      if (j != i) others.push_back({std::to_string(j), hosts_[j].zone, true});
    hosts_[i].copies->SetHosts(others, now_);
  }

 private:
  struct Begun {
    std::size_t host;
    TimePoint at;
  };

  // What one host has sent another since it had an answer.
  struct Unanswered {
    std::optional<TimePoint> streams_since;
    std::optional<TimePoint> probed_since;
    std::size_t probes = 0;
    std::size_t batches = 0;
    std::size_t copies = 0;
  };

  static void RequireBounded(std::size_t host, const Sent& sum,
                             double length_s) {
    const OriginCopyLimits limits;
    const double copies = static_cast<double>(kZones * sum.begun) +
                          limits.repeats_per_second * length_s +
                          limits.repeat_burst;
    const double probes =
        limits.probes_per_second * length_s + limits.probe_burst;
    const double acknowledgements = static_cast<double>(sum.received);
    const double messages = copies + probes + acknowledgements;
    const bool is_bounded =
        static_cast<double>(sum.copies) <= copies &&
        static_cast<double>(sum.probes) <= probes &&
        static_cast<double>(sum.acknowledgements) <= acknowledgements &&
        static_cast<double>(sum.messages) <= messages &&
        static_cast<double>(sum.bytes) <=
            messages * kMessageBytes + copies * kCopyBytes;
    if (is_bounded) return;
    CAPTURE(host, length_s, sum.begun, sum.copies, sum.probes,
            sum.acknowledgements, sum.received);
    FAIL("a host sent more than its bounds");
  }

  // A host that does not answer gets only probes, with a period that doubles
  // up to 4 s, and one more for a look at its zone every 5 s.
  void CheckUnanswered(std::size_t from, std::size_t to,
                       const OriginCopies::Batch& batch) {
    const OriginCopyLimits limits;
    Unanswered& before = unanswered_[{from, to}];
    CAPTURE(from, to, batch.streams.size());
    if (batch.streams.size() > limits.copies_per_batch)
      FAIL("a batch has too many copies");
    if (!batch.streams.empty()) {
      if (before.streams_since && now_ - *before.streams_since > kGivenUpTime)
        FAIL("a host that does not answer was sent copies");
      if (!before.streams_since) before.streams_since = now_;
      before.copies += batch.streams.size();
      if (++before.batches > limits.batches_per_host)
        FAIL("too many batches are unacknowledged");
      if (before.copies > limits.copies_per_host)
        FAIL("too many copies are unacknowledged");
      return;
    }
    if (!before.probed_since) before.probed_since = now_;
    const auto time = now_ - *before.probed_since;
    ++before.probes;
    const auto most =
        static_cast<std::size_t>(4 + time / seconds(4) + 1 + time / seconds(5));
    if (before.probes > most) {
      CAPTURE(before.probes, time.count());
      FAIL("a host that does not answer was probed too often");
    }
  }

  Sent& Now(Host& host) {
    return host.by_second[now_.time_since_epoch() / seconds(1)];
  }

  void BeginStream() {
    std::size_t i = 0;
    do {
      i = random_.Below(size());
    } while (hosts_[i].is_lost);
    const std::string stream = "s" + std::to_string(++last_stream_);
    streams_[stream] = {i, now_};
    hosts_[i].known.insert(stream);
    ++Now(hosts_[i]).begun;
    hosts_[i].copies->Add(stream, now_ + kLifetime, now_);
    active_.insert(i);
  }

  bool Send(std::size_t from, const OriginCopies::Batch& batch) {
    const std::size_t to = std::stoul(batch.host);
    if (!hosts_[to].is_connected) return false;
    CheckUnanswered(from, to, batch);
    Post({to, from, batch.number, false, batch.streams});
    return true;
  }

  void Post(Message message) {
    Sent& sent = Now(hosts_[message.from]);
    ++sent.messages;
    sent.copies += message.streams.size();
    ++(message.is_acknowledgement ? sent.acknowledgements
       : message.streams.empty()  ? sent.probes
                                  : sent.batches);
    sent.bytes += kMessageBytes + kCopyBytes * message.streams.size();
    const TimePoint at = now_ + hosts_[message.to].delay;
    in_flight_.emplace(at, std::move(message));
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const Message message = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      Host& host = hosts_[message.to];
      if (host.is_lost || IsCutOff(message.from, message.to)) continue;
      active_.insert(message.to);
      ++Now(host).received;
      unanswered_.erase({message.to, message.from});
      const std::string from = std::to_string(message.from);
      if (message.is_acknowledgement) {
        host.copies->OnAcknowledged(from, message.batch, now_);
        continue;
      }
      host.copies->OnAnswer(from, now_);
      host.known.insert(message.streams.begin(), message.streams.end());
      Post({message.from, message.to, message.batch, true, {}});
    }
  }

  Random random_;
  TimePoint now_ = TimePoint() + seconds(100);
  std::vector<Host> hosts_;
  std::multimap<TimePoint, Message> in_flight_;
  // By sender and receiver.
  std::map<std::pair<std::size_t, std::size_t>, Unanswered> unanswered_;
  std::map<std::string, Begun> streams_;
  std::set<std::size_t> active_;
  double due_streams_ = 0;
  int last_stream_ = 0;
};

// Guards against copies that multiply: each one that was not acknowledged went
// to a host of every zone, and each of these again, for as long as lost hosts
// were chosen. Three streams a second were enough to stop the hosts left.
TEST_CASE("Copies stay within their bounds when hosts are lost") {
  const std::size_t count = GENERATE(60, 300);
  const double share = GENERATE(0.05, 0.55, 0.95);
  const bool is_connected = GENERATE(false, true);
  const double rate = GENERATE(3.0, 60.0);
  CAPTURE(count, share, is_connected, rate);
  Network network(count, count + static_cast<std::size_t>(100 * share));
  network.RunFor(seconds(2), rate);
  const TimePoint lost_at = network.now();
  // One host in each zone is left at least.
  for (std::size_t i = kZones; i < count; ++i) {
    if (network.random().Unit() >= share) continue;
    network.host(i).is_lost = true;
    network.host(i).is_connected = is_connected;
  }
  network.RunFor(seconds(12), rate);
  network.RequireBounded();
  network.RequireKnownInAllZones(lost_at);
}

// Guards against copies that multiply, and against origins that a zone never
// gets, when hosts are cut off for a time.
TEST_CASE("Streams are known everywhere after hosts were cut off") {
  const std::size_t count = GENERATE(60, 300);
  const Duration length =
      GENERATE(milliseconds(150), milliseconds(900), milliseconds(6000));
  const bool is_zone = GENERATE(false, true);
  CAPTURE(count, length.count(), is_zone);
  Network network(count, count);
  network.RunFor(seconds(1), 300);
  for (std::size_t i = 0; i < count; ++i)
    network.host(i).is_cut =
        is_zone ? i % kZones == 0 : network.random().Unit() < 0.4;
  const TimePoint cut_at = network.now();
  network.RunFor(length, 300);
  for (std::size_t i = 0; i < count; ++i) network.host(i).is_cut = false;
  network.RunFor(kRecoveryTime, 20);
  network.RequireBounded();
  network.RequireKnownInAllZones(cut_at);
}

// Guards against copies that multiply while no host is lost but all acknowledge
// late, as on a day when the loops of all hosts were slow.
TEST_CASE("Copies stay within their bounds when all hosts are slow") {
  const int delay_ms = GENERATE(90, 130, 400, 2000);
  CAPTURE(delay_ms);
  Network network(60, 7);
  for (std::size_t i = 0; i < network.size(); ++i)
    network.host(i).delay = milliseconds(delay_ms);
  const TimePoint begun_at = network.now();
  network.RunFor(seconds(20), 300);
  network.RequireBounded();
  for (std::size_t i = 0; i < network.size(); ++i)
    network.host(i).delay = milliseconds(2);
  network.RunFor(kRecoveryTime, 20);
  network.RequireKnownInAllZones(begun_at);
}

TEST_CASE("A redirect replaces the one holder that failed") {
  OriginCopies copies("a");
  std::vector<CopyHost> hosts;
  for (const char* zone : {"a", "b", "c"})
    for (int i = 0; i < 4; ++i)
      hosts.push_back({zone + std::to_string(i), zone, true});
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  std::vector<OriginCopies::Batch> sent;
  const auto send = [&sent](const OriginCopies::Batch& batch) {
    sent.push_back(batch);
    return true;
  };
  copies.Add("s", now + kLifetime, now);
  copies.Flush(now, send);
  REQUIRE(sent.size() == 3);
  std::set<char> zones;
  for (const auto& batch : sent) zones.insert(batch.host.front());
  REQUIRE(zones == std::set<char>{'a', 'b', 'c'});
  const OriginCopies::Batch failed = sent[1];
  for (const auto& batch : sent)
    if (batch.host != failed.host)
      copies.OnAcknowledged(batch.host, batch.number, now);
  REQUIRE(copies.size() == 1);
  sent.clear();
  now += milliseconds(200);
  copies.Flush(now, send);
  REQUIRE(sent.empty());
  now += milliseconds(20);
  copies.Flush(now, send);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].host != failed.host);
  REQUIRE(sent[0].host.front() == failed.host.front());
  REQUIRE(sent[0].streams == std::vector<std::string>{"s"});
}

TEST_CASE("A host that does not answer gets probes only") {
  OriginCopies copies("a");
  const std::vector<CopyHost> hosts = {{"b0", "b", true}};
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  std::size_t probes = 0;
  std::size_t streams = 0;
  std::uint64_t last = 0;
  const auto send = [&](const OriginCopies::Batch& batch) {
    ++(batch.streams.empty() ? probes : streams);
    last = batch.number;
    return true;
  };
  for (int i = 0; i < 60'000 / 20; ++i) {
    if (i % 50 == 0) copies.Add(std::to_string(i), now + kLifetime, now);
    copies.Flush(now, send);
    now += milliseconds(20);
  }
  REQUIRE(streams == 1);
  REQUIRE(probes >= 10);
  REQUIRE(probes <= 20);
  // All that have not ended are sent once it answers.
  copies.OnAcknowledged("b0", last, now);
  REQUIRE(copies.IsUsable("b0", now));
  streams = 0;
  copies.Flush(now, send);
  REQUIRE(streams == 1);
  REQUIRE(copies.waiting() == 0);
}

// Guards against origins that a zone never gets: the copy for a zone was left
// out since its holder, which was lost, got the stream as one of all streams.
TEST_CASE("A copy for a zone moves on from a host that gets all streams") {
  OriginCopies copies("a");
  const std::vector<CopyHost> first = {{"a0", "a", true}};
  const std::vector<CopyHost> both = {{"a0", "a", true}, {"a1", "a", true}};
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(first, now);
  const bool is_sent_before = GENERATE(false, true);
  CAPTURE(is_sent_before);
  std::vector<OriginCopies::Batch> sent;
  const auto send = [&sent](const OriginCopies::Batch& batch) {
    sent.push_back(batch);
    return true;
  };
  REQUIRE(copies.AddFor("a0", "s", now + kLifetime, now));
  if (is_sent_before) copies.Flush(now, send);
  copies.Add("s", now + kLifetime, now);
  copies.SetHosts(both, now);
  copies.Flush(now, send);
  REQUIRE(sent.size() == 1);
  for (int i = 0; i < 2; ++i) {
    now += milliseconds(210);
    copies.Flush(now, send);
  }
  REQUIRE(sent.size() == 2);
  REQUIRE(sent[1].host == "a1");
  REQUIRE(sent[1].streams == std::vector<std::string>{"s"});
}

TEST_CASE("A host holds a stream once, and no more than its bound") {
  OriginCopyLimits limits;
  limits.copies_per_host = 5;
  OriginCopies copies("a", limits);
  const std::vector<CopyHost> hosts = {{"a0", "a", true}};
  const TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  REQUIRE(copies.AddFor("a0", "s", now + kLifetime, now));
  copies.Add("s", now + kLifetime, now);
  REQUIRE(copies.size() == 1);
  for (int i = 0; i < 10; ++i)
    copies.Add(std::to_string(i), now + kLifetime, now);
  REQUIRE(copies.size() == 11);
  REQUIRE(copies.waiting() == 6);
  REQUIRE_FALSE(copies.AddFor("a0", "t", now + kLifetime, now));
  std::vector<OriginCopies::Batch> sent;
  const auto send = [&sent](const OriginCopies::Batch& batch) {
    sent.push_back(batch);
    return true;
  };
  copies.Flush(now, send);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].streams.size() == 5);
  // It has missed a stream of those that it gets all of.
  REQUIRE_FALSE(copies.TakeBehind("a0", now));
  copies.OnAcknowledged("a0", sent[0].number, now);
  REQUIRE(copies.TakeBehind("a0", now));
  REQUIRE_FALSE(copies.TakeBehind("a0", now));
}

TEST_CASE("A message has no more copies, and bytes of ids, than its bounds") {
  const std::size_t id_bytes = GENERATE(10, 1000, 150'000);
  CAPTURE(id_bytes);
  const OriginCopyLimits limits;
  OriginCopies copies("a");
  const std::vector<CopyHost> hosts = {{"a0", "a", true}};
  const TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  constexpr std::size_t stream_count = 450;
  for (std::size_t i = 0; i < stream_count; ++i)
    copies.Add(std::to_string(i) + std::string(id_bytes, 'x'), now + kLifetime,
               now);
  std::size_t batches = 0;
  copies.Flush(now, [&](const OriginCopies::Batch& batch) {
    ++batches;
    std::size_t bytes = 0;
    for (const std::string& stream : batch.streams) bytes += stream.size();
    CHECK(batch.streams.size() <= limits.copies_per_batch);
    CHECK((batch.streams.size() == 1 || bytes <= limits.id_bytes_per_batch));
    return true;
  });
  CHECK(batches <= limits.batches_per_host);
}

// Guards against copies that are late again and again: a host that answers too
// late was used as soon as it had answered.
TEST_CASE("A host that answers late is used ever more rarely") {
  constexpr Duration lateness = milliseconds(400);
  OriginCopies copies("a");
  const std::vector<CopyHost> hosts = {{"b0", "b", true}};
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  std::vector<TimePoint> used_at;
  std::multimap<TimePoint, std::uint64_t> acknowledgements;
  const auto send = [&](const OriginCopies::Batch& batch) {
    if (!batch.streams.empty()) used_at.push_back(now);
    acknowledgements.emplace(now + lateness, batch.number);
    return true;
  };
  for (int i = 0; i < 40'000 / 20; ++i) {
    if (i % 5 == 0) copies.Add(std::to_string(i), now + kLifetime, now);
    while (!acknowledgements.empty() &&
           acknowledgements.begin()->first <= now) {
      copies.OnAcknowledged("b0", acknowledgements.begin()->second, now);
      acknowledgements.erase(acknowledgements.begin());
    }
    copies.Flush(now, send);
    now += milliseconds(20);
  }
  // Avoided for 1, 2, 4, 8 and 8 s, each after it has failed.
  std::size_t times = 0;
  std::optional<TimePoint> last;
  for (const TimePoint at : used_at) {
    if (!last || at - *last > seconds(1)) ++times;
    last = at;
  }
  CAPTURE(times);
  CHECK(times >= 3);
  CHECK(times <= 8);
}

TEST_CASE("The oldest waiting copies leave when there is no room") {
  OriginCopyLimits limits;
  limits.copies = 10;
  OriginCopies copies("a", limits);
  TimePoint now = TimePoint() + seconds(1);
  const std::vector<CopyHost> lost = {{"b0", "b", false}};
  copies.SetHosts(lost, now);
  for (int i = 0; i < 25; ++i)
    copies.Add(std::to_string(i), now + kLifetime, now);
  REQUIRE(copies.size() == 10);
  REQUIRE(copies.counts().left_out == 15);
  const std::vector<CopyHost> found = {{"b0", "b", true}};
  copies.SetHosts(found, now);
  std::vector<std::string> streams;
  copies.Flush(now, [&streams](const OriginCopies::Batch& batch) {
    streams = batch.streams;
    return true;
  });
  REQUIRE(streams.size() == 10);
  REQUIRE(streams.front() == "15");
}

// Guards against copies that were moved from one failed host to another that
// failed at the same time.
TEST_CASE("Copies of hosts that fail together move to a host that answers") {
  constexpr int host_count = 10;
  constexpr int stream_count = 60;
  OriginCopies copies("a");
  std::vector<CopyHost> hosts;
  hosts.reserve(host_count);
  for (int i = 0; i < host_count; ++i)
    hosts.push_back({"b" + std::to_string(i), "b", true});
  const std::string answering = hosts.back().address;
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  std::vector<OriginCopies::Batch> sent;
  const auto send = [&sent](const OriginCopies::Batch& batch) {
    sent.push_back(batch);
    return true;
  };
  for (int i = 0; i < stream_count; ++i)
    copies.Add(std::to_string(i), now + kLifetime, now);
  copies.Flush(now, send);
  for (const auto& batch : sent)
    if (batch.host == answering)
      copies.OnAcknowledged(batch.host, batch.number, now);
  const std::size_t unacknowledged = copies.size();
  REQUIRE(sent.size() > 3);
  now += milliseconds(200);
  copies.Flush(now, send);
  sent.clear();
  now += milliseconds(20);
  copies.Flush(now, send);
  REQUIRE(copies.counts().failures > 3);
  REQUIRE(copies.counts().redirected == unacknowledged);
  REQUIRE(copies.waiting() == 0);
  for (const auto& batch : sent)
    if (!batch.streams.empty()) REQUIRE(batch.host == answering);
}

// Guards against a process that stood still while it connected, and then took
// every host that it had a message for as failed.
TEST_CASE("A host is tried again before it counts as not connected") {
  const int failing_tries = GENERATE(0, 1, 100);
  CAPTURE(failing_tries);
  OriginCopies copies("a");
  const std::vector<CopyHost> hosts = {{"b0", "b", true}};
  TimePoint now = TimePoint() + seconds(1);
  copies.SetHosts(hosts, now);
  int left = 1;
  std::size_t streams = 0;
  std::uint64_t last = 0;
  const auto send = [&](const OriginCopies::Batch& batch) {
    if (left > 0) {
      --left;
      return false;
    }
    streams += batch.streams.size();
    last = batch.number;
    return true;
  };
  copies.Add("s", now + kLifetime, now);
  copies.Flush(now, send);
  now += milliseconds(500);
  left = failing_tries;
  for (int i = 0; i < 3; ++i) {
    copies.Flush(now, send);
    if (streams > 0) copies.OnAcknowledged("b0", last, now);
    now += milliseconds(20);
  }
  const bool is_connected = failing_tries < 2;
  REQUIRE(copies.counts().failures == (is_connected ? 0 : 1));
  REQUIRE(streams == (is_connected ? 1 : 0));
}

// Guards against a host that gets all streams and misses them as long as copies
// for a lost zone take all room.
TEST_CASE("Copies for a host that gets all streams displace waiting ones") {
  OriginCopyLimits limits;
  limits.copies = 10;
  OriginCopies copies("a", limits);
  const TimePoint now = TimePoint() + seconds(1);
  const std::vector<CopyHost> lost = {{"b0", "b", false}};
  copies.SetHosts(lost, now);
  for (int i = 0; i < 10; ++i)
    copies.Add(std::to_string(i), now + kLifetime, now);
  REQUIRE(copies.waiting() == 10);
  const std::vector<CopyHost> both = {{"a0", "a", true}, {"b0", "b", false}};
  copies.SetHosts(both, now);
  REQUIRE(copies.HasRoom("a0", now));
  REQUIRE(copies.AddFor("a0", "t", now + kLifetime, now));
  REQUIRE_FALSE(copies.TakeBehind("a0", now));
  REQUIRE(copies.size() == 10);
  REQUIRE(copies.waiting() == 9);
  REQUIRE(copies.counts().left_out == 1);
  for (int i = 0; i < 9; ++i)
    REQUIRE(copies.AddFor("a0", "t" + std::to_string(i), now + kLifetime, now));
  REQUIRE_FALSE(copies.AddFor("a0", "u", now + kLifetime, now));
  REQUIRE(copies.size() == 10);
}

// Guards against new origins from other hosts that were acknowledged and
// dropped once there was no room, though these hosts counted them as known.
TEST_CASE("A new origin from another host displaces what expires first") {
  constexpr std::size_t limit = 5;
  const StreamOrigin origin{ServiceId("service"), "1"};
  const TimePoint now = TimePoint() + seconds(1);
  StreamOrigins origins;
  for (int i = 0; i < 10; ++i)
    origins.Add("own" + std::to_string(i), origin, now + seconds(1));
  for (int i = 0; i < 5; ++i)
    REQUIRE(origins.AddFromOther("other" + std::to_string(i), origin,
                                 now + seconds(10 + i), limit));
  // A repeated origin takes no more room and is kept longer.
  REQUIRE(origins.AddFromOther("other0", origin, now + seconds(30), limit));
  REQUIRE_FALSE(origins.AddFromOther("new", origin, now + seconds(20), limit));
  REQUIRE(origins.Find("new", now) != nullptr);
  REQUIRE(origins.Find("other0", now) != nullptr);
  REQUIRE(origins.Find("other1", now) == nullptr);
  // Those that began here don't count, even if other hosts repeat them.
  REQUIRE(origins.AddFromOther("own0", origin, now + seconds(2), limit));
  REQUIRE(origins.size() == 15);
  // There is room again for what has expired.
  origins.RemoveExpired(now + seconds(12));
  REQUIRE(origins.size() == 4);
  REQUIRE(origins.AddFromOther("later", origin, now + seconds(40), limit));
  REQUIRE(origins.size() == 5);
}

// Guards against a zone that got none of its waiting copies since those of
// another took the budget, also for copies that had to wait on.
TEST_CASE("Zones share the budget for waiting copies") {
  OriginCopyLimits limits;
  limits.repeats_per_second = 0;
  limits.repeat_burst = 4;
  limits.copies_per_host = GENERATE(2, 1000);
  CAPTURE(limits.copies_per_host);
  OriginCopies copies("a", limits);
  const TimePoint now = TimePoint() + seconds(1);
  const std::vector<CopyHost> lost = {{"b0", "b", false}, {"c0", "c", false}};
  copies.SetHosts(lost, now);
  for (int i = 0; i < 6; ++i)
    copies.Add(std::to_string(i), now + kLifetime + milliseconds(i), now);
  REQUIRE(copies.waiting() == 12);
  const std::vector<CopyHost> found = {{"b0", "b", true}, {"c0", "c", true}};
  copies.SetHosts(found, now);
  std::map<std::string, std::size_t> sent;
  copies.Flush(now, [&sent](const OriginCopies::Batch& batch) {
    sent[batch.host] += batch.streams.size();
    return true;
  });
  REQUIRE(sent["b0"] == 2);
  REQUIRE(sent["c0"] == 2);
  REQUIRE(copies.waiting() == 8);
}

}  // namespace
}  // namespace lovagecleat::routing
