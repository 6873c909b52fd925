#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "configuration/configuration.h"
#include "transport/transport.h"
#include "utilities/load/answer_check.h"
#include "utilities/load/balancer.h"
#include "utilities/load/results.h"
#include "utilities/load/workload.h"

namespace lovagecleat::load {

struct RunSettings {
  std::vector<std::string> hosts;  // "127.0.0.1:17001"
  double scale = 1.0;
  std::uint64_t seed = 1;
  std::size_t maximum_requests = 0;
};

// Sends the planned requests at their times, whatever the answers do, and
// times each from when it was due, so that a delay here or at a host counts.
class Runner {
 public:
  Runner(transport::Loop& loop, const Workload& workload,
         const RunSettings& settings,
         const configuration::Configuration& targets);

  void Start(std::function<void()> on_finished);
  // Called each second with the time since the start.
  void OnProgress(std::function<void(Duration)> callback);

  const std::vector<Sample>& samples() const { return samples_; }
  std::size_t open() const { return open_; }

 private:
  void SendDue();
  void Send(std::size_t index);
  transport::HttpRequest RequestFor(std::size_t index, Sample& sample);
  void TakeFinished(std::size_t index, const transport::HttpResponse& response);
  void FinishIfDone();
  void Report();
  Duration SinceStart() const;

  transport::Loop& loop_;
  transport::HttpClient client_;
  Balancer balancer_;
  const Workload& workload_;
  RunSettings settings_;
  const configuration::Configuration& targets_;
  std::vector<Arrival> arrivals_;
  std::vector<Sample> samples_;
  std::vector<std::unique_ptr<AnswerCheck>> checks_;
  std::size_t next_ = 0;
  std::size_t open_ = 0;
  TimePoint start_{};
  std::function<void()> on_finished_;
  std::function<void(Duration)> on_progress_;
};

}  // namespace lovagecleat::load
