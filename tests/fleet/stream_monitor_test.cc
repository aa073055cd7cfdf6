// Engines found by the pace of streams.

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

// Streams with events every 33 ms, as the users' engines make them under usual load.
struct Fixture {
  static constexpr int kPauseMs = 33;

  StreamMonitor::Key Begin(std::vector<std::string> engines) {
    streams.push_back(std::make_unique<IdleStream>());
    paths.push_back(engines);
    monitor.Begin(streams.back().get(), engines, 11, now);
    return streams.back().get();
  }
  // Runs for `ms`; a stream has an event when `factor` returns a finite multiple of the usual
  // pause.
  StreamMonitor::TickResult Run(
      int ms, const std::function<double(const std::vector<std::string>&)>& factor) {
    StreamMonitor::TickResult all;
    next.resize(streams.size(), now);
    const TimePoint end = now + Milliseconds(ms);
    while (now < end) {
      for (size_t i = 0; i < streams.size(); ++i) {
        const double f = factor(paths[i]);
        if (f > 0 && now >= next[i]) {
          monitor.OnEvent(streams[i].get(), now);
          next[i] = now + Milliseconds(static_cast<int>(kPauseMs * f) + static_cast<int>(i % 5));
        }
      }
      if (tick++ % 20 == 0) {
        const StreamMonitor::TickResult findings = monitor.Tick(now);
        if (!findings.silent.empty() && !first_silent) {
          first_silent = now;
        }
        all.silent.insert(findings.silent.begin(), findings.silent.end());
        all.slowdowns = findings.slowdowns;
      }
      now += Milliseconds(1);
    }
    return all;
  }

  StreamMonitor monitor;
  std::vector<std::unique_ptr<IdleStream>> streams;
  std::vector<std::vector<std::string>> paths;
  std::vector<TimePoint> next;
  TimePoint now{std::chrono::hours(1)};
  int tick = 0;
  std::optional<TimePoint> first_silent;
};

double Usual(const std::vector<std::string>& /*engines*/) { return 1; }

bool Has(const std::vector<std::string>& engines, const std::string& id) {
  return std::find(engines.begin(), engines.end(), id) != engines.end();
}

// A mesh: stream i passes engine i%3 of the first stage, i%4 of the second and i%2 of the third.
void BeginMesh(Fixture* f, int streams) {
  for (int i = 0; i < streams; ++i) {
    f->Begin(
        {"p" + std::to_string(i % 3), "q" + std::to_string(i % 4), "r" + std::to_string(i % 2)});
  }
}

BOOST_AUTO_TEST_SUITE(stream_monitor)

// Load pattern: an engine that a third of the streams share goes dark. Guards against streams that
// stay with it beyond the pause of 200 ms that callers accept.
BOOST_AUTO_TEST_CASE(silent_engine_is_found_within_the_pause) {
  Fixture f;
  BeginMesh(&f, 24);
  BOOST_TEST(f.Run(600, Usual).silent.empty());
  const TimePoint dark = f.now;
  const auto findings =
      f.Run(150, [](const auto& engines) { return Has(engines, "p1") ? 0.0 : 1.0; });
  BOOST_REQUIRE(findings.silent.size() == 1U);
  BOOST_TEST(*findings.silent.begin() == "p1");
  BOOST_TEST((*f.first_silent - dark <= Milliseconds(130)));
  BOOST_TEST(f.monitor.StreamsThrough("p1").size() == 8U);
}

// Guards against blaming engines when the network of this instance fails: all streams are silent.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_when_all_streams_are_silent) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Run(600, Usual);
  BOOST_TEST(f.Run(1000, [](const auto&) { return 0.0; }).silent.empty());
}

// Guards against blaming engines after this process was suspended.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_after_a_suspension) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Run(600, Usual);
  f.now += Milliseconds(3000);
  f.tick = 0;  // The overdue tick comes first.
  BOOST_TEST(f.Run(60, Usual).silent.empty());
}

// Guards against taking one preempted request for a stopped engine.
BOOST_AUTO_TEST_CASE(one_silent_stream_is_no_stopped_engine) {
  Fixture f;
  BeginMesh(&f, 12);
  f.Begin({"alone", "q0", "r0"});
  f.Run(600, Usual);
  BOOST_TEST(f.Run(500, [](const auto& engines) {
                return Has(engines, "alone") ? 0.0 : 1.0;
              }).silent.empty());
}

// Load pattern: a quarter of the engines becomes twelve times slower. Guards against engines that
// keep getting work, and against blaming those that only share paths with slow ones.
BOOST_AUTO_TEST_CASE(slow_engine_has_only_slow_streams) {
  Fixture f;
  BeginMesh(&f, 24);
  f.Run(1000, Usual);
  const auto findings =
      f.Run(2500, [](const auto& engines) { return Has(engines, "q2") ? 8.0 : 1.0; });
  BOOST_TEST(findings.slowdowns.at("q2") > 4);
  for (const char* id : {"p0", "p1", "p2", "q0", "q1", "q3"}) {
    BOOST_TEST(findings.slowdowns.at(id) < 2);
  }
  BOOST_TEST(f.monitor.SlowestStreamThrough("q2") != nullptr);
}

// Guards against the loss of the scale when most paths have a slow engine.
BOOST_AUTO_TEST_CASE(usual_pace_is_remembered) {
  Fixture f;
  BeginMesh(&f, 24);
  f.Run(1000, Usual);
  const auto findings = f.Run(2000, [](const auto&) { return 6.0; });
  BOOST_TEST(findings.slowdowns.at("q2") > 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
