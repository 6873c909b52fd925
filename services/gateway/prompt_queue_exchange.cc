#include "services/gateway/prompt_queue_exchange.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Changes within this time are reported together.
constexpr Duration kReportDelay = milliseconds(5);
// Prompts that wait are reported again after this time, in case a message was
// lost or another host adds up now.
constexpr Duration kRepeatPeriod = milliseconds(1000);
// Servers of one message.
constexpr int kMaximumServers = 4096;
// A queue that is read within this time is not logged.
constexpr std::uint64_t kLoggedTokens = 60'000;

messages::PromptQueue ToMessage(const routing::PromptQueue& queue) {
  messages::PromptQueue message;
  message.set_server(queue.server.id.value());
  message.set_started_unix_ms(queue.server.started_unix_ms);
  message.set_tokens(queue.tokens);
  return message;
}

routing::PromptQueue FromMessage(const messages::PromptQueue& message) {
  return {{ServerId(message.server()), message.started_unix_ms()},
          message.tokens()};
}

}  // namespace

PromptQueueExchange::PromptQueueExchange(Context& context,
                                         ReachableCallback is_reachable,
                                         SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      send_(std::move(send)) {
  context_.prompt_queues.SetObserver([this] { ScheduleReport(); });
}

PromptQueueExchange::~PromptQueueExchange() {
  context_.prompt_queues.SetObserver(nullptr);
  for (const TimerId timer : {report_timer_, repeat_timer_, tell_timer_})
    context_.loop.Cancel(timer);
}

void PromptQueueExchange::SetHosts(std::vector<PeerHost> others) {
  others_ = std::move(others);
}

std::string PromptQueueExchange::KeeperOf(
    const routing::ServerEntry& server) const {
  const configuration::GatewaySettings& settings = context_.settings;
  std::vector<routing::BatchingHost> hosts{
      {settings.peers, settings.zone == server.zone, settings.processor_cores}};
  for (const PeerHost& host : others_)
    if (is_reachable_(host.address))
      hosts.push_back(
          {host.address, host.zone == server.zone, host.processor_cores});
  return std::string(
      routing::ChooseBatchingHost(StableHash(server.id.value()), hosts));
}

// A host without others knows its own prompts already.
void PromptQueueExchange::ScheduleReport() {
  if (others_.empty() || report_timer_.value() != 0) return;
  report_timer_ = context_.loop.After(kReportDelay, [this] {
    report_timer_ = TimerId{};
    Report();
  });
}

void PromptQueueExchange::Report() {
  const TimePoint now = context_.Now();
  std::map<std::string, messages::PromptQueues> reports;
  for (const ServerId& id : context_.prompt_queues.TakeChanged()) {
    const routing::ServerRecord* server = context_.directory.Find(id);
    open_.erase(id);
    if (server == nullptr) continue;
    if (server->pending_tokens > 0) open_.insert(id);
    const routing::PromptQueue own{{id, server->entry.started_unix_ms},
                                   server->pending_tokens};
    const std::string keeper = KeeperOf(server->entry);
    if (keeper == context_.settings.peers) {
      sums_.Report(keeper, own.server, own.tokens, now);
    } else {
      *reports[keeper].add_own() = ToMessage(own);
    }
  }
  for (const auto& [keeper, report] : reports) send_(keeper, report);
  ScheduleTell();
  if (open_.empty() || repeat_timer_.value() != 0) return;
  repeat_timer_ = context_.loop.After(kRepeatPeriod, [this] {
    repeat_timer_ = TimerId{};
    Repeat();
  });
}

void PromptQueueExchange::Repeat() {
  context_.prompt_queues.RemoveExpired(context_.Now());
  for (const ServerId& id : open_) context_.prompt_queues.OnOwnChange(id);
}

void PromptQueueExchange::OnMessage(const std::string& sender,
                                    const messages::PromptQueues& queues) {
  const TimePoint now = context_.Now();
  for (int i = 0; i < std::min(queues.own_size(), kMaximumServers); ++i) {
    const routing::PromptQueue queue = FromMessage(queues.own(i));
    sums_.Report(sender, queue.server, queue.tokens, now);
  }
  for (int i = 0; i < std::min(queues.sums_size(), kMaximumServers); ++i)
    context_.prompt_queues.OnTold(FromMessage(queues.sums(i)), now);
  if (queues.own_size() > 0) ScheduleTell();
}

void PromptQueueExchange::ScheduleTell() {
  const std::optional<TimePoint> due = sums_.NextDue();
  if (!due || tell_timer_.value() != 0) return;
  tell_timer_ = context_.loop.At(std::max(*due, context_.Now()), [this] {
    tell_timer_ = TimerId{};
    Tell();
  });
}

void PromptQueueExchange::Tell() {
  const TimePoint now = context_.Now();
  messages::PromptQueues told;
  for (const routing::PromptQueue& queue : sums_.TakeDue(now)) {
    context_.prompt_queues.OnTold(queue, now);
    *told.add_sums() = ToMessage(queue);
    context_.metrics.Count("lovagecleat_prompt_queues_told_total", {});
    if (queue.tokens < kLoggedTokens) continue;
    context_.log.Write(
        "prompt_queue", "",
        {{"server", queue.server.id.value()}, {"tokens", queue.tokens}});
  }
  if (told.sums_size() > 0)
    for (const PeerHost& host : others_)
      if (is_reachable_(host.address)) send_(host.address, told);
  // A queue that is not read as fast as expected is told again.
  if (const std::optional<TimePoint> due = sums_.NextDue())
    tell_timer_ = context_.loop.At(
        std::max(*due, now + routing::PromptQueueSums::kTellPeriod), [this] {
          tell_timer_ = TimerId{};
          Tell();
        });
}

}  // namespace lovagecleat::gateway
