// Processor time, memory, peer bytes and calls on the key-value service of instances, read from
// outside: /proc and the metrics page.

#ifndef BENCH_LOAD_USAGE_H_
#define BENCH_LOAD_USAGE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace azuregw::load {

// Totals since the start of each process, summed over the instances that run, except for memory.
struct Usage {
  double cpu_s = 0;
  double control_cpu_s = 0;
  double resident_bytes = 0;      // Sum over the instances.
  double max_resident_bytes = 0;  // Of one instance.
  double in_flight = 0;
  double peer_bytes_sent = 0;
  double peer_bytes_received = 0;
  double kv_calls = 0;
  double max_preset_revision = 0;
  double loopback_bytes = 0;  // Of the whole machine, with all other programs.
  int instances = 0;
};

Usage ReadUsage(testing::Cluster* cluster);

// Sum of all samples of `name`, over all labels, in Prometheus text.
double SumMetric(const std::string& page, const std::string& name);

// Averages per instance between two readings `seconds` apart.
nlohmann::json CompareUsage(const Usage& before, const Usage& after, double seconds);

// Times of `count` look-ups, in turn at an instance and directly at its upstream service, and the
// difference of their percentiles, in ms.
nlohmann::json MeasureAddedTime(testing::Cluster* cluster, int count);

// Adds engines that take room in the preset and whose polls fail, because their loopback addresses
// refuse connections: 100 per further model, in four ranges.
void AddListedEngines(int count, nlohmann::json* preset);

}  // namespace azuregw::load

#endif  // BENCH_LOAD_USAGE_H_
