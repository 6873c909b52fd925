#include "services/gateway/stage_router.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/gateway/context_fixture.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What may wait for one host, and what one iteration of the loop adds to it.
constexpr std::size_t kMaximumUnsentBytes = std::size_t{512} * 1024;
constexpr std::size_t kItemBytes = 1000;
constexpr int kItemsPerIteration = 20;
// Shorter than a probe may stay unanswered.
constexpr Duration kShorterThanSuspicion = milliseconds(400);
const StageLocation kLocation{ServiceId("stage"), ZoneId("there")};

class RouterFixture : public ContextFixture {
 public:
  RouterFixture()
      : notices_(
            context, [](const std::string&) { return true; },
            [](const std::string&, const messages::ServerNotices&) {
              return true;
            }),
        runner_(context, notices_),
        router(context, runner_,
               [this](const std::string& peer,
                      const messages::StageTraffic& traffic) {
                 return Send(peer, traffic);
               }) {
    const std::vector<PeerHost> hosts = {{"a", kLocation.zone, 1},
                                         {"b", kLocation.zone, 1}};
    router.SetHosts(hosts);
  }

  bool Send(const std::string& peer, const messages::StageTraffic& traffic) {
    if (traffic.submissions_size() > 0 && lost.empty()) lost = peer;
    if (peer == lost) {
      largest = std::max(largest, traffic.ByteSizeLong());
      return false;
    }
    for (const messages::ItemSubmission& submission : traffic.submissions())
      for (const std::uint64_t item : submission.items()) arrived.insert(item);
    return true;
  }

  void SubmitItems() {
    for (int i = 0; i < kItemsPerIteration; ++i) {
      routing::QueuedItem item;
      item.request = "r" + std::to_string(submitted);
      item.inputs = {std::string(kItemBytes, 'x')};
      item.deadline = item.soft_deadline = context.Now() + seconds(10);
      router.Submit(kLocation, item, [](const ItemResult&) {});
      ++submitted;
    }
    router.Flush();
  }

  // The batching host, to which nothing can be sent.
  std::string lost;
  std::size_t largest = 0;  // message to it, in bytes
  std::size_t submitted = 0;
  std::set<std::uint64_t> arrived;  // items, at the other one

 private:
  ServerNotices notices_;
  StageRunner runner_;

 public:
  StageRouter router;
};

// Guards against memory that grows while a host cannot be sent to: its items
// waited until it was found to be silent.
TEST_CASE_METHOD(RouterFixture,
                 "A host with too much unsent stage traffic counts as lost") {
  const TimePoint begun_at = context.Now();
  SubmitItems();
  REQUIRE_FALSE(lost.empty());
  while (router.IsReachable(lost) && submitted < 2000) SubmitItems();
  CHECK_FALSE(router.IsReachable(lost));
  REQUIRE(context.Now() - begun_at < kShorterThanSuspicion);
  CHECK(largest > kMaximumUnsentBytes);
  CHECK(largest <= kMaximumUnsentBytes +
                       kItemsPerIteration * (kItemBytes + kItemBytes / 10));
  // No item is lost.
  RunFor(milliseconds(50));
  CHECK(arrived.size() == submitted);
}

}  // namespace
}  // namespace lovagecleat::gateway
