#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "configuration/configuration.h"
#include "logging/logging.h"
#include "services/entry/entry_process.h"
#include "transport/transport.h"

namespace {

constexpr int kExitStopped = 0;
constexpr int kExitBadSettings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

std::optional<std::string> ReadCommandLine(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Accepts callers and runs their requests' stages on backend servers.",
        ' ', LOVAGECLEAT_VERSION);
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "The settings file, JSON.", true, "", "FILE", command);
    command.parse(argc, argv);
    return settings.getValue();
  } catch (const TCLAP::ExitException&) {
    // --help and --version have been printed.
    return "";
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "entry: " << error.error() << " " << error.argId() << "\n";
    return std::nullopt;
  }
}

std::optional<lovagecleat::configuration::EntrySettings> ReadSettings(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "entry: " << path << " cannot be read.\n";
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  lovagecleat::configuration::SettingsReader reader;
  auto settings = reader.Read(text);
  for (const auto& problem : reader.problems()) {
    std::cerr << lovagecleat::configuration::DescribeProblem(path, problem)
              << "\n";
  }
  return settings;
}

int RunEntry(const lovagecleat::configuration::EntrySettings& settings) {
  namespace logging = lovagecleat::logging;
  logging::SetUpLogging({settings.log_format,
                         logging::LevelFromName(settings.log_level),
                         settings.host.value()});
  const lovagecleat::SystemClock clock;
  lovagecleat::transport::Loop loop(clock);
  lovagecleat::entry::EntryProcess process(loop, settings);
  // A second signal has no effect, since a stop is in progress already.
  loop.OnSignal(SIGTERM, [&process] { process.Stop(); });
  loop.OnSignal(SIGINT, [&process] { process.Stop(); });
  if (!process.Start()) {
    logging::Logger("entry").Error(
        "Cannot bind the callers or the peers address from the settings.");
    return kExitCannotListen;
  }
  loop.Run();
  return kExitStopped;
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<std::string> path = ReadCommandLine(argc, argv);
  if (!path.has_value()) return kExitUsage;
  if (path->empty()) return kExitStopped;
  const auto settings = ReadSettings(*path);
  if (!settings.has_value()) return kExitBadSettings;
  return RunEntry(*settings);
}
