#include <algorithm>
#include <utility>

#include "configuration/document_format.h"

namespace lovagecleat::configuration {

namespace {

enum class ChangeKind { kSetTargets, kZone, kServer, kReplace };

constexpr Choice<ChangeKind> kChangeKinds[] = {
    {ChangeKind::kSetTargets, "set_targets"},
    {ChangeKind::kZone, "zone"},
    {ChangeKind::kServer, "server"},
    {ChangeKind::kReplace, "replace"},
};

Change ReadSetTargets(ObjectReader& object, std::vector<Problem>& problems) {
  SetTargets change;
  change.request_class =
      ClassId(object.ReadName("class", Presence::kRequired).value_or(""));
  change.targets = ReadTargets(object, "targets", problems);
  return change;
}

Change ReadZoneChange(ObjectReader& object) {
  SetZoneState change;
  change.zone =
      ZoneId(object.ReadName("zone", Presence::kRequired).value_or(""));
  change.state = object.ReadChoice("state", kZoneStates, Presence::kRequired)
                     .value_or(ZoneState::kIn);
  return change;
}

Change ReadServerChange(ObjectReader& object) {
  SetServerState change;
  change.server =
      ServerId(object.ReadName("server", Presence::kRequired).value_or(""));
  change.state =
      object.ReadChoice("state", kServerAvailabilities, Presence::kRequired)
          .value_or(ServerAvailability::kIn);
  return change;
}

Change ReadReplace(ObjectReader& object, std::vector<Problem>& problems) {
  ReplaceConfiguration change;
  const std::optional<Element> element =
      object.ReadValue("configuration", Presence::kRequired);
  if (element) {
    change.configuration = ReadConfigurationValue(*element, problems);
  }
  return change;
}

Change ReadBody(ChangeKind kind, ObjectReader& object,
                std::vector<Problem>& problems) {
  switch (kind) {
    case ChangeKind::kSetTargets:
      return ReadSetTargets(object, problems);
    case ChangeKind::kZone:
      return ReadZoneChange(object);
    case ChangeKind::kServer:
      return ReadServerChange(object);
    case ChangeKind::kReplace:
      break;
  }
  return ReadReplace(object, problems);
}

Problem UnknownReference(std::string_view key, const std::string& found,
                         std::string_view expected) {
  return {ProblemKind::kUnknownReference, PointerTo("", key),
          ShowValue(Json(found)), std::string(expected)};
}

// The overloads of ApplyTo() apply one kind of change each, and return the
// problem if the configuration does not allow it.
using Refusal = std::optional<Problem>;

Refusal ApplyTo(const SetTargets& change, Configuration& configuration) {
  const auto found =
      std::find_if(configuration.classes.begin(), configuration.classes.end(),
                   [&](const RequestClass& item) {
                     return item.id == change.request_class;
                   });
  if (found == configuration.classes.end()) {
    return UnknownReference("class", change.request_class.value(),
                            "the id of a class");
  }
  found->targets = change.targets;
  return std::nullopt;
}

Refusal ApplyTo(const SetZoneState& change, Configuration& configuration) {
  const auto found =
      std::find_if(configuration.zones.begin(), configuration.zones.end(),
                   [&](const Zone& item) { return item.id == change.zone; });
  if (found == configuration.zones.end()) {
    return UnknownReference("zone", change.zone.value(), "the id of a zone");
  }
  found->state = change.state;
  return std::nullopt;
}

// The platform's server list is not part of a configuration, so the name cannot
// be checked; one that is not in the list has no effect.
Refusal ApplyTo(const SetServerState& change, Configuration& configuration) {
  if (change.state == ServerAvailability::kOut) {
    configuration.servers_out.insert(change.server);
  } else {
    configuration.servers_out.erase(change.server);
  }
  return std::nullopt;
}

Refusal ApplyTo(const ReplaceConfiguration& change,
                Configuration& configuration) {
  configuration = change.configuration;
  return std::nullopt;
}

}  // namespace

std::optional<Change> ChangeReader::Read(std::string_view json) {
  problems_.clear();
  const std::optional<Json> value = ParseJson(json, problems_);
  if (!value) return std::nullopt;
  ObjectReader object(*value, "", problems_);
  const std::optional<ChangeKind> kind =
      object.ReadChoice("kind", kChangeKinds, Presence::kRequired);
  // The kind determines which other keys are valid.
  if (!kind) return std::nullopt;
  Change change = ReadBody(*kind, object, problems_);
  object.ReportUnknownKeys();
  if (!problems_.empty()) return std::nullopt;
  return change;
}

std::string WriteChange(const Change& change) {
  const auto to_json = Overloaded{
      [](const SetTargets& item) -> Json {
        return {{"kind", NameOf(kChangeKinds, ChangeKind::kSetTargets)},
                {"class", item.request_class.value()},
                {"targets", TargetsToJson(item.targets)}};
      },
      [](const SetZoneState& item) -> Json {
        return {{"kind", NameOf(kChangeKinds, ChangeKind::kZone)},
                {"zone", item.zone.value()},
                {"state", NameOf(kZoneStates, item.state)}};
      },
      [](const SetServerState& item) -> Json {
        return {{"kind", NameOf(kChangeKinds, ChangeKind::kServer)},
                {"server", item.server.value()},
                {"state", NameOf(kServerAvailabilities, item.state)}};
      },
      [](const ReplaceConfiguration& item) -> Json {
        return {{"kind", NameOf(kChangeKinds, ChangeKind::kReplace)},
                {"configuration", ConfigurationToJson(item.configuration)}};
      },
  };
  return std::visit(to_json, change).dump();
}

std::optional<Configuration> ChangeApplier::Apply(const Configuration& before,
                                                  const Change& change) {
  problems_.clear();
  Configuration after = before;
  const Refusal refusal = std::visit(
      [&](const auto& item) { return ApplyTo(item, after); }, change);
  if (refusal) {
    problems_.push_back(*refusal);
    return std::nullopt;
  }
  after.revision = before.revision + 1;
  // Every host must be able to read an accepted configuration, so it is
  // validated by the same reader.
  ConfigurationReader reader;
  if (!reader.Read(WriteConfiguration(after))) {
    problems_ = reader.problems();
    return std::nullopt;
  }
  return after;
}

}  // namespace lovagecleat::configuration
