#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// What requests compete for at the servers of one service in one zone.
enum class RoomKind : std::uint8_t {
  kCalls,    // work is counted in items
  kResults,  // work is counted in bytes of results that servers hold
};
inline constexpr std::uint32_t kRoomKinds = 2;

struct RoomResource {
  ServiceId service;
  ZoneId zone;
  RoomKind kind = RoomKind::kCalls;

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RoomResource&, const RoomResource&) = default;
};

// Place of a request in the order in which room is given; lower goes first.
struct RoomRank {
  static constexpr int kPriorities = 4;  // less urgent ones count as the last
  static constexpr int kWorthSteps = 16;

  bool is_late = false;  // cannot meet its objective
  int priority = 0;
  int worth_step = 0;  // 0 is the most worth

  std::uint32_t Encode() const;
  // Takes any number for the nearest rank.
  static RoomRank Decode(std::uint32_t number);

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RoomRank&, const RoomRank&) = default;
};

// `worth_per_second` is the worth for each second of the scarce resource.
RoomRank MakeRoomRank(int priority, double worth_per_second);

// Weights of teams; 1 for teams without an entry.
using RoomWeights = std::map<TeamId, double>;

// Work at one resource for one team.
struct RoomWork {
  RoomResource resource;
  RoomRank rank;
  TeamId team;
  double work = 0;
};

// Part of each resource that is left to each priority but the most urgent.
inline constexpr double kLeastRoomShare = 0.05;

// What a resource can do.
struct RoomSupply {
  double per_second = 0;  // 0: not known, taken for unlimited
  double at_once = 0;     // free now
  // Part of the rate that the work brings which came of late and goes before
  // each priority; the last is that before late work.
  std::array<double, RoomRank::kPriorities + 1> taken{};

  // Returns the part of the rate that is left to a rank while such work comes.
  double ShareOf(const RoomRank& rank) const;
};

// A team with more work at a rank than most.
struct RoomTeam {
  TeamId team;
  double ahead = 0;  // work of the rank that goes before more of the team's
};

struct RoomRankLoad {
  RoomRank rank;
  double total = 0;
  // Work of the rank that goes before that of a team without any.
  double even = 0;
  std::vector<RoomTeam> crowded;
};

// The load of one resource, as its batching host tells it.
struct RoomLoad {
  RoomSupply supply;
  std::vector<RoomRankLoad> ranks;  // ascending

  // Returns the time until `work` more of that rank and team has room.
  Duration WaitFor(const RoomRank& rank, const TeamId& team, double work) const;
  // Returns whether other work waits.
  bool HasWaiting() const;
  // Counts work that was admitted since the load was measured.
  void Add(const RoomRank& rank, double work);
};

// Measures a load from the work that waits for the resource.
RoomLoad MeasureRoom(std::span<const RoomWork> waiting,
                     const RoomSupply& supply, const RoomWeights& weights);

// One step of a request; what a step depends on stands before it.
struct RoomStep {
  struct Need {
    const RoomLoad* load = nullptr;
    double work = 0;
    double usual_work = 0;  // of requests of the route
  };
  std::vector<std::size_t> dependencies;
  Duration time{};  // once it has room
  std::vector<Need> needs;
};

struct RoomQuestion {
  std::vector<RoomStep> steps;
  Duration rest{};  // time after the last step
  int priority = 0;
  double worth = 1;
  TeamId team;
  Duration objective{};  // time left
  Duration deadline{};   // time left
};

enum class RoomVerdict {
  kInObjective,
  kInDeadline,  // goes after all that can meet their objectives
  kNone,        // refused
};

struct RoomAnswer {
  RoomVerdict verdict = RoomVerdict::kInObjective;
  RoomRank rank;
  Duration finish{};                // expected
  std::optional<std::size_t> step;  // with the scarce resource
  // Time until a request like this could meet its objective.
  Duration room_after{};
};

// Decides whether a request can be served, given what is ahead of it. Handles
// the load patterns "burst of one class" and "sustained overload".
RoomAnswer DecideRoom(const RoomQuestion& question);

}  // namespace lovagecleat::routing
