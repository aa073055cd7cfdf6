// Figures of one load run: throughput against the bound, latencies, refusals, fairness, recovery.

#ifndef BENCH_LOAD_REPORT_H_
#define BENCH_LOAD_REPORT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/load/load_run.h"

namespace azuregw::load {

struct ReportOptions {
  double bound_tokens_per_s = 0;
  double warmup_s = 1;
  double end_s = 0;     // End of the arrivals.
  double fault_s = -1;  // Start of a fault; negative: none.
};

// `values` is sorted in place; 0 when it is empty.
double Percentile(std::vector<double>* values, double share);

nlohmann::json MakeReport(const LoadResult& result, const ReportOptions& options);

// A short table of one report.
std::string FormatTable(const nlohmann::json& report);

}  // namespace azuregw::load

#endif  // BENCH_LOAD_REPORT_H_
