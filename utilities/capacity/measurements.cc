#include "utilities/capacity/measurements.h"

#include <malloc.h>

#include <string>
#include <utility>
#include <vector>

#include "utilities/capacity/fleet.h"

namespace lovagecleat::capacity {

namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

constexpr Duration kWarmUpTime = seconds(20);
constexpr Duration kMeasurementTime = seconds(10);
constexpr double kRequestsPerSecond = 50;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double Microseconds(Duration span) { return static_cast<double>(span.count()); }

double AllocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Returns the change of the value per unit of size from the first to the last
// point.
double Slope(const std::vector<std::pair<double, double>>& points) {
  const auto& [first_size, first] = points.front();
  const auto& [last_size, last] = points.back();
  return (last - first) / (last_size - first_size);
}

// Measures the cost per host and second without requests.
Json MeasureIdle(const FleetSize& size) {
  Fleet fleet(size);
  fleet.Run(kWarmUpTime);
  fleet.ResetTotals();
  fleet.Run(kMeasurementTime);
  const Totals& totals = fleet.totals();
  const double scale =
      Seconds(kMeasurementTime) * static_cast<double>(fleet.host_count());
  return {
      {"zones", size.zones},
      {"hosts_per_zone", size.hosts_per_zone},
      {"messages_per_s", static_cast<double>(totals.messages) / scale},
      {"bytes_per_s", static_cast<double>(totals.bytes) / scale},
      {"processor_us_per_s", Microseconds(totals.processor_time) / scale},
      {"table_reads_per_s", static_cast<double>(totals.table_reads) / scale},
      {"table_writes_per_s", static_cast<double>(totals.table_writes) / scale}};
}

struct LoadMeasurement {
  double processor_us = 0;  // per answered request, without the idle cost
  double bytes_per_host = 0;
  Totals totals;
};

LoadMeasurement MeasureLoad(const FleetSize& size,
                            const std::string& request_class) {
  const double before = AllocatedBytes();
  Fleet fleet(size);
  fleet.Run(kWarmUpTime);
  fleet.ResetTotals();
  fleet.Run(kMeasurementTime);
  const Totals idle = fleet.totals();
  fleet.OfferLoad(request_class, kRequestsPerSecond);
  fleet.Run(seconds(3));
  fleet.ResetTotals();
  fleet.Run(kMeasurementTime);
  LoadMeasurement point;
  point.totals = fleet.totals();
  const double answers = static_cast<double>(point.totals.answers);
  point.processor_us =
      Microseconds(point.totals.processor_time - idle.processor_time) / answers;
  point.totals.table_writes -= idle.table_writes;
  point.totals.table_reads -= idle.table_reads;
  point.bytes_per_host =
      (AllocatedBytes() - before) / static_cast<double>(fleet.host_count());
  return point;
}

}  // namespace

Json MeasureMembers() {
  Json one_zone = Json::array();
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> messages;
  std::vector<std::pair<double, double>> processor;
  for (const int hosts : {2, 6, 18, 40}) {
    const Json point = MeasureIdle({1, hosts, 215, 5, 5});
    bytes.emplace_back(hosts, point["bytes_per_s"]);
    messages.emplace_back(hosts, point["messages_per_s"]);
    processor.emplace_back(hosts, point["processor_us_per_s"]);
    one_zone.push_back(point);
  }
  Json many_zones = Json::array();
  for (const int zones : {2, 6, 20}) {
    many_zones.push_back(MeasureIdle({zones, 10, 215, 5, 5}));
  }
  return {{"one_zone", one_zone},
          {"many_zones", many_zones},
          {"bytes_per_s_per_zone_member", Slope(bytes)},
          {"messages_per_s_per_zone_member", Slope(messages)},
          {"processor_us_per_s_per_zone_member", Slope(processor)}};
}

Json MeasureServers() {
  Json points = Json::array();
  std::vector<std::pair<double, double>> processor;
  std::vector<std::pair<double, double>> idle;
  std::vector<std::pair<double, double>> memory;
  for (const int servers : {50, 215, 1000, 4300}) {
    const FleetSize size{1, 1, servers, 5, 5};
    const LoadMeasurement load = MeasureLoad(size, Fleet::kPlainClass);
    const double idle_us = MeasureIdle(size)["processor_us_per_s"];
    processor.emplace_back(servers, load.processor_us);
    idle.emplace_back(servers, idle_us);
    memory.emplace_back(servers, load.bytes_per_host);
    points.push_back({{"servers", servers},
                      {"processor_us_per_request", load.processor_us},
                      {"idle_processor_us_per_s", idle_us},
                      {"allocated_bytes", load.bytes_per_host},
                      {"refusals", load.totals.refusals}});
  }
  return {{"points", points},
          {"processor_us_per_request_per_server", Slope(processor)},
          {"idle_processor_us_per_s_per_server", Slope(idle)},
          {"allocated_bytes_per_server", Slope(memory)}};
}

