#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "policy/policy.h"
#include "transport/transport.h"

namespace lovagecleat::platform {

// Reads and writes the platform's table (docs/PROTOCOLS.md). Each operation is
// a POST on its own connection and gives exactly one answer.
class TableClient {
 public:
  using AnswerCallback = std::function<void(const policy::TableAnswered&)>;

  // Without a response within this time the outcome is unknown.
  static constexpr Duration kResponseTimeout = std::chrono::seconds(2);
  static constexpr std::size_t kMaximumResponseBytes =
      std::size_t{8} * 1024 * 1024;

  TableClient(transport::HttpClient& http, std::string address,
              AnswerCallback on_answer);

  void Read(const policy::ReadTable& command);
  void Scan(const policy::ScanTable& command);
  void Write(const policy::WriteTable& command);

 private:
  void Post(OperationId operation, std::string path, std::string body);

  transport::HttpClient& http_;
  std::string address_;
  AnswerCallback on_answer_;
};

}  // namespace lovagecleat::platform
