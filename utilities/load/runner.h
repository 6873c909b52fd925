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

// Sends the planned requests at their intended times without waiting for
// answers (open loop). Latencies count from the intended send time, so that
// they include delays of the load generator and of the hosts.
class Runner {
 public:
  Runner(transport::Loop& loop, const Workload& workload,
         const RunSettings& settings,
         const configuration::Configuration& targets);

  void Start(std::function<void()> on_finished);
  // Sets a callback that is called each second with the time since the start.
  void OnProgress(std::function<void(Duration)> callback);

  const std::vector<Sample>& samples() const { return samples_; }
  std::size_t open_requests() const { return open_requests_; }

 private:
  void SendDue();
  void Send(std::size_t index);
  transport::HttpRequest BuildRequest(std::size_t index, Sample& sample);
  void FinishRequest(std::size_t index,
                     const transport::HttpResponse& response);
  void FinishIfDone();
  void ReportProgress();
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
  std::size_t open_requests_ = 0;
  TimePoint start_{};
  std::function<void()> on_finished_;
  std::function<void(Duration)> on_progress_;
};

}  // namespace lovagecleat::load
