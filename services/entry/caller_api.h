#pragma once

#include <functional>
#include <map>
#include <memory>

#include "metrics/metrics.h"
#include "policy/policy.h"
#include "services/entry/caller_messages.h"
#include "transport/transport.h"

namespace lovagecleat::entry {

// Converts callers' HTTP calls to events, and delivery commands to responses.
class CallerApi {
 public:
  using EventSink = std::function<void(const policy::Event&)>;

  CallerApi(transport::HttpServer& server, metrics::Registry& metrics,
            const Clock& clock, EventSink sink);

  void Deliver(const policy::DeliverToken& token);
  void Deliver(const policy::DeliverAnswer& answer);
  void Deliver(const policy::DeliverRefusal& refusal);

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    std::shared_ptr<transport::HttpServerCall> http;
    policy::Delivery delivery = policy::Delivery::kSingleResponse;
    bool is_streaming = false;  // the response has started
    std::string request_class;
    TimePoint arrived_at{};
  };

  void HandleRequest(const std::shared_ptr<transport::HttpServerCall>& http);
  void RespondWithProblem(transport::HttpServerCall& http,
                          const RequestProblem& problem);
  void StartStream(Call& call);
  Call* Find(CallId id);

  metrics::Registry& metrics_;
  const Clock& clock_;
  EventSink sink_;
  std::uint64_t last_call_ = 0;
  std::map<CallId, Call> calls_;
};

}  // namespace lovagecleat::entry
