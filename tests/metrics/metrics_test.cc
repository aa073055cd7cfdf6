// Tests the exported text, the accuracy of quantiles, and that no updates are lost.

#include "azuregw/metrics/metrics.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace azuregw {
namespace {

// Returns the value of the line that starts with `series`, or -1.
double ValueOf(const std::string& text, const std::string& series) {
  const size_t at = text.find("\n" + series + " ");
  return at == std::string::npos ? -1 : std::strtod(text.c_str() + at + series.size() + 2, nullptr);
}

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(series_are_printed_by_kind) {
  const auto metrics = MakeMetrics();
  metrics->Add("azuregw_a_total", "op=\"get\"", 2);
  metrics->Add("azuregw_a_total", "op=\"get\"", 3);
  metrics->Add("azuregw_a_total", "op=\"put\"", 1);
  metrics->Set("azuregw_b", "", 7);
  metrics->Set("azuregw_b", "", 8);
  const std::string text = metrics->PrometheusText();
  BOOST_TEST(text.find("# TYPE azuregw_a_total counter\n") != std::string::npos);
  BOOST_TEST(text.find("# TYPE azuregw_b gauge\n") != std::string::npos);
  BOOST_TEST(ValueOf(text, "azuregw_a_total{op=\"get\"}") == 5);
  BOOST_TEST(ValueOf(text, "azuregw_a_total{op=\"put\"}") == 1);
  BOOST_TEST(ValueOf(text, "azuregw_b") == 8);
  BOOST_TEST(ValueOf(text, "process_resident_memory_bytes") > 0);
  BOOST_TEST(ValueOf(text, "process_cpu_seconds_total") >= 0);
}

// Guards against wrong parameters or input of the estimator. Its error for this input is far below
// the tolerance of 5 %.
BOOST_AUTO_TEST_CASE(quantiles_of_a_uniform_distribution) {
  const auto metrics = MakeMetrics();
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1000);
  for (int i = 0; i < 20000; ++i) {
    metrics->Observe("azuregw_ms", "", uniform(random));
  }
  const std::string text = metrics->PrometheusText();
  BOOST_TEST(ValueOf(text, "azuregw_ms{quantile=\"0.5\"}") == 500,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(ValueOf(text, "azuregw_ms{quantile=\"0.95\"}") == 950,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(ValueOf(text, "azuregw_ms{quantile=\"0.99\"}") == 990,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(ValueOf(text, "azuregw_ms_count") == 20000);
}

// Guards against undefined quantiles, which the estimator returns until all its markers are set.
BOOST_AUTO_TEST_CASE(quantiles_are_omitted_for_few_observations) {
  const auto metrics = MakeMetrics();
  metrics->Observe("azuregw_ms", "", 3);
  const std::string text = metrics->PrometheusText();
  BOOST_TEST(text.find("quantile") == std::string::npos);
  BOOST_TEST(ValueOf(text, "azuregw_ms_sum") == 3);
}

// Guards against buckets that are not cumulative, which dashboards cannot sum over instances.
BOOST_AUTO_TEST_CASE(latencies_are_counted_in_cumulative_buckets) {
  const auto metrics = MakeMetrics();
  for (const double ms : {1.0, 120.0, 180.0, 40000.0}) {
    metrics->ObserveLatency("azuregw_request_ms", "outcome=\"delivered\"", ms);
  }
  const std::string text = metrics->PrometheusText();
  const std::string series = "azuregw_request_ms_bucket{outcome=\"delivered\",le=";
  BOOST_TEST(ValueOf(text, series + "\"5\"}") == 1);
  BOOST_TEST(ValueOf(text, series + "\"150\"}") == 2);
  BOOST_TEST(ValueOf(text, series + "\"200\"}") == 3);
  BOOST_TEST(ValueOf(text, series + "\"20000\"}") == 3);
  BOOST_TEST(ValueOf(text, series + "\"+Inf\"}") == 4);
  BOOST_TEST(ValueOf(text, "azuregw_request_ms_count{outcome=\"delivered\"}") == 4);
  BOOST_TEST(ValueOf(text, "azuregw_request_ms_sum{outcome=\"delivered\"}") == 40301);
  BOOST_TEST(text.find("# TYPE azuregw_request_ms histogram") != std::string::npos);
}

// Guards against lost updates by concurrent threads.
BOOST_AUTO_TEST_CASE(concurrent_updates_are_not_lost) {
  constexpr int kThreads = 8;
  constexpr int kRounds = 5000;
  const auto metrics = MakeMetrics();
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&metrics] {
      for (int round = 0; round < kRounds; ++round) {
        metrics->Add("azuregw_a_total", "", 1);
        metrics->Observe("azuregw_ms", "", round);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = metrics->PrometheusText();
  BOOST_TEST(ValueOf(text, "azuregw_a_total") == kThreads * kRounds);
  BOOST_TEST(ValueOf(text, "azuregw_ms_count") == kThreads * kRounds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
