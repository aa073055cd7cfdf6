// What each mechanism of admission contributes, in the queue model with nine instances that share
// one pool: 112 places, 200 ms to the first result, 2 s mean hold, deadline 1 s unless stated
// otherwise. Figures are printed with --log_level=message. docs/routing.md explains them.

#include "tests/admission/overload_simulation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace azuregw {
namespace {

OverloadFigures Measure(const std::string& name, const OverloadOptions& options,
                        const std::vector<Demand>& demands) {
  OverloadSimulation simulation(options, demands);
  const OverloadFigures figures = simulation.Run();
  std::ostringstream line;
  line.precision(1);
  line << std::fixed << name << ": bound " << simulation.Bound() << "/s, in time "
       << figures.goodput_per_s << "/s, late " << figures.late_per_s << "/s, refused "
       << figures.refused_per_s << "/s after " << figures.refusal_wait_mean_ms
       << " ms, first result p95 " << figures.first_result_p95_ms << " ms";
  if (figures.came_back > 0) {
    line << ", came back " << figures.came_back << ", of these in time "
         << figures.came_back_in_time;
  }
  BOOST_TEST_MESSAGE(line.str());
  return figures;
}

// Ten workspaces that together ask for `load` times the bound.
std::vector<Demand> EvenDemand(const OverloadOptions& options, double load) {
  const double bound = OverloadSimulation(options, {}).Bound();
  std::vector<Demand> demands;
  for (int i = 0; i < 10; ++i) {
    demands.push_back({"w" + std::to_string(i), load * bound / 10});
  }
  return demands;
}

// Two workspaces that flood, and eight that ask for `small` of their tenth of the bound.
std::vector<Demand> FloodDemand(const OverloadOptions& options, double small) {
  const double bound = OverloadSimulation(options, {}).Bound();
  std::vector<Demand> demands = {{"large-0", 2 * bound}, {"large-1", 2 * bound}};
  for (int i = 0; i < 8; ++i) {
    demands.push_back({"small-" + std::to_string(i), small * bound / 10});
  }
  return demands;
}

// Share of the requests of the worst-served small workspace that were answered in time.
double WorstSmall(const std::string& name, const OverloadOptions& options, double small) {
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

// Guards against congestion collapse: goodput at and above twice the bound stays near its peak.
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

// Guards against a limit that trusts the preset when half of the upstreams do not work, or that
// wastes capacity when the load balancer sends half of all requests to one instance.
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

// Guards against a flood that takes the places of small workspaces.
BOOST_AUTO_TEST_CASE(small_workspaces_keep_their_share) {
  const OverloadOptions options;
  const double all = WorstSmall("flood", options, 0.5);
  BOOST_TEST(all > 0.95);
  OverloadOptions fifo = options;
  fifo.admission.fair_queueing = false;
  BOOST_TEST(WorstSmall("flood, order of arrival", fifo, 0.5) < 0.5 * all);
  OverloadOptions no_reserve = options;
  no_reserve.admission.reserve = 0;
  BOOST_TEST(WorstSmall("flood, no reserve", no_reserve, 0.5) < 0.95 * all);
  OverloadOptions no_credit = options;
  no_credit.admission.fair_credit = 0;
  BOOST_TEST(WorstSmall("flood, no credit", no_credit, 0.5) < 0.95 * all);
  OverloadOptions patient = options;
  patient.deadline_ms = 2000;
  BOOST_TEST(WorstSmall("flood, 0.8 of the share, deadline 2 s", patient, 0.8) > 0.9);
}

// Guards against requests that wait for an answer that will be late.
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

// Guards against a hint that sends all refused callers back at once: after a burst of 15 s, callers
// repeat when they were told to.
BOOST_AUTO_TEST_CASE(retry_hint_is_honest) {
  OverloadOptions options;
  options.come_back = true;
  options.seconds = 240;
  options.burst = 8;
  options.burst_from_s = 60;
  options.burst_to_s = 75;
  const auto demand = EvenDemand(options, 0.5);
  const auto share = [](const OverloadFigures& f) {
    return static_cast<double>(f.came_back_in_time) / f.came_back;
  };
  const double spread = share(Measure("burst", options, demand));
  options.admission.spread_hints = false;
  const double same = share(Measure("burst, same hint for all", options, demand));
  BOOST_TEST(spread > 0.5);
  BOOST_TEST(spread > 2 * same);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
