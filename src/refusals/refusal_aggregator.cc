// Aggregation of refusal reports.

#include "azuregw/refusals/refusal_aggregator.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "azuregw/base/rendezvous.h"

namespace azuregw {
namespace {

constexpr int64_t kHourMs = 3600000;
constexpr int64_t kMinutesPerHour = 60;
// An hour is written until this long after its end, so that late reports and losses are in it.
constexpr int64_t kHourSettlesMs = 180000;
constexpr int64_t kRetentionMs = 2 * kHourMs;
// An aggregator that lost a race reads and merges again, this many times at most.
constexpr int kMaxAttempts = 4;

}  // namespace

std::vector<std::string> RefusalAggregatorsOf(const std::string& failure_domain,
                                              const std::vector<MemberView>& members) {
  std::vector<std::string> names;
  std::vector<std::string> leaving_names;
  for (const MemberView& member : members) {
    if (member.failure_domain == failure_domain) {
      (member.leaving ? leaving_names : names).push_back(member.name);
    }
  }
  if (names.empty()) {
    // The last instances of a failure domain write their own last reports while they stop.
    names = std::move(leaving_names);
  }
  std::vector<std::string> aggregators;
  for (const size_t i : RendezvousTop("refusals/" + failure_domain, names, kRefusalAggregators)) {
    aggregators.push_back(names[i]);
  }
  return aggregators;
}

wire::RefusalAckT RefusalAggregator::OnReport(const wire::RefusalReportT& report, int64_t wall_ms) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const ReporterKey key(report.instance, report.incarnation);
  if (m_sources.count(key) == 0) {
    NoteSuccessor(report.instance, report.incarnation, wall_ms);
  }
  Source& source = m_sources[key];
  if (report.first_retained > 0) {
    // The reports before this one are durable, by this aggregator or by another.
    source.received = std::max(source.received, report.first_retained - 1);
    source.durable = std::max(source.durable, report.first_retained - 1);
  }
  if (report.sequence == source.received + 1 && !report.counts.empty()) {
    source.received = report.sequence;
    m_pending.push_back(Pending{key, report});
    for (const auto& count : report.counts) {
      m_open_hours.insert(count->minute / kMinutesPerHour);
    }
  }
  if (report.sequence == source.received && report.counts.empty() &&
      report.covered_until_wall_ms > source.reporter.covered_until_ms) {
    source.reporter.covered_until_ms = report.covered_until_wall_ms;
    source.reporter.state = report.last ? ReporterState::kEnded : ReporterState::kLive;
  }
  wire::RefusalAckT ack;
  ack.incarnation = report.incarnation;
  ack.sequence = source.received;
  ack.durable = source.durable;
  return ack;
}

void RefusalAggregator::OnMembers(const std::set<std::string>& live, int64_t wall_ms) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const std::string& name : live) {
    const auto first = m_sources.lower_bound({name, 0});
    if (first == m_sources.end() || first->first.first != name) {
      m_sources[{name, 0}].reporter.covered_until_ms = wall_ms;
    }
  }
  for (auto& [key, source] : m_sources) {
    if (live.count(key.first) == 0) {
      SetLost(&source, wall_ms);
    }
  }
}

Result<void> RefusalAggregator::Write(KeyValueStore* store, int64_t wall_ms) {
  std::set<int64_t> hours;
  size_t pending = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open_hours.insert(wall_ms / kHourMs);
    m_open_hours.insert((wall_ms - kHourSettlesMs) / kHourMs);
    ForgetOld(wall_ms);
    hours = m_open_hours;
    pending = m_pending.size();
  }
  for (const int64_t hour : hours) {
    const Result<void> written = WriteHour(store, hour, wall_ms);
    if (!written) {
      return written;
    }
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (size_t i = 0; i < std::min(pending, m_pending.size()); ++i) {
    Source& source = m_sources[m_pending[i].key];
    source.durable = std::max(source.durable, m_pending[i].report.sequence);
  }
  m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(
                                                             std::min(pending, m_pending.size())));
  for (const int64_t hour : hours) {
    if (wall_ms >= (hour + 1) * kHourMs + kHourSettlesMs) {
      m_open_hours.erase(hour);
    }
  }
  return boost::outcome_v2::success();
}

