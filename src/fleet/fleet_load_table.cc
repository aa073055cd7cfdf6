// Aggregates load reports, and converts between a load report and the state of the fleet.

#include "azuregw/fleet/fleet_load_table.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace azuregw {
namespace {

// Longer idle times are not reported.
constexpr Milliseconds kMaxReportedIdle{5000};

// Returns the time from `now` to `until`, truncated to milliseconds.
Milliseconds Remaining(TimePoint until, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(until - now);
}

// Keeps, per key, the report with the longest remaining lifetime. `age` is the time since the
// report was received.
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
  std::map<LinkId, double> links;
  std::map<UpstreamNumber, RateLimitReport> rate_limits;
  std::map<UpstreamNumber, int> begun;
  std::map<std::tuple<UpstreamNumber, int64_t, StatedFact>, StatementReport> statements;
  for (auto entry = m_reports.begin(); entry != m_reports.end();) {
    const auto age = std::chrono::duration_cast<Milliseconds>(now - entry->second.received);
    if (age > kReportTtl) {
      entry = m_reports.erase(entry);
      continue;
    }
    const LoadReport& report = entry->second.report;
    for (const UpstreamLoadReport& load_report : report.loads) {
      UpstreamLoadReport& total = loads[load_report.upstream];
      total.load.token_layers += load_report.load.token_layers;
      total.load.requests += load_report.load.requests;
      if (load_report.idle && (!total.idle || *load_report.idle + age < *total.idle)) {
        total.idle = *load_report.idle + age;
      }
    }
    for (const SuspectReport& suspect : report.suspects) {
      KeepLongest(&suspects, std::make_pair(suspect.upstream, suspect.kind), suspect, age);
    }
    for (const PaceReport& pace : report.paces) {
      KeepLongest(&paces, pace.upstream, pace, age);
    }
    for (const LinkRateReport& link : report.links) {
      links[link.link] += link.tokens_per_s;
    }
    for (const BegunReport& entry_begun : report.begun) {
      begun[entry_begun.upstream] += entry_begun.streams;
    }
    for (const StatementReport& statement : report.statements) {
      KeepLongest(&statements,
                  std::make_tuple(statement.upstream, statement.process, statement.fact), statement,
                  age);
    }
    for (RateLimitReport limit : report.rate_limits) {
      limit.age += age;
      const auto newest = rate_limits.emplace(limit.upstream, limit).first;
      if (limit.age < newest->second.age) {
        newest->second = limit;
      }
    }
    ++entry;
  }
  LoadReport totals;
  for (const auto& [upstream, load_report] : loads) {
    totals.loads.push_back({upstream, load_report.load, load_report.idle});
  }
  for (const auto& [key, suspect] : suspects) {
    totals.suspects.push_back(suspect);
  }
  for (const auto& [upstream, pace] : paces) {
    totals.paces.push_back(pace);
  }
  for (const auto& [link, rate] : links) {
    totals.links.push_back({link, rate});
  }
  for (const auto& [upstream, limit] : rate_limits) {
    totals.rate_limits.push_back(limit);
  }
  for (const auto& [upstream, streams] : begun) {
    totals.begun.push_back({upstream, streams});
  }
  for (const auto& [key, statement] : statements) {
    totals.statements.push_back(statement);
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
    const bool active = upstream.own_load.requests > 0 || idle < kMaxReportedIdle;
    const auto limit_age = upstream.statements.RateLimitAgeToRelay(now);
    // The list relays what it states itself.
    const auto leaving = upstream.record.draining
                             ? std::nullopt
                             : upstream.statements.ToRelay(StatedFact::kLeaving, now);
    const auto closed = upstream.statements.ToRelay(StatedFact::kClosed, now);
    if (!active && !suspect && !full && !pace && !limit_age && !leaving && !closed) {
      continue;
    }
    const std::optional<UpstreamNumber> number = numbers.NumberOf(id);
    if (!number) {
      continue;
    }
    if (active) {
      report.loads.push_back({*number, upstream.own_load,
                              idle < kMaxReportedIdle ? std::optional(idle) : std::nullopt});
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
    if (upstream.own_begun > 0) {
      report.begun.push_back({*number, upstream.own_begun});
    }
    if (limit_age) {
      report.rate_limits.push_back({*number, upstream.statements.RateLimit(now), *limit_age});
    }
    if (leaving) {
      report.statements.push_back(
          {*number, upstream.record.started_ms, StatedFact::kLeaving, *leaving});
    }
    if (closed) {
      report.statements.push_back(
          {*number, upstream.record.started_ms, StatedFact::kClosed, *closed});
    }
  }
  for (const auto& [link, rate] : fleet.Links().OwnRates(now)) {
    report.links.push_back({link, rate});
  }
  return report;
}

void ApplyTotals(const LoadReport& totals, const LoadReport& own, InstanceNumber reporter,
                 const UpstreamNumbers& numbers, Fleet* fleet, TimePoint now) {
  std::unordered_map<std::string, UpstreamLoad> others;
  for (const UpstreamLoadReport& load_report : totals.loads) {
    if (const std::string* const id = numbers.IdOf(load_report.upstream)) {
      others[*id] = load_report.load;
      if (load_report.idle) {
        fleet->ApplyProgressReport(*id, now - *load_report.idle);
      }
    }
  }
  for (const UpstreamLoadReport& load_report : own.loads) {
    const std::string* const id = numbers.IdOf(load_report.upstream);
    const auto found = id == nullptr ? others.end() : others.find(*id);
    if (found != others.end()) {
      UpstreamLoad& remainder = found->second;
      // The totals are transmitted in single precision, so the difference may be negative.
      remainder.token_layers =
          std::max(0.0, remainder.token_layers - load_report.load.token_layers);
      remainder.requests = std::max(0, remainder.requests - load_report.load.requests);
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
  std::unordered_map<std::string, int> begun;
  for (const BegunReport& report : totals.begun) {
    if (const std::string* const id = numbers.IdOf(report.upstream)) {
      begun[*id] += report.streams;
    }
  }
  for (const BegunReport& report : own.begun) {
    if (const std::string* const id = numbers.IdOf(report.upstream)) {
      begun[*id] = std::max(0, begun[*id] - report.streams);
    }
  }
  fleet->SetOtherInstancesBegun(begun);
  for (const RateLimitReport& limit : totals.rate_limits) {
    if (const std::string* const id = numbers.IdOf(limit.upstream)) {
      fleet->ApplyRateLimitReport(*id, limit.per_s, now - limit.age, now);
    }
  }
  for (const StatementReport& statement : totals.statements) {
    if (const std::string* const id = numbers.IdOf(statement.upstream)) {
      fleet->ApplyStatementReport(*id, statement.process, statement.fact, statement.remaining, now);
    }
  }
  std::unordered_map<LinkId, double> other_rates;
  for (const LinkRateReport& link : totals.links) {
    other_rates[link.link] = link.tokens_per_s;
  }
  for (const LinkRateReport& link : own.links) {
    double& rate = other_rates[link.link];
    rate = std::max(0.0, rate - link.tokens_per_s);
  }
  fleet->Links().SetOthers(std::move(other_rates));
}

}  // namespace azuregw
