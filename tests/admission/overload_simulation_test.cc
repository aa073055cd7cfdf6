// Contribution of each admission mechanism under overload, in a simulation of nine instances that
// share one pool: capacity 112, 200 ms to the first result, 2 s mean hold time, deadline 1 s unless
// stated otherwise. Results are printed with --log_level=message; docs/routing.md explains them.

#include "tests/admission/overload_simulation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace azuregw {
namespace {

// Runs one simulation and prints its results.
OverloadFigures Measure(const std::string& name, const OverloadOptions& options,
                        const std::vector<Demand>& demands) {
  OverloadSimulation simulation(options, demands);
  const OverloadFigures figures = simulation.Run();
  std::ostringstream line;
  line.precision(1);
  line << std::fixed << name << ": capacity " << simulation.CapacityPerS() << "/s, in time "
       << figures.goodput_per_s << "/s, late " << figures.late_per_s << "/s, refused "
       << figures.refused_per_s << "/s after " << figures.refusal_wait_mean_ms
       << " ms, first result p95 " << figures.first_result_p95_ms << " ms";
  if (figures.retries > 0) {
    line << ", retries " << figures.retries << ", retries in time " << figures.retries_in_time;
  }
  BOOST_TEST_MESSAGE(line.str());
  return figures;
}

// Returns ten workspaces with a total demand of `load` times the capacity.
std::vector<Demand> EvenDemand(const OverloadOptions& options, double load) {
  const double capacity_per_s = OverloadSimulation(options, {}).CapacityPerS();
  std::vector<Demand> demands;
  for (int i = 0; i < 10; ++i) {
    demands.push_back({"w" + std::to_string(i), load * capacity_per_s / 10});
  }
  return demands;
}

// Returns two workspaces that each demand twice the capacity, and eight that each demand `small`
// times a tenth of it.
std::vector<Demand> FloodDemand(const OverloadOptions& options, double small) {
  const double capacity_per_s = OverloadSimulation(options, {}).CapacityPerS();
  std::vector<Demand> demands = {{"large-0", 2 * capacity_per_s}, {"large-1", 2 * capacity_per_s}};
  for (int i = 0; i < 8; ++i) {
    demands.push_back({"small-" + std::to_string(i), small * capacity_per_s / 10});
  }
  return demands;
}

// Returns the lowest fraction, over the small workspaces, of requests that met their deadline.
double WorstSmallWorkspaceShare(const std::string& name, const OverloadOptions& options,
                                double small) {
  const OverloadFigures figures = Measure(name, options, FloodDemand(options, small));
  double worst = 1;
  for (const auto& [workspace, w] : figures.workspaces) {
    if (workspace.rfind("small", 0) == 0) {
      worst = std::min(worst, static_cast<double>(w.in_time) / w.offered);
    }
  }
  BOOST_TEST_MESSAGE(name << ": worst small workspace " << worst);
  return worst;
}

BOOST_AUTO_TEST_SUITE(overload_simulation)

// Guards against congestion collapse: goodput at and above twice the capacity stays near its peak.
BOOST_AUTO_TEST_CASE(goodput_holds_under_overload) {
  const OverloadOptions options;
  double peak = 0;
  for (const double load : {0.9, 1.0, 1.2}) {
    peak = std::max(
        peak,
        Measure("load " + std::to_string(load), options, EvenDemand(options, load)).goodput_per_s);
  }
  for (const double load : {2.0, 3.0}) {
    const auto demand = EvenDemand(options, load);
    const OverloadFigures figures = Measure("load " + std::to_string(load), options, demand);
    BOOST_TEST(figures.goodput_per_s > 0.9 * peak);
    BOOST_TEST(figures.late_per_s < 0.05 * peak);
  }
  OverloadOptions none = options;
  none.use_admission = false;
  const auto collapsed = Measure("load 2, no admission", none, EvenDemand(none, 2));
  BOOST_TEST(collapsed.goodput_per_s < 0.5 * peak);
}

// Guards against a limit that follows the preset although half of the upstreams have failed, or
// that wastes capacity when the load balancer sends half of all requests to one instance.
BOOST_AUTO_TEST_CASE(limit_adapts_without_knowing_the_other_instances) {
  OverloadOptions half;
  half.real_capacity = 56;
  OverloadOptions uneven;
  uneven.first_instance_share = 0.5;
  const auto run = [](const std::string& name, OverloadOptions options, double load) {
    const auto demand = EvenDemand(options, load);
    const double adaptive = Measure(name, options, demand).goodput_per_s;
    options.admission.adapt_limit = false;
    return adaptive / Measure(name + ", fixed limit", options, demand).goodput_per_s;
  };
  BOOST_TEST(run("half the capacity", half, 2.0) > 1.3);
  BOOST_TEST(run("uneven load balancer", uneven, 0.8) > 1.3);
}

// Guards against starvation of small workspaces by a flood of others.
BOOST_AUTO_TEST_CASE(small_workspaces_keep_their_share) {
  const OverloadOptions options;
  const double all = WorstSmallWorkspaceShare("flood", options, 0.5);
  BOOST_TEST(all > 0.95);
  OverloadOptions fifo = options;
  fifo.admission.fair_queueing = false;
  BOOST_TEST(WorstSmallWorkspaceShare("flood, order of arrival", fifo, 0.5) < 0.5 * all);
  OverloadOptions no_reserve = options;
  no_reserve.admission.reserve = 0;
  BOOST_TEST(WorstSmallWorkspaceShare("flood, no reserve", no_reserve, 0.5) < 0.95 * all);
  OverloadOptions no_credit = options;
  no_credit.admission.fair_credit = 0;
  BOOST_TEST(WorstSmallWorkspaceShare("flood, no credit", no_credit, 0.5) < 0.95 * all);
  OverloadOptions patient = options;
  patient.deadline_ms = 2000;
  BOOST_TEST(WorstSmallWorkspaceShare("flood, 0.8 of the share, deadline 2 s", patient, 0.8) > 0.9);
}

// Guards against requests that wait although their response will be late.
BOOST_AUTO_TEST_CASE(early_refusal_saves_work) {
  const OverloadOptions options;
  OverloadOptions waiting = options;
  waiting.admission.check_deadlines = false;
  const auto demand = EvenDemand(options, 2);
  const OverloadFigures early = Measure("load 2", options, demand);
  const OverloadFigures none = Measure("load 2, no deadline check", waiting, demand);
  BOOST_TEST(early.goodput_per_s > 1.2 * none.goodput_per_s);
  BOOST_TEST(early.refusal_wait_mean_ms < 0.5 * none.refusal_wait_mean_ms);
}

// Guards against a retry_after that makes all refused callers retry at the same time: after a burst
// of 15 s, callers retry after the time they were given.
BOOST_AUTO_TEST_CASE(retries_after_a_burst_are_spread) {
  OverloadOptions options;
  options.retry_after_refusal = true;
  options.seconds = 240;
  options.burst = 8;
  options.burst_from_s = 60;
  options.burst_to_s = 75;
  const auto demand = EvenDemand(options, 0.5);
  const auto share = [](const OverloadFigures& f) {
    return static_cast<double>(f.retries_in_time) / f.retries;
  };
  const double spread = share(Measure("burst", options, demand));
  options.admission.spread_retry_after = false;
  const double same = share(Measure("burst, same retry_after for all", options, demand));
  BOOST_TEST(spread > 0.5);
  BOOST_TEST(spread > 2 * same);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