void RefusalAggregator::Clear() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_sources.clear();
  m_pending.clear();
  m_open_hours.clear();
}

// A new process of an instance ends the former one, whose unreported counts are lost.
void RefusalAggregator::NoteSuccessor(const std::string& instance, uint64_t incarnation,
                                      int64_t wall_ms) {
  m_sources.erase({instance, 0});
  for (auto it = m_sources.lower_bound({instance, 0});
       it != m_sources.end() && it->first.first == instance && it->first.second < incarnation;
       ++it) {
    SetLost(&it->second, wall_ms);
  }
}

void RefusalAggregator::SetLost(Source* source, int64_t wall_ms) {
  if (source->reporter.state == ReporterState::kLive) {
    source->reporter.state = ReporterState::kLost;
    source->reporter.lost_at_ms = wall_ms;
    for (int64_t hour = source->reporter.covered_until_ms / kHourMs; hour <= wall_ms / kHourMs;
         ++hour) {
      m_open_hours.insert(hour);
    }
  }
}

Result<void> RefusalAggregator::WriteHour(KeyValueStore* store, int64_t hour, int64_t wall_ms) {
  const std::string key = RefusalRecordKey(m_failure_domain, hour);
  Error last = NotRun(ResultCode::kKvConflict, "refusal record kept changing");
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto entry = store->Get(key);
    if (!entry) {
      return entry.error();
    }
    RefusalRecord record;
    record.hour = hour;
    if (entry.value()) {
      Result<RefusalRecord> decoded = DecodeRefusalRecord(entry.value()->value);
      if (!decoded) {
        return decoded.error();
      }
      record = std::move(decoded.value());
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (hour + 1 >= wall_ms / kHourMs) {
        Learn(record);
      }
      MergeInto(&record);
    }
    const auto written = store->CompareAndSwap(key, entry.value() ? entry.value()->revision : 0,
                                               EncodeRefusalRecord(record), "");
    if (written) {
      return boost::outcome_v2::success();
    }
    // After a lost reply, the record that is read back shows whether the change is in it.
    last = written.error();
    if (last.code != ResultCode::kKvConflict && last.code != ResultCode::kKvOutcomeUnknown) {
      return last;
    }
  }
  return last;
}

void RefusalAggregator::MergeInto(RefusalRecord* record) {
  for (const Pending& pending : m_pending) {
    if (!m_skips_applied_reports) {
      record->reporters[pending.key].applied = 0;
    }
    record->Apply(pending.report);
  }
  for (const auto& [key, source] : m_sources) {
    // Reporters that ended or were lost before this hour say nothing about it.
    const int64_t known_until =
        std::max(source.reporter.covered_until_ms, source.reporter.lost_at_ms);
    if (known_until >= record->hour * kHourMs || source.reporter.state == ReporterState::kLive) {
      record->MergeReporter(key, source.reporter);
    }
    if (key.second != 0) {
      record->reporters.erase({key.first, 0});
    }
  }
}

void RefusalAggregator::ForgetOld(int64_t wall_ms) {
  for (auto it = m_sources.begin(); it != m_sources.end();) {
    const Reporter& reporter = it->second.reporter;
    const int64_t known_until = std::max(reporter.covered_until_ms, reporter.lost_at_ms);
    const bool old = known_until < wall_ms - kRetentionMs;
    it = reporter.state != ReporterState::kLive && old ? m_sources.erase(it) : std::next(it);
  }
}

void RefusalAggregator::Learn(const RefusalRecord& record) {
  for (const auto& [key, reporter] : record.reporters) {
    if (reporter.state == ReporterState::kLive && m_sources.count(key) == 0 && key.second != 0) {
      m_sources[key].reporter = reporter;
      m_sources.erase({key.first, 0});
    }
  }
}

}  // namespace azuregw
