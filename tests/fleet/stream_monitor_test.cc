// Tests the detection of unresponsive and slow engines.

#include "azuregw/fleet/stream_monitor.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azuregw {
namespace {

class IdleStream final : public MonitoredStream {
 public:
  void RerouteAround(const std::string& /*engine*/, bool /*stopped*/) override {}
};

// Runs streams with an event every 33 ms, the typical interval under normal load.
struct Fixture {
  static constexpr int kEventIntervalMs = 33;

  StreamMonitor::Key Begin(std::vector<std::string> engines) {
    streams.push_back(std::make_unique<IdleStream>());
    paths.push_back(engines);
    monitor.Begin(streams.back().get(), engines, 11, now);
    return streams.back().get();
  }
  // Runs for `ms` milliseconds. `factor` returns the multiple of the normal event interval for a
  // stream's engines; 0 stalls the stream.
  StreamMonitor::TickResult Run(
      int ms, const std::function<double(const std::vector<std::string>&)>& factor) {
    StreamMonitor::TickResult merged;
    next.resize(streams.size(), now);
    const TimePoint end = now + Milliseconds(ms);
    while (now < end) {
      for (size_t i = 0; i < streams.size(); ++i) {
        const double f = factor(paths[i]);
        if (f > 0 && now >= next[i]) {
          monitor.OnEvent(streams[i].get(), now);
          next[i] =
              now + Milliseconds(static_cast<int>(kEventIntervalMs * f) + static_cast<int>(i % 5));
        }
      }
      if (tick++ % 20 == 0) {
        const StreamMonitor::TickResult result = monitor.Tick(now);
        if (!result.unresponsive.empty() && !first_detection) {
          first_detection = now;
        }
        merged.unresponsive.insert(result.unresponsive.begin(), result.unresponsive.end());
        merged.slowdowns = result.slowdowns;
      }
      now += Milliseconds(1);
    }
    return merged;
  }

  StreamMonitor monitor;
  std::vector<std::unique_ptr<IdleStream>> streams;
  std::vector<std::vector<std::string>> paths;
  std::vector<TimePoint> next;
  TimePoint now{std::chrono::hours(1)};
  int tick = 0;
  std::optional<TimePoint> first_detection;
};

double NormalPace(const std::vector<std::string>& /*engines*/) { return 1; }

bool Contains(const std::vector<std::string>& engines, const std::string& id) {
  return std::find(engines.begin(), engines.end(), id) != engines.end();
}

// Starts a mesh of streams: stream i uses engine i%3 of the first stage, i%4 of the second and i%2
// of the third.
void BeginMesh(Fixture* f, int streams) {
  for (int i = 0; i < streams; ++i) {
    f->Begin(
        {"p" + std::to_string(i % 3), "q" + std::to_string(i % 4), "r" + std::to_string(i % 2)});
  }
}

BOOST_AUTO_TEST_SUITE(stream_monitor)

// Load pattern: an engine shared by a third of the streams becomes unresponsive. Guards against
// streams that stay on it beyond the 200 ms pause that callers accept.
BOOST_AUTO_TEST_CASE(unresponsive_engine_is_detected_within_the_accepted_pause) {
  Fixture f;
  BeginMesh(&f, 24);
  BOOST_TEST(f.Run(600, NormalPace).unresponsive.empty());
  const TimePoint failed_at = f.now;
  const auto result =
      f.Run(150, [](const auto& engines) { return Contains(engines, "p1") ? 0.0 : 1.0; });
  BOOST_REQUIRE(result.unresponsive.size() == 1U);
  BOOST_TEST(*result.unresponsive.begin() == "p1");
  BOOST_TEST((*f.first_detection - failed_at <= Milliseconds(130)));
  BOOST_TEST(f.monitor.StreamsThrough("p1").size() == 8U);
}

// Guards against reporting engines when the local network fails and all streams stall.
BOOST_AUTO_TEST_CASE(no_engine_is_reported_when_all_streams_stall) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Run(600, NormalPace);
  BOOST_TEST(f.Run(1000, [](const auto&) { return 0.0; }).unresponsive.empty());
}

// Guards against reporting engines after this process was suspended.
BOOST_AUTO_TEST_CASE(no_engine_is_reported_after_a_suspension) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Run(600, NormalPace);
  f.now += Milliseconds(3000);
  f.tick = 0;  // The overdue tick runs first.
  BOOST_TEST(f.Run(60, NormalPace).unresponsive.empty());
}

// Guards against reporting an engine because of a single preempted request.
BOOST_AUTO_TEST_CASE(one_stalled_stream_is_not_an_unresponsive_engine) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Begin({"alone", "q0", "r0"});
  f.Run(600, NormalPace);
  BOOST_TEST(f.Run(500, [](const auto& engines) {
                return Contains(engines, "alone") ? 0.0 : 1.0;
              }).unresponsive.empty());
}

// Load pattern: one of four engines of a stage becomes eight times slower. Guards against engines
// that keep receiving requests, and against reporting engines that only share paths with slow ones.
BOOST_AUTO_TEST_CASE(only_the_slow_engine_is_reported_as_slow) {
  Fixture f;
  BeginMesh(&f, 24);
  f.Run(1000, NormalPace);
  const auto result =
      f.Run(2500, [](const auto& engines) { return Contains(engines, "q2") ? 8.0 : 1.0; });
  BOOST_TEST(result.slowdowns.at("q2") > 4);
  for (const char* id : {"p0", "p1", "p2", "q0", "q1", "q3"}) {
    BOOST_TEST(result.slowdowns.at(id) < 2);
  }
  BOOST_TEST(f.monitor.SlowestStreamThrough("q2") != nullptr);
}

// Guards against losing the baseline when most paths contain a slow engine.
BOOST_AUTO_TEST_CASE(normal_pace_is_kept_when_most_paths_are_slow) {
  Fixture f;
  BeginMesh(&f, 24);
  f.Run(1000, NormalPace);
  const auto result = f.Run(2000, [](const auto&) { return 6.0; });
  BOOST_TEST(result.slowdowns.at("q2") > 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
