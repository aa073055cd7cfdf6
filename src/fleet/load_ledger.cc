// Sums of reports.

#include "azuregw/fleet/load_ledger.h"

#include <algorithm>
#include <utility>

namespace azuregw {

void LoadLedger::Add(LoadReport report, TimePoint now) {
  const std::string instance = report.instance;
  m_reports[instance] = Entry{std::move(report), now};
}

LoadReport LoadLedger::OthersOf(const std::string& instance, TimePoint now) {
  LoadReport sum;
  sum.instances = 1;
  for (auto entry = m_reports.begin(); entry != m_reports.end();) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - entry->second.received);
    if (age > kReportLife) {
      entry = m_reports.erase(entry);
      continue;
    }
    if (entry->first != instance) {
      ++sum.instances;
      for (const auto& [id, load] : entry->second.report.loads) {
        UpstreamLoad& total = sum.loads[id];
        total.token_layers += load.token_layers;
        total.requests += load.requests;
      }
      for (const SuspectReport& suspect : entry->second.report.suspects) {
        if (suspect.remaining > age) {
          sum.suspects.push_back({suspect.id, suspect.remaining - age, suspect.stopped});
        }
      }
      for (const PaceReport& pace : entry->second.report.paces) {
        if (pace.remaining > age) {
          sum.paces.push_back({pace.id, pace.pace, pace.remaining - age});
        }
      }
    }
    ++entry;
  }
  return sum;
}

LoadReport OwnLoad(const Fleet& fleet, const std::string& instance, TimePoint now) {
  LoadReport report;
  report.instance = instance;
  for (const auto& [id, upstream] : fleet.All()) {
    if (upstream.own.requests > 0) {
      report.loads[id] = upstream.own;
    }
    if (upstream.own_suspect_until > now) {
      report.suspects.push_back(
          {id, std::chrono::duration_cast<Milliseconds>(upstream.own_suspect_until - now),
           upstream.stopped_until > now});
    }
    if (upstream.pace_asked_here && upstream.slowdown_until > now) {
      report.paces.push_back(
          {id, upstream.slowdown,
           std::chrono::duration_cast<Milliseconds>(upstream.slowdown_until - now)});
    }
  }
  return report;
}

void ApplyOthers(const LoadReport& others, Fleet* fleet, TimePoint now) {
  fleet->SetOthers(others.loads);
  for (const SuspectReport& suspect : others.suspects) {
    fleet->SuspectByReport(suspect.id, suspect.remaining, suspect.stopped, now);
  }
  for (const PaceReport& pace : others.paces) {
    fleet->PaceByReport(pace.id, pace.pace, pace.remaining, now);
  }
}

}  // namespace azuregw
