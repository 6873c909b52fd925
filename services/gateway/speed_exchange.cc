#include "services/gateway/speed_exchange.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

constexpr Duration kSendPeriod = std::chrono::seconds(1);
// Hosts that one message goes to; a larger zone is reached over several.
constexpr std::size_t kMaximumReceivers = 40;
// Samples that this host adds to a message in one period.
constexpr std::size_t kMaximumSamples = 256;
// Samples that are read of a message. The outbox keeps up to three periods for
// a host that can't be sent to.
constexpr int kMaximumReceivedSamples = 1024;
// Period of the log lines, and of the metrics.
constexpr Duration kShowPeriod = std::chrono::seconds(10);

}  // namespace

SpeedExchange::SpeedExchange(Context& context, ReachableCallback is_reachable,
                             Outbox::SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      // A host that missed samples learns from the next ones.
      outbox_(context.loop, is_reachable_, std::move(send),
              [](messages::ServerSpeeds&) { return false; }) {
  timer_ = context_.loop.After(kSendPeriod, [this] { Tick(); });
}

SpeedExchange::~SpeedExchange() { context_.loop.Cancel(timer_); }

void SpeedExchange::SetHosts(std::vector<std::string> others_in_zone) {
  hosts_in_zone_ = std::move(others_in_zone);
}

// The jitter spreads the messages of hosts that started together.
void SpeedExchange::Tick() {
  Send();
  if (context_.Now() - shown_at_ >= kShowPeriod) ShowEstimates();
  timer_ = context_.loop.After(context_.random.Jitter(kSendPeriod, 0.1),
                               [this] { Tick(); });
}

void SpeedExchange::Send() {
  const std::vector<routing::SpeedSample> samples =
      context_.speeds.TakeObserved(kMaximumSamples);
  messages::ServerSpeeds speeds;
  for (const routing::SpeedSample& sample : samples) {
    messages::ServerSpeedSample& copy = *speeds.add_samples();
    copy.set_server(sample.server.id.value());
    copy.set_started_unix_ms(sample.server.started_unix_ms);
    copy.set_kind(static_cast<std::uint32_t>(sample.kind));
    copy.set_log_ratio(sample.log_ratio);
    copy.set_count(sample.count);
  }
  if (speeds.samples_size() == 0) return;
  for (const std::string& peer : ChooseReachable(
           hosts_in_zone_, is_reachable_, kMaximumReceivers, context_.random))
    outbox_.To(peer).MergeFrom(speeds);
  outbox_.FlushNow();
}

void SpeedExchange::OnMessage(const messages::ServerSpeeds& speeds) {
  const int count = std::min(speeds.samples_size(), kMaximumReceivedSamples);
  for (int i = 0; i < count; ++i) {
    const messages::ServerSpeedSample& copy = speeds.samples(i);
    const routing::ServerRecord* server =
        context_.directory.Find(ServerId(copy.server()));
    if (server == nullptr ||
        server->entry.started_unix_ms != copy.started_unix_ms() ||
        copy.kind() >= routing::kWorkKinds)
      continue;
    context_.speeds.Merge({server->entry.service, server->entry.incarnation(),
                           static_cast<routing::WorkKind>(copy.kind()),
                           copy.log_ratio(), copy.count()},
                          context_.Now());
  }
}

// Even servers need no line.
void SpeedExchange::ShowEstimates() {
  shown_at_ = context_.Now();
  for (const routing::SpeedSummary& summary :
       context_.speeds.Summaries(context_.Now())) {
    const std::string& service = summary.service.value();
    const auto set = [&](const char* quantile, double slowness) {
      context_.metrics.SetGauge("lovagecleat_server_slowness",
                                {{"service", service}, {"quantile", quantile}},
                                slowness);
    };
    set("0", summary.lowest);
    set("0.5", summary.median);
    set("1", summary.highest);
    context_.metrics.SetGauge("lovagecleat_slow_servers",
                              {{"service", service}},
                              static_cast<double>(summary.below_half));
    if (summary.lowest == summary.highest) continue;
    context_.log.Write("server_speeds", "",
                       {{"service", service},
                        {"servers", summary.servers},
                        {"lowest", summary.lowest},
                        {"median", summary.median},
                        {"highest", summary.highest},
                        {"slow_servers", summary.below_half}});
  }
}

}  // namespace lovagecleat::gateway
