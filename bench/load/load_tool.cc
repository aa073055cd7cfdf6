// azuregw-bench: bounded load against real processes on the loopback, with faults.
//
//   azuregw-bench --profile=dathanna --load=0.8 --seconds=20 --fault=stage_killed

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "bench/load/load_run.h"
#include "bench/load/profile.h"
#include "bench/load/repair_gaps.h"
#include "bench/load/report.h"
#include "bench/load/usage.h"
#include "tests/support/cluster.h"

DEFINE_string(profile, "dathanna", "workload: dathanna or swanlink");
DEFINE_double(load, 0.8, "offered tokens as a ratio to the bound");
DEFINE_int32(seconds, 15, "time of arrivals, at most 300");
DEFINE_int32(instances, 3, "instances");
DEFINE_int32(engines_per_range, 10, "engines for each of 3 layer ranges");
DEFINE_int32(capacity, 4, "steps an engine runs at the same time");
DEFINE_double(step_ms, 20,
              "time of one step of the faster kind; the other kinds take 1.5 and 2 times as long");
DEFINE_double(slow_link_ms, 10,
              "one-way time between fd-a and fd-c; the other links take a hundredth");
DEFINE_uint64(seed, 1, "seed of the schedule");
DEFINE_string(policy, "", "empty for the shipped policy, or random, round_robin, least_reported");
DEFINE_string(fault, "",
              "none, stage_killed, stage_frozen, stage_slow, engine_joins, third_leaves, "
              "instance_killed, kv_down, "
              "or two joined by +");
DEFINE_double(fault_at, 6, "seconds from the start to the fault");
DEFINE_int32(max_callers, 1500, "requests in flight at most");
DEFINE_int32(idle_seconds, 0,
             "no load: print what the idle instances use in this time, at most 300");
DEFINE_int32(
    listed_engines, 0,
    "further engines of other models in the preset, at loopback addresses that refuse connections");
DEFINE_int32(repair_gaps, 0,
             "measure the gap of replaced stages with this many answers per kind instead");
DEFINE_int32(added_time_pairs, 0,
             "no load: compare this many look-ups through an instance and directly, at most 5000");
DEFINE_bool(usage, false, "print what the instances use per token under the load");
DEFINE_string(out, "", "file for the result as JSON");

