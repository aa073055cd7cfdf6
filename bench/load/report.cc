// Reports of load runs.

#include "bench/load/report.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <set>
#include <utility>

namespace azuregw::load {
namespace {

using nlohmann::json;

constexpr double kBinSeconds = 0.1;
// Rates are averaged over this many bins before they are compared.
constexpr size_t kSmoothBins = 10;
constexpr double kRecoveredShare = 0.95;

double RateBetween(const LoadResult& result, double from_s, double to_s) {
  const auto from = static_cast<size_t>(from_s / kBinSeconds);
  const auto to = std::min(static_cast<size_t>(to_s / kBinSeconds), result.tokens_per_bin.size());
  if (to <= from) {
    return 0;
  }
  const auto begin = result.tokens_per_bin.begin();
  const auto sum = std::accumulate(begin + static_cast<std::ptrdiff_t>(from),
                                   begin + static_cast<std::ptrdiff_t>(to), int64_t{0});
  return static_cast<double>(sum) / ((static_cast<double>(to - from)) * kBinSeconds);
}

// Seconds from the fault until the rate over one second is back at 95 % of the rate before and the
// lowest rate is behind; negative when it never is.
double RecoverySeconds(const LoadResult& result, const ReportOptions& options) {
  const double before = RateBetween(result, options.warmup_s, options.fault_s);
  double last_low = options.fault_s;
  bool recovered = true;
  const double window = kBinSeconds * static_cast<double>(kSmoothBins);
  for (double end = options.fault_s + window; end <= options.end_s; end += kBinSeconds) {
    recovered = RateBetween(result, end - window, end) >= kRecoveredShare * before;
    if (!recovered) {
      last_low = end;
    }
  }
  return recovered ? last_low - options.fault_s : -1;
}

json Latencies(std::vector<double> values) {
  return {{"count", values.size()},
          {"p50_ms", Percentile(&values, 0.5)},
          {"p95_ms", Percentile(&values, 0.95)},
          {"p99_ms", Percentile(&values, 0.99)},
          {"max_ms", values.empty() ? 0 : values.back()}};
}

struct Tally {
  int offered = 0;
  int complete = 0;
  int refused = 0;
  int errors = 0;
  int wrong_text = 0;
  int resumes = 0;
};

json ToJson(const Tally& tally) {
  return {{"offered", tally.offered}, {"complete", tally.complete},     {"refused", tally.refused},
          {"errors", tally.errors},   {"wrong_text", tally.wrong_text}, {"resumes", tally.resumes}};
}

void Count(const CallerRecord& record, Tally* tally) {
  ++tally->offered;
  tally->complete += record.complete ? 1 : 0;
  tally->refused += record.refusal_code != 0 ? 1 : 0;
  tally->errors += record.error.empty() ? 0 : 1;
  tally->wrong_text += record.right_text ? 0 : 1;
  tally->resumes += record.resumes;
}

// Jain's index over the workspaces' shares of completed requests; 1 means equal shares.
double Fairness(const std::map<int, Tally>& workspaces) {
  double sum = 0;
  double squares = 0;
  for (const auto& [name, tally] : workspaces) {
    const double share =
        tally.offered == 0 ? 1 : static_cast<double>(tally.complete) / tally.offered;
    sum += share;
    squares += share * share;
  }
  return squares == 0 ? 0 : sum * sum / (static_cast<double>(workspaces.size()) * squares);
}

}  // namespace

double Percentile(std::vector<double>* values, double share) {
  if (values->empty()) {
    return 0;
  }
  std::sort(values->begin(), values->end());
  const auto index = static_cast<size_t>(share * static_cast<double>(values->size()));
  return (*values)[std::min(index, values->size() - 1)];
}

json MakeReport(const LoadResult& result, const ReportOptions& options) {
  Tally total;
  std::map<int, Tally> workspaces;
  std::map<int, int> reasons;
  std::map<std::string, int> errors;
  std::set<int> refusal_minutes;
  std::vector<double> first_tokens;
  std::vector<double> gaps;
  std::vector<double> services;
  for (const CallerRecord& record : result.records) {
    Count(record, &total);
    Count(record, &workspaces[record.workspace]);
    if (record.refusal_code != 0) {
      ++reasons[record.refusal_code];
      refusal_minutes.insert(static_cast<int>(record.at_s / 60));
    }
    if (!record.error.empty()) {
      ++errors[record.error];
    }
    if (record.kind == ArrivalKind::kStream && record.first_token_ms >= 0) {
      first_tokens.push_back(record.first_token_ms);
      gaps.insert(gaps.end(), record.gaps_ms.begin(), record.gaps_ms.end());
    } else if (record.complete) {
      services.push_back(record.first_token_ms);
    }
  }
  const double rate = RateBetween(result, options.warmup_s, options.end_s);
  json report = {{"bound_tokens_per_s", options.bound_tokens_per_s},
                 {"tokens_per_s", rate},
                 {"ratio_to_bound", rate / options.bound_tokens_per_s},
                 {"total", ToJson(total)},
                 {"first_token", Latencies(std::move(first_tokens))},
                 {"between_tokens", Latencies(std::move(gaps))},
                 {"service_calls", Latencies(std::move(services))},
                 {"fairness", Fairness(workspaces)},
                 {"refusal_minutes", refusal_minutes.size()}};
  for (const auto& [name, tally] : workspaces) {
    report["workspaces"]["ws-" + std::to_string(name)] = ToJson(tally);
  }
  for (const auto& [code, count] : reasons) {
    report["refusals"][std::to_string(code)] = count;
  }
  for (const auto& [error, count] : errors) {
    report["errors"][error] = count;
  }
  if (options.fault_s >= 0) {
    report["recovery_s"] = RecoverySeconds(result, options);
    report["rate_before_fault"] = RateBetween(result, options.warmup_s, options.fault_s);
  }
  return report;
}

std::string FormatTable(const json& report) {
  const auto number = [](const json& value) { return value.get<double>(); };
  char line[512];
  std::string table;
  std::snprintf(line, sizeof(line), "throughput %.0f of %.0f tokens/s (%.3f of the bound)\n",
                number(report["tokens_per_s"]), number(report["bound_tokens_per_s"]),
                number(report["ratio_to_bound"]));
  table += line;
  for (const char* name : {"first_token", "between_tokens", "service_calls"}) {
    const json& part = report[name];
    std::snprintf(line, sizeof(line), "%-15s p50 %7.1f  p95 %7.1f  p99 %7.1f  max %7.1f ms (%zu)\n",
                  name, number(part["p50_ms"]), number(part["p95_ms"]), number(part["p99_ms"]),
                  number(part["max_ms"]), part["count"].get<size_t>());
    table += line;
  }
  table += "callers " + report["total"].dump() + "\n";
  std::snprintf(line, sizeof(line), "fairness %.3f  minutes with a refusal %d\n",
                number(report["fairness"]), report["refusal_minutes"].get<int>());
  table += line;
  if (report.contains("refusals")) {
    table += "refusals by code " + report["refusals"].dump() + "\n";
  }
  if (report.contains("errors")) {
    table += "errors " + report["errors"].dump() + "\n";
  }
  if (report.contains("recovery_s")) {
    std::snprintf(line, sizeof(line), "recovery %.1f s to 95 %% of %.0f tokens/s\n",
                  number(report["recovery_s"]), number(report["rate_before_fault"]));
    table += line;
  }
  return table;
}

}  // namespace azuregw::load
