#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "policy/policy.h"
#include "transport/transport.h"

namespace lovagecleat::platform {

enum class InventoryError {
  kNone,
  kNoAnswer,
  kBadStatus,
  kMalformedJson,
  kBadHost,    // a host with a missing, unknown or mistyped member
  kBadServer,  // the same of a server
  kDuplicate,  // two hosts or two servers of one id
};

// Reads GET /v1/inventory's answer; all of it must be valid.
class InventoryReader {
 public:
  std::optional<policy::Inventory> Read(std::string_view json);
  InventoryError last_error() const { return last_error_; }

 private:
  InventoryError last_error_ = InventoryError::kNone;
};

// Asks the platform for its list of hosts and servers again and again.
class InventoryClient {
 public:
  using InventoryCallback = std::function<void(const policy::Inventory&)>;
  using ErrorCallback = std::function<void(InventoryError)>;

  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr Duration kAnswerBound = std::chrono::seconds(2);
  static constexpr double kJitter = 0.2;  // either way

  InventoryClient(transport::Loop& loop, transport::HttpClient& http,
                  std::string address, std::uint64_t seed);
  ~InventoryClient();
  InventoryClient(const InventoryClient&) = delete;
  InventoryClient& operator=(const InventoryClient&) = delete;

  void OnInventory(InventoryCallback callback);
  void OnError(ErrorCallback callback);

  // Polls from now until the client is destroyed.
  void Start();

 private:
  void Poll();
  void TakeAnswer(const transport::HttpResponse& response);
  InventoryError Deliver(const transport::HttpResponse& response);

  transport::Loop& loop_;
  transport::HttpClient& http_;
  std::string address_;
  Random random_;
  InventoryCallback on_inventory_;
  ErrorCallback on_error_;
  std::optional<transport::HttpCallId> call_;
  TimerId timer_;
  // Gone with the client; an answer that comes later finds it so.
  std::shared_ptr<InventoryClient*> self_;
};

}  // namespace lovagecleat::platform
