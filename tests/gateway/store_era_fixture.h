#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {

inline std::string MakeConfiguration(std::uint64_t version,
                                     const std::string& route = "r") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":")" + route +
         R"(","host":"h","prefix":"/","kind":"safe","timeoutMs":800,)"
         R"("goalMs":300,"attempts":2,"service":"s"}],)"
         R"("services":[{"name":"s","healthPath":"/h","maxConns":9}]})";
}

inline std::string MakeServer(int sequence, bool is_draining, int born = 1) {
  return R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,)"
         R"("state":")" +
         std::string(is_draining ? "draining" : "ready") + R"(","seq":)" +
         std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

// Reaches the common store from one host: it may be cut off, and its responses
// may be held back.
//
// Without WaitForChanges, reads that follow a table complete at once.
class StoreView final : public RowSource {
 public:
  explicit StoreView(FakeRowSource& store) : store_(store) {}

  std::vector<std::string> tables() const override { return store_.tables(); }
  RowSubject SubjectOf(const routing::Row& row) const override {
    return store_.SubjectOf(row);
  }
  void ReadAll(const std::string& table, Callback callback) override {
    ++full_reads;
    if (is_cut) return callback({});
    if (IsSilent(table)) return;
    store_.ReadAll(table, Deliver(std::move(callback)));
  }
  void Follow(const std::string& table, routing::RowVersion version,
              Duration wait, Callback callback) override {
    if (is_cut) return callback({});
    if (waiting_loop_ != nullptr)
      return Wait(table, version, wait, std::move(callback));
    store_.Follow(table, version, wait, Deliver(std::move(callback)));
  }
  void WriteHost(const HostId& host, std::string value,
                 std::function<void(bool)> callback) override {
    store_.WriteHost(host, std::move(value), std::move(callback));
  }

  void WriteContentBlock(const std::string& part, std::string value,
                         std::function<void(bool)> callback) override {
    if (is_cut) return callback(false);
    store_.WriteContentBlock(part, std::move(value), std::move(callback));
  }
  void RemoveContentBlock(const std::string& part) override {
    if (!is_cut) store_.RemoveContentBlock(part);
  }

  void ReadStreamOrigins(Callback callback) override {
    if (is_cut) return callback({});
    store_.ReadStreamOrigins(std::move(callback));
  }
  void WriteStreamOrigins(const HostId& host, std::string value,
                          std::function<void(bool)> callback) override {
    if (is_cut) return callback(false);
    store_.WriteStreamOrigins(host, std::move(value), std::move(callback));
  }
  void ReadRolloutStatus(
      const ServiceId& service,
      std::function<void(std::optional<RolloutStatusRow>)> callback) override {
    if (is_cut) return callback(std::nullopt);
    store_.ReadRolloutStatus(service, std::move(callback));
  }
  void WriteRolloutStatus(
      const routing::RolloutStatusWrite& write,
      std::function<void(RolloutStatusResult)> callback) override {
    if (is_cut) return callback({});
    store_.WriteRolloutStatus(write, std::move(callback));
  }
  std::optional<Duration> StoreTime() const override {
    return store_.StoreTime();
  }

  // Makes reads that follow a table wait for a change, as the store does.
  void WaitForChanges(transport::Loop& loop) { waiting_loop_ = &loop; }

  // Completes the calls whose responses were held back.
  void Release() {
    is_holding = false;
    for (const auto& deliver : std::exchange(held_, {})) deliver();
  }

  bool is_cut = false;       // calls are refused
  bool is_silent = false;    // calls get no response
  std::string silent_table;  // nor do those for this table
  bool is_holding = false;
  int full_reads = 0;

 private:
  static constexpr Duration kWaitStep = std::chrono::milliseconds(10);

  bool IsSilent(const std::string& table) const {
    return is_silent || table == silent_table;
  }

  void Wait(const std::string& table, routing::RowVersion version,
            Duration wait, Callback callback) {
    if (is_cut) return callback({});
    if (IsSilent(table)) return;
    RowsResponse response;
    store_.Follow(table, version, wait, [&response](RowsResponse received) {
      response = std::move(received);
    });
    const bool is_unchanged =
        response.status == RowsResponse::Status::kRead && response.rows.empty();
    if (!is_unchanged || wait <= Duration::zero())
      return Deliver(std::move(callback))(std::move(response));
    waiting_loop_->After(kWaitStep, [this, table, version, wait,
                                     callback = std::move(callback)] {
      Wait(table, version, wait - kWaitStep, callback);
    });
  }

