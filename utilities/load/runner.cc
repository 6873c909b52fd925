#include "utilities/load/runner.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::load {

namespace {

using Json = nlohmann::json;

// Longer than the longest deadline of a request.
constexpr Duration kAnswerTimeout = std::chrono::seconds(13);
constexpr Duration kProgressInterval = std::chrono::seconds(1);

std::string MarkerOf(std::uint64_t seed, std::size_t index) {
  return "m" + std::to_string(seed) + "-" + std::to_string(index) + ".";
}

}  // namespace

Runner::Runner(transport::Loop& loop, const Workload& workload,
               const RunSettings& settings,
               const configuration::Configuration& targets)
    : loop_(loop),
      client_(loop),
      balancer_(loop, client_, settings.hosts),
      workload_(workload),
      settings_(settings),
      targets_(targets),
      arrivals_(PlanArrivals(workload, settings.scale, settings.seed,
                             settings.maximum_requests)),
      samples_(arrivals_.size()),
      checks_(arrivals_.size()) {}

void Runner::Start(std::function<void()> on_finished) {
  on_finished_ = std::move(on_finished);
  start_ = loop_.clock().Now();
  balancer_.Start();
  ReportProgress();
  SendDue();
}

void Runner::OnProgress(std::function<void(Duration)> callback) {
  on_progress_ = std::move(callback);
}

Duration Runner::SinceStart() const { return loop_.clock().Now() - start_; }

void Runner::SendDue() {
  while (next_ < arrivals_.size() && arrivals_[next_].at <= SinceStart()) {
    Send(next_);
    ++next_;
  }
  if (next_ < arrivals_.size()) {
    loop_.At(start_ + arrivals_[next_].at, [this] { SendDue(); });
  }
  FinishIfDone();
}

void Runner::Send(std::size_t index) {
  Sample& sample = samples_[index];
  const Arrival& arrival = arrivals_[index];
  const ClassLoad& load = workload_.classes[arrival.class_index];
  sample.class_index = arrival.class_index;
  sample.team_index = arrival.team_index;
  sample.intended = arrival.at;
  if (const auto* request_class = targets_.FindClass(load.id)) {
    sample.target =
        TargetAt(*request_class, loop_.clock().WallNow(), targets_.utc_offset);
  }
  checks_[index] = std::make_unique<AnswerCheck>(
      MarkerOf(settings_.seed, index), load.delivery);
  ++open_requests_;
  client_.Start(
      BuildRequest(index, sample),
      [this, index](const transport::HttpResponse& response) {
        FinishRequest(index, response);
      },
      [this, index](const transport::ServerSentEvent& event) {
        Sample& one = samples_[index];
        one.latency = SinceStart() - one.intended;
        checks_[index]->HandleEvent(event, one.latency, one);
      });
}

transport::HttpRequest Runner::BuildRequest(std::size_t index, Sample& sample) {
  const Arrival& arrival = arrivals_[index];
  const ClassLoad& load = workload_.classes[arrival.class_index];
  const std::string marker = MarkerOf(settings_.seed, index);
  transport::HttpRequest request;
  request.address = balancer_.NextAddress();
  request.path = "/v1/requests";
  request.first_byte_timeout = kAnswerTimeout;
  request.progress_timeout = kAnswerTimeout;
  request.headers["Content-Type"] = "application/json";
  if (load.delivery == Delivery::kStream) {
    request.headers["Accept"] = "text/event-stream";
  }
  if (load.key == KeyUse::kUnique) {
    sample.key = "load-" + marker;
    request.headers["Idempotency-Key"] = sample.key;
  }
  const Json input = {
      {"text", "request " + marker},
      {"marker", marker},
      {"context", "context " + std::to_string(arrival.context)}};
  request.body = Json{
      {"class", load.id.value()},
      {"team", workload_.teams[arrival.team_index].id.value()},
      {"input",
       input}}.dump();
  sample.target_host = request.address;
  return request;
}

void Runner::FinishRequest(std::size_t index,
                           const transport::HttpResponse& response) {
  Sample& sample = samples_[index];
  // The latency of a streamed answer was set at its last event.
  if (sample.outcome == Outcome::kPending) {
    sample.latency = SinceStart() - sample.intended;
  }
  checks_[index]->HandleResponse(response, sample);
  checks_[index].reset();
  --open_requests_;
  FinishIfDone();
}

void Runner::FinishIfDone() {
  if (next_ < arrivals_.size() || open_requests_ > 0 || !on_finished_) return;
  balancer_.Stop();
  std::exchange(on_finished_, nullptr)();
}

void Runner::ReportProgress() {
  if (on_progress_) on_progress_(SinceStart());
  loop_.After(kProgressInterval, [this] { ReportProgress(); });
}

}  // namespace lovagecleat::load
