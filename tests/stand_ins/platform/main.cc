#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <string>

#include "tests/stand_ins/platform/platform_server.h"
#include "tests/stand_ins/settings.h"
#include "transport/transport.h"

namespace lovagecleat::stand_ins {
namespace {

int Run(const std::string& settings_file, const std::string& inventory_file) {
  SettingsLoader loader;
  const auto settings = loader.LoadPlatform(settings_file);
  const auto inventory = loader.LoadInventory(inventory_file);
  if (!settings || !inventory) {
    std::cerr << "stand_in_platform: cannot read or parse the settings or "
                 "inventory file\n";
    return 2;
  }
  const SystemClock clock;
  transport::Loop loop(clock);
  PlatformServer server(loop, *settings, *inventory);
  if (!server.Listen()) {
    std::cerr << "stand_in_platform: cannot listen on port "
              << settings->endpoint.port << "\n";
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Quit(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Quit(); });
  std::cout << "ready" << std::endl;
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace lovagecleat::stand_ins

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Simulates the platform for tests.");
    TCLAP::ValueArg<std::string> settings("s", "settings",
                                          "stand_ins.json of a deployment",
                                          true, "", "FILE", line);
    TCLAP::ValueArg<std::string> inventory("i", "inventory",
                                           "inventory.json of a deployment",
                                           true, "", "FILE", line);
    line.parse(argc, argv);
    return lovagecleat::stand_ins::Run(settings.getValue(),
                                       inventory.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "stand_in_platform: " << error.error() << "\n";
    return 2;
  }
}
