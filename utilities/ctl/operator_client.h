#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "command_line/command_line.h"
#include "configuration/configuration.h"

namespace lovagecleat::ctl {

// The result of a query or change, with the exit code to report it.
struct Result {
  int exit_code = 0;
  std::string document;  // JSON text; empty without an answer
};

struct ChangeRequest {
  std::string change_id;
  std::string operator_name;
  std::optional<std::uint64_t> expected_revision;  // unset: the current one
  configuration::Change change;
};

// A client of the operator API of one entry host.
class OperatorClient {
 public:
  explicit OperatorClient(std::string address);

  Result SendQuery(const std::string& path);
  Result Submit(const ChangeRequest& request);

 private:
  transport::HttpResponse Get(const std::string& path);
  std::optional<std::uint64_t> CurrentRevision();
  // Returns the revision of a change in the audit trail; nullopt if it is not
  // found.
  std::optional<std::uint64_t> FindInAudit(const std::string& change_id);

  std::string address_;
  command_line::HttpSession session_;
};

}  // namespace lovagecleat::ctl
