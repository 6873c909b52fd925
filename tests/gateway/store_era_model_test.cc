#include <catch2/catch.hpp>
#include <sstream>

#include "tests/gateway/store_era_fixture.h"
#include "tests/policy/property.h"

// Two hosts of one zone beside a store that is restored, cut off and slow, and
// owners that write again what a restore has lost.
namespace lovagecleat::gateway {
namespace {

using routing::RowVersion;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);
constexpr int kMaxRunSteps = 40;
constexpr int kServers = 3;
constexpr int kZones = 2;
constexpr Duration kHeartbeatPeriod = milliseconds(1200);
// Operators write again within this time after the store's return.
constexpr Duration kOperatorRewriteTime = milliseconds(4000);
// After that time without further faults the hosts know what the store has.
constexpr Duration kFinalTime = milliseconds(16000);
constexpr Duration kPeerFetchPeriod = milliseconds(460);
// A copy that is restored is at most this many saved ones old.
constexpr std::size_t kMaxCopies = 3;

std::string ServerName(int number) { return "s" + std::to_string(number); }
std::string EvacuationKey(int zone) {
  return "evacuate/z" + std::to_string(zone);
}

class Simulation {
 public:
  explicit Simulation(tests::Choices choices)
      : choices_(std::move(choices)),
        hosts_{std::make_unique<Host>(loop_, clock_, store_),
               std::make_unique<Host>(loop_, clock_, store_)} {
    WriteConfiguration();
    for (int i = 0; i < kServers; ++i) WriteServer(i);
    SaveCopy();
    hosts_[1]->follower.SetRank(1);
  }

  void Run() {
    // The store may change before the first read.
    bool is_started = false;
    const auto start = [&] {
      if (std::exchange(is_started, true)) return;
      for (const auto& host : hosts_)
        if (!host->is_started) host->Start();
    };
    if (choices_.Below(4) != 0) start();
    while (!choices_.IsExhausted()) {
      Act();
      if (choices_.Below(8) != 0) start();
      RunSteps(1 + choices_.Below(kMaxRunSteps));
    }
    start();
    EndFaults();
    RunSteps(static_cast<int>(kFinalTime / kStep));
    CheckEqual();
  }

 private:
  // What a server says of itself.
  struct Server {
    int born = 1;
    int sequence = 0;
    bool is_draining = false;
    bool has_left = false;
    RowVersion acknowledged;  // of the newest drain
  };
  struct Zone {
    bool is_evacuated = false;
    RowVersion acknowledged;
  };

  bool IsStoreUp() const {
    return store_.status == RowsResponse::Status::kRead;
  }

  void Act() {
    const int action = choices_.Below(16);
    const int server = choices_.Below(kServers);
    const int zone = choices_.Below(kZones);
    const auto host = static_cast<std::size_t>(choices_.Below(2));
    switch (action) {
      case 0:
        return WriteConfiguration();
      case 1:
      case 2:
        return ToggleEvacuation(zone);
      case 3:
        return WriteServer(server);
      case 4:
      case 5:
        return DrainServer(server);
      case 6:
        return RestartServer(server);
      case 7:
        return RemoveServer(server);
      case 8:
        return SaveCopy();
      case 9:
      case 10:
        return Restore();
      case 11:
        hosts_[host]->view.is_cut = !hosts_[host]->view.is_cut;
        return;
      case 12:
        is_feed_lost_ = !is_feed_lost_;
        return;
      case 13:
        return RestartHost(host);
      case 14:
        if (hosts_[host]->view.is_holding) {
          hosts_[host]->view.Release();
        } else {
          hosts_[host]->view.is_holding = true;
        }
        return;
      default:
        store_.status = IsStoreUp() ? RowsResponse::Status::kUnavailable
                                    : RowsResponse::Status::kRead;
        return;
    }
  }

  // The new process knows nothing of before.
  void RestartHost(std::size_t number) {
    hosts_[number] = std::make_unique<Host>(loop_, clock_, store_);
    hosts_[number]->follower.SetRank(number);
    hosts_[number]->Start();
    for (int zone = 0; zone < kZones; ++zone)
      knows_evacuation_.erase({number, zone});
    for (int server = 0; server < kServers; ++server) {
      drained_born_.erase({number, server});
      newest_born_.erase({number, server});
    }
  }

  // --- The owners of the rows -----------------------------------------------

  void WriteConfiguration() {
    if (!IsStoreUp()) return;
    configuration_ = MakeConfiguration(++configuration_version_);
    store_.Set("op", "config", configuration_);
  }

