#include "logging/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

namespace lovagecleat::logging {

namespace {

// Time, level, component, host and request, then the message.
constexpr const char* kTextPattern =
    "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p [%c] %X{host} %X{request} %m%n";
constexpr const char* kHostKey = "host";
constexpr const char* kRequestKey = "request";

log4cxx::LayoutPtr MakeLayout(configuration::LogFormat format) {
  if (format == configuration::LogFormat::kText) {
    return std::make_shared<log4cxx::PatternLayout>(kTextPattern);
  }
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  return layout;
}

log4cxx::LevelPtr ToLog4cxx(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarning:
      return log4cxx::Level::getWarn();
    case Level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

void SetUpLogging(const LogSettings& settings) {
  auto appender = std::make_shared<log4cxx::ConsoleAppender>();
  appender->setTarget("System.err");
  appender->setLayout(MakeLayout(settings.format));
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxx(settings.level));
  // One thread writes all lines, so the host can stay in the thread's
  // diagnostic context.
  if (!settings.host.empty()) log4cxx::MDC::put(kHostKey, settings.host);
}

Level LevelFromName(std::string_view name) {
  if (name == "debug") return Level::kDebug;
  if (name == "warning") return Level::kWarning;
  if (name == "error") return Level::kError;
  return Level::kInfo;
}

void Logger::Write(Level level, std::string_view message,
                   std::string_view request) const {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(component_);
  const log4cxx::LevelPtr log_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log_level)) return;
  if (!request.empty()) {
    log4cxx::MDC::put(kRequestKey, std::string(request));
  }
  logger->log(log_level, std::string(message));
  if (!request.empty()) log4cxx::MDC::remove(kRequestKey);
}

void Logger::Info(std::string_view message, std::string_view request) const {
  Write(Level::kInfo, message, request);
}

void Logger::Warning(std::string_view message, std::string_view request) const {
  Write(Level::kWarning, message, request);
}

void Logger::Error(std::string_view message, std::string_view request) const {
  Write(Level::kError, message, request);
}

}  // namespace lovagecleat::logging
