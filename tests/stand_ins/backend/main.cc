#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "tests/stand_ins/backend/backend_server.h"
#include "tests/stand_ins/settings.h"
#include "transport/transport.h"

namespace lovagecleat::stand_ins {
namespace {

struct Arguments {
  std::string settings_file;
  std::string inventory_file;
  ZoneId zone;      // empty: all
  ServerId server;  // empty: all
};

bool IsSelected(const Arguments& arguments, const BackendServer& server) {
  if (!arguments.zone.empty() && arguments.zone != server.zone) return false;
  return arguments.server.empty() || arguments.server == server.settings.id;
}

int Run(const Arguments& arguments) {
  SettingsLoader loader;
  const auto inventory = loader.LoadInventory(arguments.inventory_file);
  if (!inventory) {
    std::cerr << "stand_in_backend: cannot read or parse the inventory file\n";
    return 2;
  }
  const auto servers = loader.LoadServers(arguments.settings_file, *inventory);
  if (!servers) {
    std::cerr << "stand_in_backend: cannot read or parse the settings file\n";
    return 2;
  }
  const SystemClock clock;
  transport::Loop loop(clock);
  std::vector<std::unique_ptr<BackendServerProcess>> processes;
  std::size_t running_count = 0;
  for (const BackendServer& server : *servers) {
    if (!IsSelected(arguments, server)) continue;
    auto& process = processes.emplace_back(
        std::make_unique<BackendServerProcess>(loop, server));
    if (!process->Listen()) {
      std::cerr << "stand_in_backend: cannot listen on port "
                << server.endpoint.port << "\n";
      return 1;
    }
    ++running_count;
    process->OnExit([&] {
      if (--running_count == 0) loop.Quit();
    });
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
  using lovagecleat::ServerId;
  using lovagecleat::ZoneId;
  try {
    TCLAP::CmdLine line("Simulates backend servers for tests.");
    TCLAP::ValueArg<std::string> settings("s", "settings",
                                          "stand_ins.json of a deployment",
                                          true, "", "FILE", line);
    TCLAP::ValueArg<std::string> inventory("i", "inventory",
                                           "inventory.json of a deployment",
                                           true, "", "FILE", line);
    TCLAP::ValueArg<std::string> zone("z", "zone", "only this zone's servers",
                                      false, "", "ZONE", line);
    TCLAP::ValueArg<std::string> server("", "server", "only this server", false,
                                        "", "SERVER", line);
    line.parse(argc, argv);
    return lovagecleat::stand_ins::Run(
        {settings.getValue(), inventory.getValue(), ZoneId(zone.getValue()),
         ServerId(server.getValue())});
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "stand_in_backend: " << error.error() << "\n";
    return 2;
  }
}