  void ToggleEvacuation(int number) {
    if (!IsStoreUp()) return;
    Zone& zone = zones_[number];
    zone.is_evacuated = !zone.is_evacuated;
    WriteZone(number);
  }

  void WriteZone(int number) {
    Zone& zone = zones_[number];
    if (zone.is_evacuated) {
      store_.Set("op", EvacuationKey(number), "");
      zone.acknowledged = store_.newest_version();
    } else {
      store_.Remove("op", EvacuationKey(number));
    }
  }

  void WriteServer(int number) {
    if (!IsStoreUp()) return;
    Server& server = servers_[number];
    if (server.has_left) {
      store_.Remove("servers", ServerName(number));
      return;
    }
    ++server.sequence;
    store_.Set("servers", ServerName(number),
               MakeServer(server.sequence, server.is_draining, server.born));
    if (server.is_draining) server.acknowledged = store_.newest_version();
  }

  void DrainServer(int number) {
    if (!IsStoreUp() || servers_[number].has_left) return;
    servers_[number].is_draining = true;
    WriteServer(number);
  }

  void RestartServer(int number) {
    if (!IsStoreUp()) return;
    servers_[number] = {servers_[number].born + 1, 0, false, false, {}};
    WriteServer(number);
  }

  void RemoveServer(int number) {
    if (!IsStoreUp()) return;
    servers_[number].has_left = true;
    WriteServer(number);
  }

  void SaveCopy() {
    copies_.push_back(store_.Save());
    if (copies_.size() > kMaxCopies) copies_.erase(copies_.begin());
  }

  void Restore() {
    const auto chosen = static_cast<std::size_t>(
        choices_.Below(static_cast<int>(copies_.size())));
    const FakeRowSource::Copy copy = copies_[chosen];
    store_.status = RowsResponse::Status::kUnavailable;
    RunSteps(1 + choices_.Below(kMaxRunSteps));
    store_.Restore(copy);
    store_.status = RowsResponse::Status::kRead;
    StartRewriting();
  }

  void StartRewriting() {
    operators_write_at_ =
        clock_.Now() + kOperatorRewriteTime * (1 + choices_.Below(10)) / 10;
  }

  void Rewrite() {
    if (!IsStoreUp()) return;
    const TimePoint now = clock_.Now();
    if (servers_write_at_ <= now) {
      servers_write_at_ = now + kHeartbeatPeriod;
      for (int i = 0; i < kServers; ++i)
        if (!servers_[i].has_left ||
            store_.Find("servers", ServerName(i)) != nullptr)
          WriteServer(i);
    }
    if (operators_write_at_ && *operators_write_at_ <= now) {
      operators_write_at_.reset();
      const routing::Row* row = store_.Find("op", "config");
      if (row == nullptr || row->value != configuration_)
        store_.Set("op", "config", configuration_);
      for (int i = 0; i < kZones; ++i)
        if ((store_.Find("op", EvacuationKey(i)) != nullptr) !=
            zones_[i].is_evacuated)
          WriteZone(i);
    }
  }

  // --- Time -----------------------------------------------------------------

  void RunSteps(int steps) {
    for (; steps > 0; --steps) {
      clock_.Advance(kStep);
      loop_.RunDueTimers();
      Rewrite();
      Exchange();
      Check();
    }
  }

