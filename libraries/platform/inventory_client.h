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
  kNoResponse,
  kUnexpectedStatus,
  kMalformedJson,
  kInvalidHost,    // a host with a missing, unknown or mistyped member
  kInvalidServer,  // a server with a missing, unknown or mistyped member
  kDuplicateId,    // two hosts or two servers with the same id
};

// Parses the response to GET /v1/inventory; all of it must be valid.
class InventoryReader {
 public:
  std::optional<policy::Inventory> Read(std::string_view json);
  InventoryError last_error() const { return last_error_; }

 private:
  InventoryError last_error_ = InventoryError::kNone;
};

// Polls the platform for its list of hosts and backend servers.
class InventoryClient {
 public:
  using InventoryCallback = std::function<void(const policy::Inventory&)>;
  using ErrorCallback = std::function<void(InventoryError)>;

  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr Duration kResponseTimeout = std::chrono::seconds(2);
  // Fraction of kPollInterval, in either direction.
  static constexpr double kJitter = 0.2;

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
  void HandleResponse(const transport::HttpResponse& response);
  InventoryError Deliver(const transport::HttpResponse& response);

  transport::Loop& loop_;
  transport::HttpClient& http_;
  std::string address_;
  Random random_;
  InventoryCallback on_inventory_;
  ErrorCallback on_error_;
  std::optional<transport::HttpCallId> call_;
  TimerId timer_;
  // Destroyed with the client, so that a late response can tell that the client
  // no longer exists.
  std::shared_ptr<InventoryClient*> self_;
};

}  // namespace lovagecleat::platform
