// Sends a schedule of arrivals, open loop, to the instances of a cluster and collects what the
// callers saw.

#ifndef BENCH_LOAD_LOAD_RUN_H_
#define BENCH_LOAD_LOAD_RUN_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "bench/load/profile.h"
#include "tests/support/cluster.h"

namespace azuregw::load {

// Width of the bins in which delivered tokens are counted.
constexpr std::chrono::milliseconds kBin{100};

struct CallerRecord {
  ArrivalKind kind = ArrivalKind::kStream;
  int workspace = 0;
  double at_s = 0;  // Since the start of the run.
  bool complete = false;
  bool right_text = true;
  int resumes = 0;       // Connections lost and taken up again at another instance.
  int refusal_code = 0;  // Result code of a refusal before any token.
  std::string error;     // What a caller would see as a failure; empty for complete or refused.
  int tokens = 0;
  double first_token_ms = -1;
  std::vector<double> gaps_ms;
};

struct LoadResult {
  std::vector<CallerRecord> records;
  std::vector<int64_t> tokens_per_bin;
  double duration_s = 0;
};

// Something that happens at a time during the run, such as a fault.
struct TimedAction {
  std::chrono::milliseconds at{0};
  std::string name;
  std::function<void()> run;
};

// Blocks until all callers have ended. At most `max_callers` requests are in flight; further ones
// count as errors.
LoadResult RunLoad(testing::Cluster* cluster, const std::vector<Arrival>& schedule,
                   std::chrono::milliseconds duration, const std::vector<TimedAction>& actions,
                   int max_callers);

}  // namespace azuregw::load

#endif  // BENCH_LOAD_LOAD_RUN_H_
