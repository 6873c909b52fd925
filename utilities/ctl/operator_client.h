#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "command_line/command_line.h"
#include "configuration/configuration.h"

namespace lovagecleat::ctl {

// How a query or change ended, with the exit code that says it.
struct Result {
  int exit_code = 0;
  std::string document;  // JSON text, empty if there was no answer
};

struct ChangeRequest {
  std::string change_id;
  std::string who;
  std::optional<std::uint64_t> expected_revision;  // unset: the one in force
  configuration::Change change;
};

// Talks to one entry host on behalf of an operator.
class OperatorClient {
 public:
  explicit OperatorClient(std::string address);

  Result Ask(const std::string& path);
  Result Submit(const ChangeRequest& request);

 private:
  transport::HttpResponse Get(const std::string& path);
  std::optional<std::uint64_t> RevisionInForce();
  // Looks in the audit trail for a change whose answer was lost.
  std::optional<std::uint64_t> FindInAudit(const std::string& change_id);

  std::string address_;
  command_line::HttpSession session_;
};

}  // namespace lovagecleat::ctl
