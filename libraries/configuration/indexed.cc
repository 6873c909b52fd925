#include "configuration/indexed.h"

#include <utility>
#include <vector>

namespace lovagecleat::configuration {

namespace {

template <typename Id, typename Item>
std::map<Id, const Item*> IndexById(const std::vector<Item>& items) {
  std::map<Id, const Item*> index;
  for (const Item& item : items) index.emplace(item.id, &item);
  return index;
}

template <typename Id, typename Item>
const Item* FindIn(const std::map<Id, const Item*>& index, const Id& id) {
  const auto found = index.find(id);
  return found == index.end() ? nullptr : found->second;
}

}  // namespace

IndexedConfiguration::IndexedConfiguration(Configuration content)
    : content_(std::move(content)),
      classes_(IndexById<ClassId>(content_.classes)),
      pipelines_(IndexById<PipelineId>(content_.pipelines)),
      services_(IndexById<ServiceId>(content_.services)) {}

const RequestClass* IndexedConfiguration::FindClass(const ClassId& id) const {
  return FindIn(classes_, id);
}

const Pipeline* IndexedConfiguration::FindPipeline(const PipelineId& id) const {
  return FindIn(pipelines_, id);
}

const Service* IndexedConfiguration::FindService(const ServiceId& id) const {
  return FindIn(services_, id);
}

}  // namespace lovagecleat::configuration
