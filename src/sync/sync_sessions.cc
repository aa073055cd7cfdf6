// Reports, news and totals.

#include "sync/sync_sessions.h"

#include <algorithm>
#include <optional>

namespace azuregw {
namespace {

// About a dozen streams begin in a fleet of nine instances between two reports.
constexpr Milliseconds kLeastInterval{150};
// The holder's work for one instance takes some 0.2 ms of a core each time, and reports come up to
// three times as often while engines fail; so it takes a third of the holder's processor time.
constexpr Milliseconds kIntervalPerInstance{3};
constexpr double kUsualCpuShare = 0.5;
// Older load sends streams to engines that are full, so larger fleets cost the holder more.
constexpr Milliseconds kMostInterval{600};

int64_t ToMicroseconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

}  // namespace

Milliseconds ReportInterval(int instances, double holder_cpu_share) {
  const double slowness = std::max(1.0, kUsualCpuShare / std::max(0.01, holder_cpu_share));
  const auto interval = Milliseconds(static_cast<int64_t>(
      slowness * static_cast<double>((instances * kIntervalPerInstance).count())));
  return std::clamp(interval, kLeastInterval, kMostInterval);
}

void LeaderSession::OnReport(const InstanceReport& report, FollowerState* reporter) {
  const TimePoint now = m_state.loop->Now();
  if (reporter->number == 0) {
    const auto next = static_cast<InstanceNumber>(m_instances.size() + 1);
    reporter->number = m_instances.emplace(report.instance, next).first->second;
  }
  reporter->stamp_us = report.stamp_us;
  reporter->stamp_arrived = now;
  m_most_cpu_share = std::max(m_most_cpu_share, report.cpu_share);
  m_ledger.SetReport(reporter->number, report.load, now);
}

bool LeaderSession::TakeList() {
  return !m_state.lister->Confirmed() || m_history.Update(*m_state.fleet);
}

StateUpdate LeaderSession::NewsFor(FollowerState* reporter, bool held) {
  StateUpdate news;
  news.holder = m_name;
  news.held = held;
  news.reporter = reporter->number;
  news.echo_us = reporter->stamp_us;
  if (const auto config = m_state.config->Confirmed()) {
    news.config =
        RelayedConfig{config->version, "", ToMicroseconds(reporter->stamp_arrived - config->when)};
    if (reporter->sent_config != config->version) {
      reporter->sent_config = config->version;
      news.config->document = *config->document;
    }
  }
  if (const auto listed = m_state.lister->Confirmed(); listed && m_history.Version() > 0) {
    news.list_age_us = ToMicroseconds(reporter->stamp_arrived - *listed);
    if (reporter->sent_list != m_history.Version()) {
      news.list = m_history.Since(reporter->sent_list);
      reporter->sent_list = m_history.Version();
    }
  }
  return news;
}

FleetTotals LeaderSession::Totals() {
  const TimePoint now = m_state.loop->Now();
  LoadReport own = BuildLoadReport(*m_state.fleet, m_history.Numbers(), kOwnNumber, now);
  m_ledger.SetReport(kOwnNumber, own, now);
  FleetTotals totals;
  totals.load = m_ledger.Totals(now);
  totals.instances = m_ledger.InstanceCount();
  totals.interval = ReportInterval(totals.instances, m_cpu_share);
  totals.most_cpu_share = std::max(m_most_cpu_share, m_cpu_share);
  ApplyTotals(totals.load, own, kOwnNumber, m_history.Numbers(), m_state.fleet, now);
  return totals;
}

InstanceReport FollowerSession::NextReport() {
  const TimePoint now = m_state.loop->Now();
  InstanceReport report;
  report.instance = m_name;
  report.cpu_share = m_cpu_share;
  report.stamp_us = ToMicroseconds(now.time_since_epoch());
  report.load = BuildLoadReport(*m_state.fleet, m_list.Numbers(), m_number, now);
  m_sent.push_back({report.stamp_us, report.load});
  if (m_sent.size() > kMaxAwaited) {
    m_sent.pop_front();
    m_front_returned = false;
  }
  return report;
}

void FollowerSession::OnNews(const StateUpdate& news) {
  m_holder = news.holder;
  m_number = news.reporter;
  if (news.echo_us == 0) {
    return;
  }
  while (m_sent.size() > 1 && m_sent[1].stamp_us <= news.echo_us) {
    m_sent.pop_front();
  }
  m_front_returned = !m_sent.empty() && m_sent.front().stamp_us == news.echo_us;
  const auto counted_back = [&news](int64_t age_us) {
    return TimePoint(std::chrono::microseconds(news.echo_us - age_us));
  };
  if (news.config) {
    m_state.config->OnRelayed(news.config->version, news.config->document,
                              counted_back(news.config->age_us));
  }
  if (news.list_age_us) {
    const bool changed = m_list.Apply(news.list);
    m_state.lister->OnRelayed(m_list, changed, counted_back(*news.list_age_us));
  }
}

void FollowerSession::OnTotals(const FleetTotals& totals) {
  const LoadReport none;
  ApplyTotals(totals.load, m_front_returned ? m_sent.front().load : none, m_number,
              m_list.Numbers(), m_state.fleet, m_state.loop->Now());
}

}  // namespace azuregw
