// Builds and applies reports, updates and totals.

#include "sync/sync_sessions.h"

#include <algorithm>
#include <optional>

namespace azuregw {
namespace {

// About 12 streams start per interval in a fleet of 9 instances.
constexpr Milliseconds kMinInterval{150};
// The leader spends about 0.2 ms of a core per instance and interval. Reports come up to three
// times as often while engines fail, so the exchange takes about 1/3 of the leader's CPU time.
constexpr Milliseconds kIntervalPerInstance{3};
// CPU share, in cores, for which kIntervalPerInstance applies; smaller leaders get longer
// intervals.
constexpr double kReferenceCpuShare = 0.5;
// Upper bound: staler load would route streams to engines that are full. Larger fleets therefore
// cost the leader more CPU time.
constexpr Milliseconds kMaxInterval{600};

int64_t ToMicroseconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

}  // namespace

Milliseconds ReportInterval(int instances, double leader_cpu_share) {
  const double slowdown = std::max(1.0, kReferenceCpuShare / std::max(0.01, leader_cpu_share));
  const auto interval = Milliseconds(static_cast<int64_t>(
      slowdown * static_cast<double>((instances * kIntervalPerInstance).count())));
  return std::clamp(interval, kMinInterval, kMaxInterval);
}

void LeaderSession::OnReport(const InstanceReport& report, FollowerState* follower) {
  const TimePoint now = m_state.loop->Now();
  if (follower->number == 0) {
    const auto next = static_cast<InstanceNumber>(m_instances.size() + 1);
    follower->number = m_instances.emplace(report.instance, next).first->second;
  }
  follower->stamp_us = report.stamp_us;
  follower->report_arrived = now;
  follower->config_version = report.config_version;
  m_state.config->OnInstanceVersion(report.config_version);
  follower->config_wanted = report.config_wanted;
  m_max_cpu_share = std::max(m_max_cpu_share, report.cpu_share);
  m_load_table.SetReport(follower->number, report.load, now);
  m_state.quarantine->Merge(report.prompt_evidence, now);
  m_state.store_era->OnInstance(report.store_era, now);
}

bool LeaderSession::UpdateUpstreams() {
  return !m_state.lister->Confirmed() || m_history.Update(*m_state.fleet);
}

StateUpdate LeaderSession::UpdateFor(FollowerState* follower, bool lease_held) {
  StateUpdate update;
  update.leader = m_name;
  update.lease_held = lease_held;
  update.receiver = follower->number;
  update.echo_us = follower->stamp_us;
  update.store_era = m_state.store_era->Current();
  if (const auto config = m_state.config->Confirmed()) {
    update.config = RelayedConfig{config->version, "",
                                  ToMicroseconds(follower->report_arrived - config->confirmed_at),
                                  config->revision};
    const auto size = static_cast<int64_t>(config->document->size());
    const bool push = config->document->size() <= kMaxPushedDocumentBytes;
    if (follower->config_version != config->version &&
        follower->sent_config_version != config->version &&
        (push || (follower->config_wanted && m_document_budget > 0))) {
      follower->sent_config_version = config->version;
      update.config->document = *config->document;
      m_document_budget -= push ? 0 : size;
    }
  }
  update.config_absent = m_state.config->KnownAbsent();
  update.newest_config_version = m_state.config->NewestKnown();
  if (const auto list_confirmed = m_state.lister->Confirmed();
      list_confirmed && m_history.Version() > 0) {
    update.list_age_us = ToMicroseconds(follower->report_arrived - *list_confirmed);
    if (follower->sent_list_version != m_history.Version()) {
      update.list = m_history.Since(follower->sent_list_version);
      follower->sent_list_version = m_history.Version();
    }
  }
  update.prompt_evidence =
      m_state.quarantine->EvidenceSince(follower->sent_evidence_version, m_state.loop->Now());
  follower->sent_evidence_version = m_state.quarantine->Version();
  return update;
}

FleetTotals LeaderSession::Totals() {
  const TimePoint now = m_state.loop->Now();
  LoadReport own = BuildLoadReport(*m_state.fleet, m_history.Numbers(), kOwnNumber, now);
  m_load_table.SetReport(kOwnNumber, own, now);
  FleetTotals totals;
  totals.load = m_load_table.Totals(now);
  totals.instances = m_load_table.InstanceCount();
  totals.interval = ReportInterval(totals.instances, m_cpu_share);
  totals.max_cpu_share = std::max(m_max_cpu_share, m_cpu_share);
  ApplyTotals(totals.load, own, kOwnNumber, m_history.Numbers(), m_state.fleet, now);
  return totals;
}

InstanceReport FollowerSession::BuildReport() {
  const TimePoint now = m_state.loop->Now();
  InstanceReport report;
  report.instance = m_name;
  report.cpu_share = m_cpu_share;
  report.stamp_us = ToMicroseconds(now.time_since_epoch());
  report.load = BuildLoadReport(*m_state.fleet, m_list.Numbers(), m_number, now);
  report.config_version = m_state.config->Version();
  report.config_wanted = m_state.config->NeedsDocument();
  report.store_era = m_state.store_era->Current();
  // A new leader gets the evidence of all instances, in case the last one has exited.
  report.prompt_evidence = m_sent_own_evidence
                               ? m_state.quarantine->OwnEvidenceSince(*m_sent_own_evidence, now)
                               : m_state.quarantine->EvidenceSince(0, now);
  m_sent_own_evidence = m_state.quarantine->OwnVersion();
  m_sent.push_back({report.stamp_us, report.load});
  if (m_sent.size() > kMaxUnacknowledgedReports) {
    m_sent.pop_front();
    m_front_acknowledged = false;
  }
  return report;
}

void FollowerSession::OnUpdate(const StateUpdate& update) {
  m_leader = update.leader;
  m_number = update.receiver;
  // Before the list, which is read in the light of a restore.
  m_state.store_era->OnInstance(update.store_era, m_state.loop->Now());
  m_state.quarantine->Merge(update.prompt_evidence, m_state.loop->Now());
  if (update.echo_us == 0) {
    return;
  }
  while (m_sent.size() > 1 && m_sent[1].stamp_us <= update.echo_us) {
    m_sent.pop_front();
  }
  m_front_acknowledged = !m_sent.empty() && m_sent.front().stamp_us == update.echo_us;
  const auto to_local_time = [&update](int64_t age_us) {
    return TimePoint(std::chrono::microseconds(update.echo_us - age_us));
  };
  // Also a version that the leader itself lacks: another follower has it.
  m_state.config->OnNewestVersion(update.newest_config_version);
  if (update.config) {
    m_state.config->OnRelayedConfig(update.config->version, update.config->document,
                                    update.config->revision, to_local_time(update.config->age_us));
  }
  if (update.config_absent) {
    m_state.config->OnRelayedAbsence();
  }
  if (update.list_age_us) {
    const bool changed = m_list.Apply(update.list);
    m_state.lister->OnRelayedList(m_list, changed, to_local_time(*update.list_age_us));
  }
}

void FollowerSession::OnTotals(const FleetTotals& totals) {
  const LoadReport none;
  ApplyTotals(totals.load, m_front_acknowledged ? m_sent.front().load : none, m_number,
              m_list.Numbers(), m_state.fleet, m_state.loop->Now());
}

}  // namespace azuregw
