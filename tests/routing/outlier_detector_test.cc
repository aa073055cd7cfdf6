// Tests of OutlierDetector: ejection conditions, durations and the limit of ejected engines.

#include "azuregw/routing/outlier_detector.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

namespace azuregw {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

// Engines of one range and their health.
struct EngineRange {
  explicit EngineRange(int count) : health(static_cast<size_t>(count)) {
    for (EngineHealth& engine : health) {
      peers.push_back({&engine, 0, 0.0});
    }
  }
  void Fail(size_t engine, int times) {
    for (int i = 0; i < times; ++i) {
      health[engine].OnFailure(kStart);
    }
  }
  void Succeed(size_t engine, double ms) {
    for (int i = 0; i < 30; ++i) {
      health[engine].OnSuccess(ms, kStart);
    }
  }
  std::deque<EngineHealth> health;
  std::vector<OutlierPeer> peers;
};

BOOST_AUTO_TEST_SUITE(outlier_detector)

// Guards against ejecting all engines of a range, or more than the allowed share.
BOOST_AUTO_TEST_CASE(never_ejects_more_than_the_share) {
  const OutlierDetector detector;
  for (int count = 1; count <= 5; ++count) {
    EngineRange range(count);
    for (size_t i = 0; i < range.health.size(); ++i) {
      range.Fail(i, 10);
    }
    const auto first = detector.Evaluate(range.peers, kStart);
    BOOST_TEST(static_cast<int>(first.size()) == count / 2);
    BOOST_TEST(detector.Evaluate(range.peers, kStart + Milliseconds(1)).empty());
  }
}

// Guards against a constant ejection duration while an engine keeps failing.
BOOST_AUTO_TEST_CASE(duration_doubles) {
  const OutlierDetector detector;
  EngineRange range(4);
  range.Fail(0, 3);
  const auto first = detector.Evaluate(range.peers, kStart);
  BOOST_REQUIRE(first.size() == 1u);
  BOOST_TEST((first[0].until - kStart == std::chrono::seconds(10)));
  BOOST_TEST(range.health[0].IsEjected(kStart + std::chrono::seconds(9)));
  BOOST_TEST(!range.health[0].IsEjected(first[0].until));
  range.Fail(0, 1);  // A single failure suffices after an ejection.
  const auto second = detector.Evaluate(range.peers, first[0].until);
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST((second[0].until - first[0].until == std::chrono::seconds(20)));
}

// Guards against ejecting engines because their kind of accelerator is slower than others.
BOOST_AUTO_TEST_CASE(latency_is_compared_within_a_kind) {
  const OutlierDetector detector;
  EngineRange range(8);
  for (size_t i = 0; i < 8; ++i) {
    range.peers[i].kind = i < 4 ? 0 : 1;
    range.Succeed(i, i < 4 ? 10 : 50);
  }
  BOOST_TEST(detector.Evaluate(range.peers, kStart).empty());
  range.Succeed(1, 100);
  const auto ejected = detector.Evaluate(range.peers, kStart);
  BOOST_REQUIRE(ejected.size() == 1u);
  BOOST_TEST(ejected[0].index == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
