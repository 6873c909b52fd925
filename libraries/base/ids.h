#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace lovagecleat {

// A string identifier with a distinct type per tag.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}
  explicit StringId(std::string_view value) : value_(value) {}
  explicit StringId(const char* value) : value_(value) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StringId&, const StringId&) = default;

 private:
  std::string value_;
};

// A numeric identifier with a distinct type per tag. Zero means none.
template <typename Tag>
class NumberId {
 public:
  NumberId() = default;
  explicit NumberId(std::uint64_t value) : value_(value) {}

  std::uint64_t value() const { return value_; }

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NumberId&, const NumberId&) = default;

 private:
  std::uint64_t value_ = 0;
};

using HostId = StringId<struct HostIdTag>;
using ZoneId = StringId<struct ZoneIdTag>;
using ServerId = StringId<struct ServerIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using TeamId = StringId<struct TeamIdTag>;
using ClassId = StringId<struct ClassIdTag>;
using PipelineId = StringId<struct PipelineIdTag>;

// Unique over all hosts and incarnations: "HOST-INCARNATION-COUNTER".
using RequestId = StringId<struct RequestIdTag>;

// One HTTP exchange with a caller or an operator at this host.
using CallId = NumberId<struct CallIdTag>;

// One attempt at one stage on this host.
using AttemptId = NumberId<struct AttemptIdTag>;

// One read or write of the platform's table by this host.
using OperationId = NumberId<struct OperationIdTag>;

}  // namespace lovagecleat

template <typename Tag>
struct std::hash<lovagecleat::StringId<Tag>> {
  std::size_t operator()(const lovagecleat::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};

template <typename Tag>
struct std::hash<lovagecleat::NumberId<Tag>> {
  std::size_t operator()(const lovagecleat::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value());
  }
};
