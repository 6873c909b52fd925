#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/base.h"
#include "transport/transport.h"

namespace lovagecleat::load {

// Stands in for the platform's load balancer: polls the readiness of the entry
// hosts and selects ready ones in turn.
class Balancer {
 public:
  Balancer(transport::Loop& loop, transport::HttpClient& client,
           std::vector<std::string> addresses);

  void Start();
  void Stop();
  // Returns the address of the next ready host, or of any host if none is
  // ready.
  const std::string& NextAddress();

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
