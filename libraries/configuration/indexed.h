#pragma once

#include <map>

#include "configuration/types.h"

namespace lovagecleat::configuration {

// An immutable configuration with look-ups in logarithmic time.
class IndexedConfiguration {
 public:
  explicit IndexedConfiguration(Configuration content);
  IndexedConfiguration(const IndexedConfiguration&) = delete;
  IndexedConfiguration& operator=(const IndexedConfiguration&) = delete;

  const Configuration& content() const { return content_; }

  // Return null if the id is unknown.
  const RequestClass* FindClass(const ClassId& id) const;
  const Pipeline* FindPipeline(const PipelineId& id) const;
  const Service* FindService(const ServiceId& id) const;

 private:
  const Configuration content_;  // the maps point into it
  std::map<ClassId, const RequestClass*> classes_;
  std::map<PipelineId, const Pipeline*> pipelines_;
  std::map<ServiceId, const Service*> services_;
};

}  // namespace lovagecleat::configuration
