#pragma once

#include <string>
#include <string_view>

#include "configuration/configuration.h"
#include "logging/event_log.h"  // IWYU pragma: export

// The public header of the logging library: short sentences on standard error,
// one prefix for each part, as text or as JSON lines.
namespace lovagecleat::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

struct LogSettings {
  configuration::LogFormat format = configuration::LogFormat::kText;
  Level level = Level::kInfo;
  std::string host;  // in each line; empty: none
};

// Called once, before the first line.
void SetUpLogging(const LogSettings& settings);

// The level named "debug", "info", "warning" or "error"; kInfo for others.
Level LevelFromName(std::string_view name);

// Writes lines with one part's prefix.
class Logger {
 public:
  explicit Logger(std::string_view part) : part_(part) {}

  // `request` is empty for lines of no single request.
  void Write(Level level, std::string_view sentence,
             std::string_view request = {}) const;
  void Info(std::string_view sentence, std::string_view request = {}) const;
  void Warning(std::string_view sentence, std::string_view request = {}) const;
  void Error(std::string_view sentence, std::string_view request = {}) const;

 private:
  std::string part_;
};

}  // namespace lovagecleat::logging
