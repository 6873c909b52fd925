#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "base/base.h"
#include "configuration/configuration.h"
#include "transport/transport.h"
#include "utilities/load/report.h"
#include "utilities/load/results.h"
#include "utilities/load/runner.h"
#include "utilities/load/workload.h"

namespace lovagecleat::load {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string workload_file;
  std::string json_file;
  std::string html_file;
  std::string label;
  RunSettings run;
};

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return std::nullopt;
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Reads the configuration from a host; results are compared with its latency
// targets.
std::optional<configuration::Configuration> FetchConfiguration(
    transport::Loop& loop, const std::string& address) {
  transport::HttpClient client(loop);
  transport::HttpRequest request;
  request.method = "GET";
  request.address = address;
  request.path = "/v1/operator/configuration";
  std::optional<configuration::Configuration> result;
  client.Start(std::move(request),
               [&](const transport::HttpResponse& response) {
                 configuration::ConfigurationReader reader;
                 result = reader.Read(response.body);
                 loop.Quit();
               });
  loop.Run();
  return result;
}

bool WriteFile(const std::string& file, const std::string& text) {
  if (file.empty()) return true;
  std::ofstream stream(file);
  stream << text;
  return static_cast<bool>(stream);
}

int Run(const Arguments& arguments) {
  const auto text = ReadFile(arguments.workload_file);
  WorkloadReader reader;
  const auto workload = text ? reader.Read(*text) : std::nullopt;
  if (!workload) {
    std::cerr << "load: the workload file is unreadable or invalid\n";
    return kExitUsage;
  }
  const SystemClock clock;
  transport::Loop loop(clock);
  const auto targets = FetchConfiguration(loop, arguments.run.hosts.front());
  if (!targets) {
    std::cerr << "load: " << arguments.run.hosts.front()
              << " returned no valid configuration\n";
    return kExitFailed;
  }
  Runner runner(loop, *workload, arguments.run, *targets);
  const std::size_t planned_requests = runner.samples().size();
  runner.OnProgress([&](Duration since_start) {
    std::cerr
        << "load: "
        << std::chrono::duration_cast<std::chrono::seconds>(since_start).count()
        << " s, " << runner.open_requests() << " open, " << planned_requests
        << " planned\n";
  });
  runner.Start([&loop] { loop.Quit(); });
  loop.Run();
  const RunInfo info{arguments.run.seed, arguments.run.scale, arguments.label};
  const std::string json = SummarizeAsJson(info, *workload, runner.samples());
  if (arguments.json_file.empty()) std::cout << json << "\n";
  const bool is_written = WriteFile(arguments.json_file, json) &&
                          WriteFile(arguments.html_file, RenderReport(json));
  return is_written ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace lovagecleat::load

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line(
        "Sends seeded load to entry hosts and measures their answers.");
    TCLAP::MultiArg<std::string> hosts("t", "target", "an entry host", true,
                                       "ADDRESS:PORT", command_line);
    TCLAP::ValueArg<std::string> workload("w", "workload",
                                          "the workload to send", true, "",
                                          "FILE", command_line);
    TCLAP::ValueArg<double> scale("x", "scale",
                                  "factor for the workload's rates", false, 1.0,
                                  "FACTOR", command_line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of all arrivals",
                                        false, 1, "NUMBER", command_line);
    TCLAP::ValueArg<std::size_t> maximum("m", "maximum-requests",
                                         "maximum number of requests", false,
                                         100000, "COUNT", command_line);
    TCLAP::ValueArg<std::string> json(
        "j", "json", "file for the results; default: standard output", false,
        "", "FILE", command_line);
    TCLAP::ValueArg<std::string> html("r", "report", "HTML report with plots",
                                      false, "", "FILE", command_line);
    TCLAP::ValueArg<std::string> label("l", "label", "label in the results",
                                       false, "", "TEXT", command_line);
    command_line.parse(argc, argv);
    return lovagecleat::load::Run(
        {workload.getValue(), json.getValue(), html.getValue(),
         label.getValue(),
         lovagecleat::load::RunSettings{hosts.getValue(), scale.getValue(),
                                        seed.getValue(), maximum.getValue()}});
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "load: " << error.error() << "\n";
    return 2;
  }
}