  Callback Deliver(Callback callback) {
    if (!is_holding) return callback;
    return
        [this, callback = std::move(callback)](const RowsResponse& response) {
          held_.push_back([callback, response] { callback(response); });
        };
  }

  FakeRowSource& store_;
  transport::Loop* waiting_loop_ = nullptr;
  std::vector<std::function<void()>> held_;
};

// One host without a gateway: what is in force there follows from the rows that
// its follower applies.
class Host {
 public:
  Host(transport::Loop& loop, const Clock& clock, FakeRowSource& store)
      : view(store),
        log_(clock, "host", -1),
        poller_(loop),
        pool_(poller_),
        context_{loop,
                 codec_,
                 {},
                 log_,
                 metrics_,
                 poller_,
                 pool_,
                 Random(1),
                 {},
                 routing::SendLimiter(HostId("host")),
                 routing::ServerLimits(HostId("host")),
                 {},
                 policy::RetryBudget(),
                 nullptr,
                 1},
        follower(context_, view,
                 [this](const routing::Row& row, RowOrigin origin) {
                   Apply(row, origin);
                 }) {
    follower.SetFeedCallback([this](std::span<const TableChanges> changes) {
      fed.emplace_back(changes.begin(), changes.end());
    });
  }

  void Start() {
    is_started = true;
    follower.Start();
  }

  bool IsEvacuated(const std::string& zone) const {
    return evacuated.contains(zone);
  }
  // Returns null for a server that is not in use.
  const routing::ServerEntry* FindServer(const std::string& id) const {
    const auto expiry = expires_at_.find(id);
    if (expiry != expires_at_.end() && expiry->second <= context_.Now())
      return nullptr;
    const auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
  }
  bool IsDraining(const std::string& id) const {
    const routing::ServerEntry* entry = FindServer(id);
    return entry != nullptr && entry->is_draining;
  }
  std::string metrics_text() const { return metrics_.PrometheusText(); }

  StoreView view;
  bool is_started = false;
  std::uint64_t configuration_version = 0;
  std::string configuration;
  bool has_regressed = false;  // an older configuration came into force
  std::set<std::string> evacuated;
  std::map<std::string, routing::ServerEntry> servers;
  std::set<std::string> hosts;
  std::vector<std::vector<TableChanges>> fed;

 private:
  void Apply(const routing::Row& row, RowOrigin origin) {
    const RowSubject subject = view.SubjectOf(row);
    switch (subject.kind) {
      case RowSubject::Kind::kRouting: {
        const auto table = codec_.ReadRouting(row.value);
        if (row.is_removed || !table) return;
        has_regressed |= table->version < configuration_version;
        configuration_version = table->version;
        configuration = row.value;
        return;
      }
      case RowSubject::Kind::kEvacuation:
        if (row.is_removed) {
          evacuated.erase(subject.name);
        } else {
          evacuated.insert(subject.name);
        }
        return;
      case RowSubject::Kind::kServer: {
        if (row.is_removed) {
          if (origin == RowOrigin::kStoreAfterOutage) {
            expires_at_[row.key] = *follower.removals_held_until();
          } else {
            servers.erase(row.key);
          }
          return;
        }
        const auto entry = codec_.ReadServer(row.key, row.value);
        REQUIRE(entry);
        servers.insert_or_assign(row.key, *entry);
        expires_at_.erase(row.key);
        return;
      }
      case RowSubject::Kind::kHost:
        if (row.is_removed) {
          hosts.erase(row.key);
        } else {
          hosts.insert(row.key);
        }
        return;
      case RowSubject::Kind::kRollout:
      case RowSubject::Kind::kContentBlock:
      case RowSubject::Kind::kOther:
        return;
    }
  }

  // Of servers that were removed just after an outage.
  std::map<std::string, TimePoint> expires_at_;
  platform_adapter::PlatformMessageCodec codec_;
  logging::EventLog log_;
  metrics::Registry metrics_;
  http::Poller poller_;
  http::ConnectionPool pool_;
  Context context_;

 public:
  RowFollower follower;
};

class StoreEraFixture {
 public:
  StoreEraFixture() : host(loop_, clock_, store), other(loop_, clock_, store) {}
  ~StoreEraFixture() { loop_.DestroyPending(); }

  void RunFor(Duration time) {
    for (Duration step = std::chrono::milliseconds(10); time > Duration::zero();
         time -= step) {
      clock_.Advance(step);
      loop_.RunDueTimers();
    }
  }

  FakeRowSource store;

 protected:
  ManualClock clock_;
  transport::Loop loop_{clock_};

 public:
  Host host;
  Host other;
};

}  // namespace lovagecleat::gateway
