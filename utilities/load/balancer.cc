#include "utilities/load/balancer.h"

#include <cassert>
#include <utility>

namespace lovagecleat::load {

namespace {
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;
}  // namespace

Balancer::Balancer(transport::Loop& loop, transport::HttpClient& client,
                   std::vector<std::string> addresses)
    : loop_(loop), client_(client) {
  assert(!addresses.empty());
  for (std::string& address : addresses) {
    hosts_.push_back(Host{std::move(address), Readiness::kReady});
  }
}

void Balancer::Start() {
  is_running_ = true;
  for (std::size_t i = 0; i < hosts_.size(); ++i) Probe(i);
}

void Balancer::Stop() { is_running_ = false; }

const std::string& Balancer::NextAddress() {
  for (std::size_t tried = 0; tried < hosts_.size(); ++tried) {
    next_ = (next_ + 1) % hosts_.size();
    if (hosts_[next_].readiness == Readiness::kReady) break;
  }
  return hosts_[next_].address;
}

void Balancer::Probe(std::size_t index) {
  if (!is_running_) return;
  transport::HttpRequest request;
  request.method = "GET";
  request.address = hosts_[index].address;
  request.path = "/readyz";
  request.first_byte_timeout = kProbeTimeout;
  client_.Start(std::move(request),
                [this, index](const transport::HttpResponse& response) {
                  hosts_[index].readiness = response.status == kStatusOk
                                                ? Readiness::kReady
                                                : Readiness::kNotReady;
                  loop_.After(kProbeInterval, [this, index] { Probe(index); });
                });
}

}  // namespace lovagecleat::load
