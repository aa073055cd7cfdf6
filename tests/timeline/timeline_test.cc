// Hybrid clock, ring of events and merge.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "azuregw/timeline/event_ring.h"
#include "azuregw/timeline/timeline_merge.h"

namespace azuregw {
namespace {

class FixedClock final : public Clock {
 public:
  explicit FixedClock(int64_t wall_ms) : wall(wall_ms) {}
  TimePoint Now() const override { return TimePoint(); }
  int64_t WallMs() const override { return wall; }
  int64_t wall;
};

BOOST_AUTO_TEST_SUITE(timeline)

// Guards against an effect that is shown before its cause when clocks differ or step back.
BOOST_AUTO_TEST_CASE(stamps_follow_messages) {
  FixedClock ahead(1000000);
  FixedClock behind(990000);
  HybridLogicalClock sender(ahead);
  HybridLogicalClock receiver(behind);
  const uint64_t sent = sender.Now();
  receiver.Observe(sent);
  BOOST_TEST(receiver.Now() > sent);
  const uint64_t before = sender.Now();
  ahead.wall -= 5000;
  BOOST_TEST(sender.Now() > before);
}

// Guards against one broken clock dragging every instance into the future.
BOOST_AUTO_TEST_CASE(far_future_is_ignored) {
  FixedClock clock(1000000);
  HybridLogicalClock hybrid(clock);
  hybrid.Observe(uint64_t{9000000} << 16);
  BOOST_TEST(HybridLogicalClock::WallMs(hybrid.Now()) == 1000000);
}

// Guards against unbounded memory: events above the capacity and long texts.
BOOST_AUTO_TEST_CASE(ring_is_bounded) {
  FixedClock clock(1000);
  HybridLogicalClock hybrid(clock);
  EventRing ring(10, clock, &hybrid);
  for (int i = 0; i < 25; ++i) {
    ring.Record("peer", "event", i % 2 == 0 ? "r1" : "r2", std::string(5000, 'x'), ResultCode::kOk);
  }
  const auto events = ring.Read(0, "", 100);
  BOOST_TEST(events.size() == 10u);
  BOOST_TEST(ring.Dropped() == 15u);
  BOOST_TEST(events[0].detail.size() <= 512u);
  BOOST_TEST(ring.Read(0, "r1", 100).size() == 5u);
  BOOST_TEST(ring.Read(events[7].hlc, "", 100).size() == 2u);
  BOOST_TEST(ring.Read(0, "", 3).at(2).hlc == events[9].hlc);
}

// Guards against a timeline that looks complete although an instance did not answer.
BOOST_AUTO_TEST_CASE(merge_orders_events_and_names_missing_instances) {
  FixedClock clock(1000);
  HybridLogicalClock hybrid(clock);
  EventRing a(10, clock, &hybrid);
  EventRing b(10, clock, &hybrid);
  a.Record("control", "first", "", "", ResultCode::kOk);
  b.Record("control", "second", "", "", ResultCode::kNoChain);
  a.Record("control", "third", "", "", ResultCode::kOk);
  TimelineMerge merge({"gw-a", "gw-b", "gw-c", "gw-d"});
  wire::TimelineRequestT request;
  request.limit = 100;
  merge.Add("gw-b", b.Answer("gw-b", request));
  merge.Add("gw-a", a.Answer("gw-a", request));
  merge.Add("gw-a", a.Answer("gw-a", request));
  merge.AddUnreachable("gw-c");
  BOOST_TEST(!merge.IsComplete());
  const auto document = nlohmann::json::parse(TimelineToJson(merge.Finish(100)));
  BOOST_REQUIRE(document["events"].size() == 3u);
  BOOST_TEST(document["events"][0]["event"] == "first");
  BOOST_TEST(document["events"][1]["instance"] == "gw-b");
  BOOST_TEST(document["events"][2]["event"] == "third");
  BOOST_TEST((document["unreachable"] == nlohmann::json({"gw-c", "gw-d"})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