  // Delivers feeds, and rows to a host that cannot read the store.
  void Exchange() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& sender = *hosts_[i];
      Host& receiver = *hosts_[1 - i];
      const auto feeds = std::exchange(sender.fed, {});
      if (!is_feed_lost_)
        for (const auto& feed : feeds) receiver.follower.ApplyFeed(feed);
    }
    if (clock_.Now() - fetched_at_ < kPeerFetchPeriod) return;
    fetched_at_ = clock_.Now();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      RowFollower& receiver = hosts_[i]->follower;
      if (!receiver.is_store_unavailable()) continue;
      const std::vector<routing::Row> rows =
          hosts_[1 - i]->follower.replica().NewerThan(receiver.known_version());
      receiver.MergeFromPeer(rows);
    }
  }

  void EndFaults() {
    is_feed_lost_ = false;
    store_.status = RowsResponse::Status::kRead;
    for (const auto& host : hosts_) {
      host->view.is_cut = false;
      host->view.Release();
    }
  }

  // --- Invariants -----------------------------------------------------------

  void Check() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = *hosts_[i];
      if (host.has_regressed) Fail(i, "an older configuration is in force");
      for (int zone = 0; zone < kZones; ++zone) CheckZone(i, zone);
      for (int server = 0; server < kServers; ++server) CheckServer(i, server);
    }
  }

  // Returns whether the host has read what was acknowledged under `version`.
  static bool Knows(const Host& host, const std::string& table,
                    const std::string& key, const RowVersion& version) {
    const routing::Row* row = host.follower.replica().Find(table, key);
    return row != nullptr && !row->is_removed && row->version == version;
  }

  void CheckZone(std::size_t i, int number) {
    const Zone& zone = zones_[number];
    bool& is_known = knows_evacuation_[{i, number}];
    if (!zone.is_evacuated) {
      is_known = false;
      return;
    }
    const bool is_in_force =
        hosts_[i]->IsEvacuated("z" + std::to_string(number));
    if (is_known && !is_in_force)
      Fail(i, "an evacuation was lifted: " + EvacuationKey(number));
    is_known |=
        Knows(*hosts_[i], "op", EvacuationKey(number), zone.acknowledged);
  }

  void CheckServer(std::size_t i, int number) {
    const Server& server = servers_[number];
    const routing::ServerEntry* entry =
        hosts_[i]->FindServer(ServerName(number));
    std::uint64_t& born = newest_born_[{i, number}];
    if (entry != nullptr) {
      if (entry->started_unix_ms < born)
        Fail(i, "an earlier incarnation is used: " + ServerName(number));
      born = entry->started_unix_ms;
    }
    int& drained_born = drained_born_[{i, number}];
    if (entry != nullptr && !entry->is_draining &&
        entry->started_unix_ms == static_cast<std::uint64_t>(drained_born))
      Fail(i, "a drain was ended: " + ServerName(number));
    if (server.is_draining && !server.has_left &&
        Knows(*hosts_[i], "servers", ServerName(number), server.acknowledged))
      drained_born = server.born;
  }

  void CheckEqual() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const Host& host = *hosts_[i];
      if (host.configuration != configuration_)
        Fail(i, "another configuration than the newest is in force");
      if (host.follower.known_version().era() != store_.newest_version().era())
        Fail(i, "the newest era was not read");
      for (int zone = 0; zone < kZones; ++zone)
        if (host.IsEvacuated("z" + std::to_string(zone)) !=
            zones_[zone].is_evacuated)
          Fail(i, "differs from the store: " + EvacuationKey(zone));
      for (int number = 0; number < kServers; ++number) {
        const Server& server = servers_[number];
        const routing::ServerEntry* entry = host.FindServer(ServerName(number));
        const bool is_equal =
            server.has_left ? entry == nullptr
                            : entry != nullptr &&
                                  entry->is_draining == server.is_draining &&
                                  entry->started_unix_ms ==
                                      static_cast<std::uint64_t>(server.born);
        if (!is_equal) Fail(i, "differs from the store: " + ServerName(number));
      }
    }
  }

  static void Fail(std::size_t host, const std::string& text) {
    RC_FAIL("host " + std::to_string(host) + ": " + text);
  }

  tests::Choices choices_;
  ManualClock clock_;
  transport::Loop loop_{clock_};
  FakeRowSource store_;
  std::array<std::unique_ptr<Host>, 2> hosts_;
  std::uint64_t configuration_version_ = 0;
  std::string configuration_;
  std::array<Server, kServers> servers_;
  std::array<Zone, kZones> zones_;
  std::vector<FakeRowSource::Copy> copies_;
  TimePoint servers_write_at_{};
  std::optional<TimePoint> operators_write_at_;
  TimePoint fetched_at_{};
  bool is_feed_lost_ = false;
  // By host and number of the zone or server.
  std::map<std::pair<std::size_t, int>, bool> knows_evacuation_;
  std::map<std::pair<std::size_t, int>, int> drained_born_;
  std::map<std::pair<std::size_t, int>, std::uint64_t> newest_born_;
};

TEST_CASE("No series of restores takes back what was acknowledged") {
  tests::RequireProperty({.seed = 22, .count = 2000, .maximum_size = 120}, [] {
    Simulation(tests::Choices(*tests::AnyChoices())).Run();
  });
}

// Takes about an hour; run by hand by its name.
TEST_CASE("No long series of restores takes back what was acknowledged",
          "[.]") {
  tests::RequireProperty(
      {.seed = 23, .count = 600000, .maximum_size = 200},
      [] { Simulation(tests::Choices(*tests::AnyChoices())).Run(); });
}

}  // namespace
}  // namespace lovagecleat::gateway
