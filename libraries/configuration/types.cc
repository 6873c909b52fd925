#include "configuration/types.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::configuration {

namespace {

template <typename Item, typename Id>
const Item* FindById(const std::vector<Item>& items, const Id& id) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&id](const Item& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const RequestClass* Configuration::FindClass(const ClassId& id) const {
  return FindById(classes, id);
}

const Pipeline* Configuration::FindPipeline(const PipelineId& id) const {
  return FindById(pipelines, id);
}

const Service* Configuration::FindService(const ServiceId& id) const {
  return FindById(services, id);
}

const Zone* Configuration::FindZone(const ZoneId& id) const {
  return FindById(zones, id);
}

bool Configuration::IsZoneOut(const ZoneId& id) const {
  const Zone* zone = FindZone(id);
  return zone != nullptr && zone->state == ZoneState::kOut;
}

Duration TargetAt(const RequestClass& request_class, WallTime wall,
                  Duration utc_offset) {
  assert(!request_class.targets.empty());
  const int hour = HourOfDay(wall, utc_offset);
  // Before the first entry of a day, the last entry of the previous day
  // applies.
  const HourlyTarget* current = &request_class.targets.back();
  for (const HourlyTarget& entry : request_class.targets) {
    if (entry.from_hour <= hour) current = &entry;
  }
  return current->target;
}

}  // namespace lovagecleat::configuration
