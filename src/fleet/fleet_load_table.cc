// Sums of reports.

#include "azuregw/fleet/fleet_load_table.h"

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>

namespace azuregw {
namespace {

// Longer times without progress are not told apart.
constexpr Milliseconds kIdleOfInterest{5000};

Milliseconds Remaining(TimePoint until, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(until - now);
}

// Keeps the report of each key that lasts longest.
template <typename Key, typename Report>
void KeepLongest(std::map<Key, Report>* best, Key key, Report report, Milliseconds age) {
  if (report.remaining <= age) {
    return;
  }
  report.remaining -= age;
  const auto found = best->emplace(key, report).first;
  if (found->second.remaining < report.remaining) {
    found->second = report;
  }
}

}  // namespace

void FleetLoadTable::SetReport(InstanceNumber instance, LoadReport report, TimePoint now) {
  m_reports[instance] = Entry{std::move(report), now};
}

LoadReport FleetLoadTable::Totals(TimePoint now) {
  std::map<UpstreamNumber, UpstreamLoadReport> loads;
  std::map<std::pair<UpstreamNumber, SuspectKind>, SuspectReport> suspects;
  std::map<UpstreamNumber, PaceReport> paces;
  for (auto entry = m_reports.begin(); entry != m_reports.end();) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - entry->second.received);
    if (age > kReportTtl) {
      entry = m_reports.erase(entry);
      continue;
    }
    const LoadReport& report = entry->second.report;
    for (const UpstreamLoadReport& share : report.loads) {
      UpstreamLoadReport& total = loads[share.upstream];
      total.load.token_layers += share.load.token_layers;
      total.load.requests += share.load.requests;
      if (share.idle && (!total.idle || *share.idle + age < *total.idle)) {
        total.idle = *share.idle + age;
      }
    }
    for (const SuspectReport& suspect : report.suspects) {
      KeepLongest(&suspects, std::make_pair(suspect.upstream, suspect.kind), suspect, age);
    }
    for (const PaceReport& pace : report.paces) {
      KeepLongest(&paces, pace.upstream, pace, age);
    }
    ++entry;
  }
  LoadReport totals;
  for (const auto& [upstream, share] : loads) {
    totals.loads.push_back({upstream, share.load, share.idle});
  }
  for (const auto& [key, suspect] : suspects) {
    totals.suspects.push_back(suspect);
  }
  for (const auto& [upstream, pace] : paces) {
    totals.paces.push_back(pace);
  }
  return totals;
}

LoadReport BuildLoadReport(const Fleet& fleet, const UpstreamNumbers& numbers,
                           InstanceNumber reporter, TimePoint now) {
  LoadReport report;
  for (const auto& [id, upstream] : fleet.All()) {
    const bool suspect = upstream.own_suspect_until > now;
    const bool full = upstream.own_full_until > now;
    const bool pace = upstream.pace_queried_here && upstream.slowdown_until > now;
    const auto idle = std::chrono::duration_cast<Milliseconds>(now - upstream.own_progress);
    const bool active = upstream.own_load.requests > 0 || idle < kIdleOfInterest;
    if (!active && !suspect && !full && !pace) {
      continue;
    }
    const std::optional<UpstreamNumber> number = numbers.NumberOf(id);
    if (!number) {
      continue;
    }
    if (active) {
      report.loads.push_back({*number, upstream.own_load,
                              idle < kIdleOfInterest ? std::optional(idle) : std::nullopt});
    }
    if (suspect) {
      report.suspects.push_back(
          {*number, reporter, Remaining(upstream.own_suspect_until, now),
           upstream.stopped_until > now ? SuspectKind::kStopped : SuspectKind::kFailing});
    }
    if (full) {
      report.suspects.push_back(
          {*number, reporter, Remaining(upstream.own_full_until, now), SuspectKind::kFull});
    }
    if (pace) {
      report.paces.push_back(
          {*number, reporter, Remaining(upstream.slowdown_until, now), upstream.slowdown});
    }
  }
  return report;
}

void ApplyTotals(const LoadReport& totals, const LoadReport& own, InstanceNumber reporter,
                 const UpstreamNumbers& numbers, Fleet* fleet, TimePoint now) {
  std::unordered_map<std::string, UpstreamLoad> others;
  for (const UpstreamLoadReport& share : totals.loads) {
    if (const std::string* const id = numbers.IdOf(share.upstream)) {
      others[*id] = share.load;
      if (share.idle) {
        fleet->ApplyProgressReport(*id, now - *share.idle);
      }
    }
  }
  for (const UpstreamLoadReport& share : own.loads) {
    const std::string* const id = numbers.IdOf(share.upstream);
    const auto found = id == nullptr ? others.end() : others.find(*id);
    if (found != others.end()) {
      UpstreamLoad& rest = found->second;
      // Sums travel as single-precision numbers.
      rest.token_layers = std::max(0.0, rest.token_layers - share.load.token_layers);
      rest.requests = std::max(0, rest.requests - share.load.requests);
    }
  }
  fleet->SetOtherInstancesLoad(others);
  for (const SuspectReport& suspect : totals.suspects) {
    const std::string* const id = numbers.IdOf(suspect.upstream);
    if (id != nullptr && suspect.reporter != reporter) {
      fleet->ApplySuspectReport(*id, suspect.remaining, suspect.kind, now);
    }
  }
  for (const PaceReport& pace : totals.paces) {
    const std::string* const id = numbers.IdOf(pace.upstream);
    if (id != nullptr && pace.reporter != reporter) {
      fleet->ApplyPaceReport(*id, pace.pace, pace.remaining, now);
    }
  }
}

}  // namespace azuregw