namespace azuregw::load {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kWorkspaces = 10;
constexpr int kRanges = 3;
constexpr int kLayersPerRange = 8;
constexpr int kMaxSeconds = 300;
constexpr int kKvOutageMs = 30000;
const char* const kKinds[] = {"h100", "a100", "l4"};
const double kKindFactors[] = {1.0, 1.5, 2.0};
const char* const kDomains[] = {"fd-a", "fd-b", "fd-c"};

std::vector<testing::EngineOptions> MakeEngines() {
  std::vector<testing::EngineOptions> engines;
  for (int range = 0; range < kRanges; ++range) {
    for (int i = 0; i < FLAGS_engines_per_range; ++i) {
      testing::EngineOptions engine;
      engine.name = "design-" + std::to_string(range) + "-" + std::to_string(i);
      engine.first_layer = range * kLayersPerRange;
      engine.last_layer = (range + 1) * kLayersPerRange;
      engine.kind = kKinds[i % 3];
      engine.failure_domain = kDomains[(i + range) % 3];
      engine.capacity = FLAGS_capacity;
      engine.step_ms = FLAGS_step_ms * kKindFactors[i % 3];
      engines.push_back(engine);
    }
  }
  return engines;
}

// Capacity of the range with the least, in tokens per second.
double Bound(const std::vector<testing::EngineOptions>& engines) {
  std::map<int, double> by_range;
  for (const testing::EngineOptions& engine : engines) {
    by_range[engine.first_layer] += engine.capacity / engine.step_ms * 1000;
  }
  double bound = by_range.begin()->second;
  for (const auto& [range, rate] : by_range) {
    bound = std::min(bound, rate);
  }
  return bound;
}

void Leave(testing::Cluster* cluster) {
  std::vector<std::string> leaving;
  for (size_t i = 0; i < cluster->engines().size(); i += 3) {
    cluster->Control(cluster->engines()[i], "/test/leaving");
    leaving.push_back(cluster->engines()[i].name);
  }
  cluster->PublishList(leaving);
}

std::function<void()> FindFault(testing::Cluster* cluster, const std::string& name) {
  testing::Node* stage = &cluster->engines()[static_cast<size_t>(FLAGS_engines_per_range)];
  if (name == "stage_killed") {
    return [stage] { stage->process->Kill(); };
  }
  if (name == "stage_frozen") {
    return [stage] { stage->process->Stop(); };
  }
  if (name == "stage_slow") {
    return [cluster, stage] {
      cluster->Control(*stage,
                       "/test/delay?ms=" + std::to_string(static_cast<int>(FLAGS_step_ms * 100)));
    };
  }
  if (name == "third_leaves") {
    return [cluster] { Leave(cluster); };
  }
  if (name == "engine_joins") {
    return [cluster, stage] { cluster->StartNode(stage); };
  }
  if (name == "instance_killed") {
    return [cluster] { cluster->instances().back().process->Kill(); };
  }
  if (name == "kv_down") {
    return [cluster] {
      cluster->Control(cluster->kv(), "/test/outage?ms=" + std::to_string(kKvOutageMs));
    };
  }
  std::cerr << "unknown fault " << name << "\n";
  std::exit(1);
}

double LinkMsBetween(const std::string& from, const std::string& to) {
  if (from == to) {
    return 0;
  }
  const bool is_slow = (from == "fd-a" && to == "fd-c") || (from == "fd-c" && to == "fd-a");
  return is_slow ? FLAGS_slow_link_ms : FLAGS_slow_link_ms / 100;
}

// Gives each engine the time of a fetch (two ways) from every other one.
void SetLinkTimes(testing::Cluster* cluster) {
  for (const testing::Node& engine : cluster->engines()) {
    json times = json::object();
    for (const testing::Node& source : cluster->engines()) {
      times[source.address] = 2 * LinkMsBetween(engine.failure_domain, source.failure_domain);
    }
    testing::SendRequest("PUT", engine.address, "/test/links", times.dump(), {});
  }
}

std::vector<TimedAction> MakeActions(testing::Cluster* cluster) {
  std::vector<TimedAction> actions;
  std::string rest = FLAGS_fault == "none" ? "" : FLAGS_fault;
  while (!rest.empty()) {
    const size_t plus = rest.find('+');
    const std::string name = rest.substr(0, plus);
    rest = plus == std::string::npos ? "" : rest.substr(plus + 1);
    if (name == "engine_joins") {  // It is away from the start on.
      cluster->engines()[static_cast<size_t>(FLAGS_engines_per_range)].process->Kill();
    }
    actions.push_back(
        {milliseconds(static_cast<int>(FLAGS_fault_at * 1000)), name, FindFault(cluster, name)});
  }
  return actions;
}

testing::ClusterOptions MakeClusterOptions() {
  testing::ClusterOptions options;
  options.instances = FLAGS_instances;
  options.layers = kRanges * kLayersPerRange;
  options.engines = MakeEngines();
  options.services = 3;
  options.workspaces = kWorkspaces;
  if (!FLAGS_policy.empty()) {
    options.instance_command = {AZUREGW_BASELINE_BINARY, "--policy=" + FLAGS_policy};
  }
  return options;
}

json MeasureIdle(testing::Cluster* cluster) {
  const int seconds = std::min(FLAGS_idle_seconds, kMaxSeconds);
  // The first seconds belong to the preset and to membership.
  std::this_thread::sleep_for(std::chrono::seconds(10));
  const Usage before = ReadUsage(cluster);
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  return CompareUsage(before, ReadUsage(cluster), seconds);
}

// Tokens of all streams, the use of the instances over the run, and per stream the memory that
// `middle` has over `before`.
json MakeUsageReport(const LoadResult& result, const Usage& before, const Usage& middle,
                     const Usage& after) {
  json report = CompareUsage(before, after, result.duration_s);
  int tokens = 0;
  for (const CallerRecord& record : result.records) {
    tokens += record.tokens;
  }
  report["tokens"] = tokens;
  report["requests"] = result.records.size();
  report["cpu_us_per_token"] = 1e6 * (after.cpu_s - before.cpu_s) / std::max(tokens, 1);
  report["machine_loopback_B_per_token"] =
      (after.loopback_bytes - before.loopback_bytes) / std::max(tokens, 1);
  report["in_flight_in_the_middle"] = middle.in_flight;
  report["resident_kb_per_stream"] =
      (middle.resident_bytes - before.resident_bytes) / 1e3 / std::max(middle.in_flight, 1.0);
  return report;
}

int Run() {
  const int seconds = std::min(FLAGS_seconds, kMaxSeconds);
  const testing::ClusterOptions options = MakeClusterOptions();
  const std::unique_ptr<testing::Cluster> cluster = testing::Cluster::Make(options);
  if (!cluster) {
    return 1;
  }
  json preset = cluster->preset();
  preset["links"] = {
      {"fd-a", {{"fd-b", LinkMsBetween("fd-a", "fd-b")}, {"fd-c", LinkMsBetween("fd-a", "fd-c")}}},
      {"fd-b", {{"fd-c", LinkMsBetween("fd-b", "fd-c")}}}};
  SetLinkTimes(cluster.get());
  AddListedEngines(FLAGS_listed_engines, &preset);
  if (!cluster->UsePreset(preset)) {
    return 1;
  }
  if (FLAGS_idle_seconds > 0) {
    std::cout << MeasureIdle(cluster.get()).dump(1) << std::endl;
    return 0;
  }
  if (FLAGS_repair_gaps > 0) {
    std::cout << MeasureRepairGaps(cluster.get(), std::min(FLAGS_repair_gaps, 200)).dump(1)
              << std::endl;
    return 0;
  }
  if (FLAGS_added_time_pairs > 0) {
    const int pairs = std::min(FLAGS_added_time_pairs, 5000);
    std::cout << MeasureAddedTime(cluster.get(), pairs).dump(1) << std::endl;
    return 0;
  }
  const double bound = Bound(options.engines);
  std::vector<TimedAction> actions = MakeActions(cluster.get());
  const bool has_fault = !actions.empty();
  Usage middle;
  if (FLAGS_usage) {
    actions.push_back({milliseconds(seconds * 500), "usage",
                       [&middle, &cluster] { middle = ReadUsage(cluster.get()); }});
  }
  const auto schedule = MakeSchedule(FindProfile(FLAGS_profile), bound * FLAGS_load,
                                     std::chrono::seconds(seconds), kWorkspaces, FLAGS_seed);
  std::cout << "profile " << FLAGS_profile << ", load " << FLAGS_load << ", seed " << FLAGS_seed
            << ", " << schedule.size() << " requests in " << seconds << " s, fault '" << FLAGS_fault
            << "'" << std::endl;
  const Usage before = FLAGS_usage ? ReadUsage(cluster.get()) : Usage();
  const LoadResult result =
      RunLoad(cluster.get(), schedule, std::chrono::seconds(seconds), actions, FLAGS_max_callers);
  if (FLAGS_usage) {
    std::cout << MakeUsageReport(result, before, middle, ReadUsage(cluster.get())).dump(1)
              << std::endl;
  }
  ReportOptions report_options;
  report_options.bound_tokens_per_s = bound;
  report_options.end_s = seconds;
  report_options.warmup_s = has_fault ? FLAGS_fault_at / 2 : 2;
  report_options.fault_s = has_fault ? FLAGS_fault_at : -1;
  json report = MakeReport(result, report_options);
  report["profile"] = FLAGS_profile;
  report["load"] = FLAGS_load;
  report["seed"] = FLAGS_seed;
  report["fault"] = FLAGS_fault;
  report["policy"] = FLAGS_policy;
  const std::string engine_problems = cluster->CheckEngineLogs();
  report["engine_log_problems"] = engine_problems;
  std::cout << FormatTable(report) << (engine_problems.empty() ? "" : engine_problems);
  if (!FLAGS_out.empty()) {
    std::ofstream(FLAGS_out) << report.dump(1) << "\n";
  }
  const bool right = engine_problems.empty() && report["total"]["wrong_text"].get<int>() == 0;
  return right ? 0 : 1;
}

}  // namespace
}  // namespace azuregw::load

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return azuregw::load::Run();
}
