#include "policy/stage_times.h"

#include <algorithm>
#include <cmath>

namespace lovagecleat::policy {

namespace {

constexpr double kFirstBoundMicroseconds = 100.0;
constexpr double kBucketGrowth = 1.189207115002721;  // 2^(1/4)
constexpr std::uint32_t kSamplesPerDecay = 256;
constexpr float kDecayFactor = 0.5F;
constexpr float kMinimumWeight = 0.01F;
constexpr double kExpectedQuantile = 0.5;
constexpr double kConservativeQuantile = 0.95;

// The estimate before the first sample. It is short, so that the first request
// of a shape is tried rather than refused without any measurement.
constexpr Duration kDefaultStageTime = std::chrono::milliseconds(20);

}  // namespace

std::size_t DecayingHistogram::BucketOf(Duration sample) {
  const double ratio =
      static_cast<double>(sample.count()) / kFirstBoundMicroseconds;
  if (ratio <= 1.0) return 0;
  const double bucket = std::ceil(std::log2(ratio) * 4.0);
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

Duration DecayingHistogram::UpperBound(std::size_t bucket) {
  const double bound = kFirstBoundMicroseconds *
                       std::pow(kBucketGrowth, static_cast<double>(bucket));
  return Duration(static_cast<Duration::rep>(bound));
}

void DecayingHistogram::Add(Duration sample) {
  weights_.at(BucketOf(sample)) += 1.0F;
  total_ += 1.0;
  if (++samples_since_decay_ >= kSamplesPerDecay) Decay();
}

void DecayingHistogram::Decay() {
  samples_since_decay_ = 0;
  total_ = 0.0;
  for (float& weight : weights_) {
    weight *= kDecayFactor;
    if (weight < kMinimumWeight) weight = 0.0F;
    total_ += weight;
  }
}

Duration DecayingHistogram::Quantile(double quantile, Duration fallback) const {
  if (empty()) return fallback;
  const double target_weight = quantile * total_;
  double cumulative_weight = 0.0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative_weight += weights_.at(bucket);
    if (cumulative_weight >= target_weight) return UpperBound(bucket);
  }
  return UpperBound(kBuckets - 1);
}

void StageTimes::AddServed(const StageShape& shape, Duration served) {
  const bool has_room = served_.size() < kMaximumShapes;
  if (!has_room && !served_.contains(shape)) {
    overflow_.Add(served);
    return;
  }
  served_[shape].Add(served);
}

const DecayingHistogram* StageTimes::Find(const StageShape& shape) const {
  const auto found = served_.find(shape);
  if (found != served_.end()) return &found->second;
  return served_.size() < kMaximumShapes ? nullptr : &overflow_;
}

Duration StageTimes::Expected(const StageShape& shape) const {
  const DecayingHistogram* histogram = Find(shape);
  if (histogram == nullptr) return kDefaultStageTime;
  return histogram->Quantile(kExpectedQuantile, kDefaultStageTime);
}

Duration StageTimes::Conservative(const StageShape& shape) const {
  const DecayingHistogram* histogram = Find(shape);
  if (histogram == nullptr) return kDefaultStageTime;
  return histogram->Quantile(kConservativeQuantile, kDefaultStageTime);
}

bool StageTimes::HasNoSamples(const StageShape& shape) const {
  const DecayingHistogram* histogram = Find(shape);
  return histogram == nullptr || histogram->empty();
}

}  // namespace lovagecleat::policy
