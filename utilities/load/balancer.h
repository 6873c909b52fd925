#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/base.h"
#include "transport/transport.h"

namespace lovagecleat::load {

// Stands for the platform's balancer: asks each entry host whether it is ready
// and spreads requests evenly over those that are.
class Balancer {
 public:
  Balancer(transport::Loop& loop, transport::HttpClient& client,
           std::vector<std::string> addresses);

  void Start();
  void Stop();
  // A ready host, in turn; any host where none is.
  const std::string& Next();

 private:
  enum class Readiness { kReady, kNotReady };
  struct Host {
    std::string address;
    Readiness readiness = Readiness::kReady;
  };

  void Probe(std::size_t index);

  transport::Loop& loop_;
  transport::HttpClient& client_;
  std::vector<Host> hosts_;
  std::size_t next_ = 0;
  bool is_running_ = false;
};

}  // namespace lovagecleat::load
