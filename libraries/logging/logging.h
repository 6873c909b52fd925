#pragma once

#include <string>
#include <string_view>

#include "configuration/configuration.h"
#include "logging/event_log.h"  // IWYU pragma: export

// The public header of the logging library: messages on standard error, with
// the component as prefix, as text or as JSON lines.
namespace lovagecleat::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

struct LogSettings {
  configuration::LogFormat format = configuration::LogFormat::kText;
  Level level = Level::kInfo;
  std::string host;  // written in each line unless empty
};

// Configures logging. Call once, before the first line is written.
void SetUpLogging(const LogSettings& settings);

// Returns the level named "debug", "info", "warning" or "error", and kInfo for
// any other name.
Level LevelFromName(std::string_view name);

// Writes lines with the prefix of one component.
class Logger {
 public:
  explicit Logger(std::string_view component) : component_(component) {}

  // `request` is empty for lines that do not concern a single request.
  void Write(Level level, std::string_view message,
             std::string_view request = {}) const;
  void Info(std::string_view message, std::string_view request = {}) const;
  void Warning(std::string_view message, std::string_view request = {}) const;
  void Error(std::string_view message, std::string_view request = {}) const;

 private:
  std::string component_;
};

}  // namespace lovagecleat::logging
