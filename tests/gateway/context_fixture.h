#pragma once

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {

// The state that parts of a gateway share, without a gateway.
class ContextFixture : public transport::LoopFixture {
 public:
  ContextFixture()
      : log_(clock_, "host", -1),
        poller_(loop()),
        pool_(poller_),
        context{loop(),
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
                1} {}

  void RunFor(Duration time) {
    const TimePoint until = clock_.Now() + time;
    RunUntil([&] { return clock_.Now() >= until; });
  }

 private:
  SystemClock clock_;
  platform_adapter::PlatformMessageCodec codec_;
  logging::EventLog log_;
  metrics::Registry metrics_;
  http::Poller poller_;
  http::ConnectionPool pool_;

 public:
  Context context;
  FakeRowSource rows;
};

}  // namespace lovagecleat::gateway
