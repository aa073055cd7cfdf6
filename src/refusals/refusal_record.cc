// JSON form of refusal records, and the operators' table.

#include "azuregw/refusals/refusal_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace azuregw {
namespace {

using nlohmann::json;

constexpr int64_t kMinuteMs = 60000;
constexpr int64_t kMinutesPerHour = 60;
// Reports come every 5 s and are written at most once a minute by each of two aggregators.
constexpr int64_t kReportsSettleMs = 180000;
constexpr char kKeyPrefix[] = "azuregw/refusals/";
// The service takes values of at most 1 MB.
constexpr size_t kMaxRecordBytes = 1000000;

json EncodeCounts(const RefusalRecord& record, bool by_reason) {
  json counts = json::object();
  for (const auto& [minute, workspaces] : record.counts) {
    for (const auto& [workspace, reasons] : workspaces) {
      json& entry = counts[std::to_string(minute)][workspace];
      uint64_t sum = 0;
      for (const auto& [reason, count] : reasons) {
        sum += count;
        if (by_reason) {
          entry[std::to_string(reason)] = count;
        }
      }
      if (!by_reason) {
        entry["0"] = sum;
      }
    }
  }
  return counts;
}

json EncodeReporters(const RefusalRecord& record) {
  json reporters = json::array();
  for (const auto& [key, reporter] : record.reporters) {
    reporters.push_back({key.first, key.second, reporter.applied, reporter.covered_until_ms,
                         static_cast<int>(reporter.state), reporter.lost_at_ms});
  }
  return reporters;
}

RefusalRecord DecodeParsed(const json& document) {
  RefusalRecord record;
  record.hour = document.at("hour").get<int64_t>();
  for (const auto& [minute, workspaces] : document.at("counts").items()) {
    for (const auto& [workspace, reasons] : workspaces.items()) {
      for (const auto& [reason, count] : reasons.items()) {
        record.counts[std::stoll(minute)][workspace][std::stoi(reason)] = count.get<uint64_t>();
      }
    }
  }
  for (const json& entry : document.at("reporters")) {
    Reporter reporter;
    reporter.applied = entry.at(2).get<uint64_t>();
    reporter.covered_until_ms = entry.at(3).get<int64_t>();
    reporter.state = static_cast<ReporterState>(std::clamp(entry.at(4).get<int>(), 0, 2));
    reporter.lost_at_ms = entry.at(5).get<int64_t>();
    record.reporters[{entry.at(0).get<std::string>(), entry.at(1).get<uint64_t>()}] = reporter;
  }
  return record;
}

void AddToTable(const std::string& failure_domain, const RefusalRecord& record, int64_t wall_ms,
                RefusalTable* table) {
  for (const auto& [minute, workspaces] : record.counts) {
    table->refusal_minutes.insert(minute);
    for (const auto& [workspace, reasons] : workspaces) {
      for (const auto& [reason, count] : reasons) {
        const std::string name =
            reason == 0 ? "several" : std::string(ResultCodeName(static_cast<ResultCode>(reason)));
        table->rows.push_back(RefusalRow{minute, failure_domain, workspace, name, count});
      }
    }
  }
  for (const int64_t minute : record.IncompleteMinutes(wall_ms)) {
    table->incomplete_minutes[minute].insert(failure_domain);
  }
}

}  // namespace

void RefusalRecord::Apply(const wire::RefusalReportT& report) {
  Reporter& reporter = reporters[{report.instance, report.incarnation}];
  if (report.sequence <= reporter.applied) {
    return;
  }
  reporter.applied = report.sequence;
  for (const auto& count : report.counts) {
    if (count->minute / kMinutesPerHour == hour) {
      counts[count->minute][count->workspace][count->reason] += count->count;
    }
  }
}

void RefusalRecord::MergeReporter(const ReporterKey& key, const Reporter& reporter) {
  Reporter& known = reporters[key];
  if (std::tie(reporter.covered_until_ms, reporter.state) >
      std::tie(known.covered_until_ms, known.state)) {
    known.covered_until_ms = reporter.covered_until_ms;
    known.state = reporter.state;
    known.lost_at_ms = reporter.lost_at_ms;
  }
}

std::set<int64_t> RefusalRecord::IncompleteMinutes(int64_t wall_ms) const {
  std::set<int64_t> minutes;
  const int64_t hour_start = hour * kMinutesPerHour * kMinuteMs;
  const int64_t hour_end = hour_start + kMinutesPerHour * kMinuteMs;
  for (const auto& [key, reporter] : reporters) {
    if (reporter.state == ReporterState::kEnded) {
      continue;
    }
    const int64_t unknown_until =
        reporter.state == ReporterState::kLost ? reporter.lost_at_ms : wall_ms - kReportsSettleMs;
    const int64_t first = std::max(reporter.covered_until_ms, hour_start);
    const int64_t end = std::min(unknown_until, hour_end);
    for (int64_t at = first; at < end; at = (at / kMinuteMs + 1) * kMinuteMs) {
      minutes.insert(at / kMinuteMs);
    }
  }
  return minutes;
}

std::string RefusalRecordKey(const std::string& failure_domain, int64_t hour) {
  return kKeyPrefix + failure_domain + "/" + std::to_string(hour);
}

Result<RefusalRecord> DecodeRefusalRecord(std::string_view text) {
  try {
    return DecodeParsed(json::parse(text));
  } catch (const std::exception& error) {  // From the JSON library and from std::stoi.
    return NotRun(ResultCode::kInternal, std::string("damaged refusal record: ") + error.what());
  }
}

std::string EncodeRefusalRecord(const RefusalRecord& record) {
  json document = {{"hour", record.hour},
                   {"counts", EncodeCounts(record, true)},
                   {"reporters", EncodeReporters(record)}};
  const auto dump = [&document] {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
  };
  std::string text = dump();
  if (text.size() > kMaxRecordBytes) {
    document["counts"] = EncodeCounts(record, false);
    text = dump();
  }
  return text;
}

Result<RefusalTable> ReadRefusalTable(KeyValueStore* store, int64_t first_hour, int64_t last_hour,
                                      int64_t wall_ms) {
  const auto entries = store->List(kKeyPrefix);
  if (!entries) {
    return entries.error();
  }
  RefusalTable table;
  for (const KvEntry& entry : entries.value()) {
    const size_t slash = entry.key.rfind('/');
    const std::string domain =
        entry.key.substr(sizeof(kKeyPrefix) - 1, slash - (sizeof(kKeyPrefix) - 1));
    const Result<RefusalRecord> record = DecodeRefusalRecord(entry.value);
    if (!record) {
      return record.error();
    }
    if (record.value().hour >= first_hour && record.value().hour <= last_hour) {
      AddToTable(domain, record.value(), wall_ms, &table);
    }
  }
  std::sort(table.rows.begin(), table.rows.end(), [](const RefusalRow& a, const RefusalRow& b) {
    return std::tie(a.minute, a.failure_domain, a.workspace, a.reason) <
           std::tie(b.minute, b.failure_domain, b.workspace, b.reason);
  });
  return table;
}

}  // namespace azuregw
