#pragma once

#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/object_reader.h"

// Private to the configuration library: the names, limits and functions that
// the readers and writers of configurations and of changes share.
namespace lovagecleat::configuration {

inline constexpr Choice<ServiceKind> kServiceKinds[] = {
    {ServiceKind::kEngine, "engine"},
    {ServiceKind::kEncoder, "encoder"},
    {ServiceKind::kRetriever, "retriever"},
    {ServiceKind::kReranker, "reranker"},
    {ServiceKind::kPlain, "plain"},
};
inline constexpr Choice<ZoneState> kZoneStates[] = {
    {ZoneState::kIn, "in"},
    {ZoneState::kOut, "out"},
};
inline constexpr Choice<ServerAvailability> kServerAvailabilities[] = {
    {ServerAvailability::kIn, "in"},
    {ServerAvailability::kOut, "out"},
};

// Size limits of one document; every host holds a copy of it.
inline constexpr IntegerRange kClassCount{1, 1000};
inline constexpr IntegerRange kPipelineCount{1, 200};
inline constexpr IntegerRange kServiceCount{1, 200};
inline constexpr IntegerRange kZoneCount{1, 100};
inline constexpr IntegerRange kServersOutCount{0, 10000};
inline constexpr IntegerRange kStageCount{1, 6};
inline constexpr IntegerRange kTargetCount{1, 24};

inline constexpr IntegerRange kHours{0, 23};
inline constexpr IntegerRange kTargetMilliseconds{50, 10000};
inline constexpr IntegerRange kUtcOffsetMinutes{-720, 840};
inline constexpr IntegerRange kTokens{1, 32768};
inline constexpr IntegerRange kRevisions{
    0, std::numeric_limits<std::int64_t>::max()};

// Reads the array `key` of hourly targets.
std::vector<HourlyTarget> ReadTargets(ObjectReader& object,
                                      std::string_view key,
                                      std::vector<Problem>& problems);

// Reads a whole configuration from a parsed value.
Configuration ReadConfigurationValue(const Element& element,
                                     std::vector<Problem>& problems);

Json TargetsToJson(const std::vector<HourlyTarget>& targets);
Json ConfigurationToJson(const Configuration& configuration);

}  // namespace lovagecleat::configuration