Json MeasureTeams() {
  Json points = Json::array();
  std::vector<std::pair<double, double>> processor;
  std::vector<std::pair<double, double>> memory;
  for (const int teams : {5, 500, 4300}) {
    const LoadMeasurement load =
        MeasureLoad({1, 1, 215, teams, 5}, Fleet::kPlainClass);
    processor.emplace_back(teams, load.processor_us);
    memory.emplace_back(teams, load.bytes_per_host);
    points.push_back({{"teams", teams},
                      {"processor_us_per_request", load.processor_us},
                      {"allocated_bytes", load.bytes_per_host}});
  }
  return {{"points", points},
          {"processor_us_per_request_per_team", Slope(processor)},
          {"allocated_bytes_per_team", Slope(memory)}};
}

Json MeasureConfiguration() {
  Json points = Json::array();
  std::vector<std::pair<double, double>> processor;
  std::vector<std::pair<double, double>> document;
  std::vector<std::pair<double, double>> change;
  constexpr Duration timeout = seconds(20);
  for (const int classes : {5, 100, 1000}) {
    const LoadMeasurement load =
        MeasureLoad({1, 1, 215, 5, classes}, Fleet::kPlainClass);
    Fleet fleet({20, 10, 8, 5, classes});
    fleet.Run(kWarmUpTime);
    fleet.ResetTotals();
    fleet.Run(kMeasurementTime);
    const Totals idle = fleet.totals();
    fleet.ResetTotals();
    const Duration propagation_time = fleet.ChangeTarget(timeout);
    // Runs the remaining measurement time, so that late copies of the change
    // count.
    fleet.Run(kMeasurementTime - propagation_time % kMeasurementTime);
    const double hosts = static_cast<double>(fleet.host_count());
    const double change_us =
        Microseconds(fleet.totals().processor_time - idle.processor_time) /
        hosts;
    processor.emplace_back(classes, load.processor_us);
    document.emplace_back(classes,
                          static_cast<double>(fleet.configuration_bytes()));
    change.emplace_back(classes, change_us);
    points.push_back(
        {{"classes", classes},
         {"processor_us_per_request", load.processor_us},
         {"document_bytes", fleet.configuration_bytes()},
         {"hosts", fleet.host_count()},
         {"change_in_force_everywhere_ms",
          Microseconds(propagation_time) / 1000},
         {"change_processor_us_per_host", change_us},
         {"change_bytes_per_host", (static_cast<double>(fleet.totals().bytes) -
                                    static_cast<double>(idle.bytes)) /
                                       hosts}});
  }
  return {{"points", points},
          {"processor_us_per_request_per_class", Slope(processor)},
          {"document_bytes_per_class", Slope(document)},
          {"change_processor_us_per_host_per_class", Slope(change)}};
}

Json MeasureTokens() {
  Json points = Json::array();
  std::vector<std::pair<double, double>> processor;
  for (const int servers : {50, 215}) {
    const LoadMeasurement load =
        MeasureLoad({1, 1, servers, 5, 5}, Fleet::kEngineClass);
    const double tokens_per_answer = static_cast<double>(load.totals.tokens) /
                                     static_cast<double>(load.totals.answers);
    const double per_token = load.processor_us / tokens_per_answer;
    processor.emplace_back(servers, per_token);
    points.push_back({{"servers", servers},
                      {"tokens", load.totals.tokens},
                      {"answers", load.totals.answers},
                      {"refusals", load.totals.refusals},
                      {"processor_us_per_token", per_token}});
  }
  return {{"points", points},
          {"processor_us_per_token_per_server", Slope(processor)}};
}

Json MeasureIntents() {
  const LoadMeasurement load =
      MeasureLoad({1, 2, 215, 5, 5}, Fleet::kOnceClass);
  const double answers = static_cast<double>(load.totals.answers);
  return {{"answers", load.totals.answers},
          {"writes_per_request",
           static_cast<double>(load.totals.table_writes) / answers},
          {"reads_per_request",
           static_cast<double>(load.totals.table_reads) / answers},
          {"processor_us_per_request", load.processor_us}};
}

}  // namespace lovagecleat::capacity
