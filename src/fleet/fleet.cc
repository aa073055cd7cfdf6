// Merges the list of upstreams, own observations and reports into the state of each upstream.

#include "azuregw/fleet/fleet.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "azuregw/fleet/engine_model.h"

namespace azuregw {
namespace {

std::string FormatLayers(const std::optional<LayerRange>& layers) {
  if (!layers) {
    return "none";
  }
  return std::to_string(layers->first) + "-" + std::to_string(layers->last);
}

}  // namespace

void Fleet::OnStoreRestored(Milliseconds entry_ttl, TimePoint now) {
  m_restored_at = now;
  m_reconcile_until = now + entry_ttl;
  m_reconciling = true;
}

bool Fleet::Reconcile(UpstreamRecord* record) const {
  const auto removed = m_removed.find(record->id);
  // An entry that was missing since the restore and is back was written by its upstream.
  if (removed != m_removed.end() && removed->second.removed_at <= m_restored_at &&
      record->started_ms <= removed->second.started_ms) {
    return false;
  }
  const auto known = m_upstreams.find(record->id);
  if (known == m_upstreams.end()) {
    return true;
  }
  const UpstreamRecord& old = known->second.record;
  if (record->started_ms < old.started_ms) {
    *record = old;
  } else if (record->started_ms == old.started_ms) {
    record->draining |= old.draining;
    const bool older_layers = record->order_sequence < old.order_sequence ||
                              (record->order_sequence == old.order_sequence && !record->layers);
    if (older_layers) {
      record->order_sequence = old.order_sequence;
      record->layers = old.layers;
    }
  }
  return true;
}

void Fleet::RememberRemoved(const Upstream& upstream, TimePoint now) {
  for (auto removed = m_removed.begin(); removed != m_removed.end();) {
    const bool expired = now - removed->second.removed_at > kRemovedTtl;
    removed = expired ? m_removed.erase(removed) : std::next(removed);
  }
  if (m_removed.size() < kMaxRemoved) {
    m_removed[upstream.record.id] = {upstream.record.started_ms, now, upstream.statements};
  }
}

std::map<std::string, int64_t> Fleet::LatestStarts(gsl::span<const UpstreamRecord> records) const {
  std::map<std::string, int64_t> latest;
  const auto add = [&](const UpstreamRecord& record) {
    if (Contradicts(record)) {
      return;  // Proves nothing about the process at its address.
    }
    int64_t& started_ms = latest[record.address];
    started_ms = std::max(started_ms, record.started_ms);
  };
  for (const UpstreamRecord& record : records) {
    add(record);
  }
  for (const auto& [id, upstream] : m_upstreams) {
    add(upstream.record);
  }
  return latest;
}

bool Fleet::Superseded(const UpstreamRecord& record,
                       const std::map<std::string, int64_t>& latest_starts) {
  const auto latest = latest_starts.find(record.address);
  return latest != latest_starts.end() && record.started_ms > 0 &&
         record.started_ms < latest->second;
}

ListDifference Fleet::Compare(gsl::span<const UpstreamRecord> records, TimePoint now) const {
  std::set<std::string_view> listed;
  for (const UpstreamRecord& record : records) {
    listed.insert(record.id);
  }
  const std::map<std::string, int64_t> latest_starts = LatestStarts(records);
  ListDifference difference;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.retained_until || upstream.Leaving(now) ||
        Superseded(upstream.record, latest_starts)) {
      continue;
    }
    ++difference.present;
    difference.missing += listed.count(id) == 0 ? 1 : 0;
  }
  return difference;
}

size_t Fleet::RetainedUpstreams() const {
  return static_cast<size_t>(
      std::count_if(m_upstreams.begin(), m_upstreams.end(),
                    [](const auto& entry) { return entry.second.retained_until.has_value(); }));
}

std::vector<FleetChange> Fleet::Update(std::vector<UpstreamRecord> records,
                                       const RetentionWindow& window, TimePoint now) {
  std::vector<FleetChange> changes;
  std::map<std::string, Upstream> next;
  m_reconciling = now < m_reconcile_until;
  const std::map<std::string, int64_t> latest_starts = LatestStarts(records);
  for (UpstreamRecord& record : records) {
    if (Superseded(record, latest_starts) || (m_reconciling && !Reconcile(&record))) {
      continue;
    }
    Upstream upstream;
    const auto found = m_upstreams.find(record.id);
    if (found == m_upstreams.end()) {
      changes.push_back({FleetChange::Kind::kAdded, record.id,
                         record.accelerator + " layers " + FormatLayers(record.layers)});
      const auto removed = m_removed.find(record.id);
      if (removed != m_removed.end() && removed->second.started_ms == record.started_ms) {
        upstream.statements = removed->second.statements;
      }
    } else {
      upstream = std::move(found->second);
      const UpstreamRecord& old = upstream.record;
      if (old.started_ms != record.started_ms) {
        changes.push_back({FleetChange::Kind::kRestarted, record.id, ""});
        upstream.suspect_until = TimePoint();
        upstream.own_suspect_until = TimePoint();
        upstream.stopped_until = TimePoint();
        upstream.failures = 0;
        upstream.suspicions = 0;
        upstream.statements = UpstreamStatements();
      }
      if (old.draining != record.draining) {
        changes.push_back(
            {record.draining ? FleetChange::Kind::kDraining : FleetChange::Kind::kReady, record.id,
             ""});
      }
      if (!(old.layers == record.layers)) {
        changes.push_back({FleetChange::Kind::kLayers, record.id, FormatLayers(record.layers)});
      }
    }
    if (upstream.retained_until) {
      upstream.retained_until.reset();
      changes.push_back({FleetChange::Kind::kRelisted, record.id, ""});
    }
    upstream.record = std::move(record);
    upstream.contradictory = Contradicts(upstream.record);
    const std::string id = upstream.record.id;
    next.emplace(id, std::move(upstream));
  }
  for (auto& [id, upstream] : m_upstreams) {
    if (next.count(id) > 0) {
      continue;
    }
    const bool gone = Superseded(upstream.record, latest_starts);
    const bool first = !upstream.retained_until;
    const TimePoint until =
        std::max(first ? window.first_missing : *upstream.retained_until, window.any_missing);
    if (!gone && now < until) {
      if (first) {
        changes.push_back({FleetChange::Kind::kRetained, id, ""});
      }
      upstream.retained_until = until;
      next.emplace(id, std::move(upstream));
      continue;
    }
    RememberRemoved(upstream, now);
    changes.push_back(
        {FleetChange::Kind::kRemoved, id, gone ? "a later process has its address" : ""});
  }
  m_upstreams = std::move(next);
  return changes;
}

bool ContradictsProfile(const UpstreamRecord& record, const EngineProfile& profile) {
  if (!profile.kinds.empty() && profile.kinds.count(record.accelerator) == 0) {
    return true;
  }
  if (!record.layers) {
    return false;
  }
  const LayerRange& layers = *record.layers;
  const EngineModel model(profile, record.accelerator);
  return layers.first < 0 || layers.last > profile.layers ||
         (!profile.kinds.empty() && layers.last - layers.first > model.MaxLayers());
}

bool Fleet::Contradicts(const UpstreamRecord& record) const {
  if (m_config == nullptr) {
    return false;
  }
  const auto service = m_config->services.find(record.service);
  return service != m_config->services.end() && service->second.engine &&
         ContradictsProfile(record, *service->second.engine);
}

bool Fleet::Serves(const UpstreamRecord& record) const {
  return m_config == nullptr ||
         (m_config->services.count(record.service) > 0 && !Contradicts(record));
}

void Fleet::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  if (config == m_config) {
    return;
  }
  m_config = std::move(config);
  for (auto& [id, upstream] : m_upstreams) {
    upstream.contradictory = Contradicts(upstream.record);
  }
}

int Fleet::Contradictory() const {
  return static_cast<int>(
      std::count_if(m_upstreams.begin(), m_upstreams.end(),
                    [](const auto& entry) { return entry.second.contradictory; }));
}

bool Fleet::Suspect(const std::string& id, Milliseconds duration, TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream == nullptr) {
    return false;
  }
  const bool is_new = now >= upstream->suspect_until;
  if (is_new) {
    duration = SuspicionDuration(*upstream, duration, now);
    upstream->suspicions =
        now - upstream->suspect_until < kRelapseWindow ? upstream->suspicions + 1 : 1;
  }
  upstream->suspect_until = std::max(upstream->suspect_until, now + duration);
  upstream->own_suspect_until = std::max(upstream->own_suspect_until, now + duration);
  if (is_new) {
    m_on_health_report();
  }
  return is_new;
}

Milliseconds Fleet::SuspicionDuration(const Upstream& upstream, Milliseconds duration,
                                      TimePoint now) const {
  if (now - upstream.suspect_until >= kRelapseWindow) {
    return duration;
  }
  return duration * (1 << std::min(upstream.suspicions, kMaxSuspicionDoublings));
}

void Fleet::MarkStopped(const std::string& id, Milliseconds duration, TimePoint now) {
  Suspect(id, duration, now);
  if (Upstream* const upstream = Find(id)) {
    upstream->stopped_until = now + duration;
  }
}

void Fleet::MarkFull(const std::string& id, Milliseconds duration, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    const bool is_new = now >= upstream->full_until;
    upstream->full_until = std::max(upstream->full_until, now + duration);
    upstream->own_full_until = now + duration;
    upstream->refused_at = now;
    if (is_new) {
      m_on_health_report();
    }
  }
}

void Fleet::ApplySuspectReport(const std::string& id, Milliseconds duration, SuspectKind kind,
                               TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    if (kind == SuspectKind::kFull) {
      upstream->refused_at = now;
      upstream->full_until = std::max(upstream->full_until, now + duration);
      return;
    }
    if (now >= upstream->suspect_until) {
      upstream->suspicions =
          now - upstream->suspect_until < kRelapseWindow ? upstream->suspicions + 1 : 1;
    }
    if (kind == SuspectKind::kStopped) {
      upstream->stopped_until = std::max(upstream->stopped_until, now + duration);
    }
    upstream->suspect_until = std::max(upstream->suspect_until, now + duration);
  }
}

void Fleet::AddStatement(Upstream* upstream, StatedFact fact, TimePoint until,
                         StatementSource source, TimePoint now) {
  if (!upstream->statements.Add(fact, until, source, now)) {
    return;
  }
  m_on_statement({upstream->record.id, fact, upstream->statements.Of(fact, source)});
  if (source == StatementSource::kAnswer) {
    m_on_health_report();
  }
}

void Fleet::OnLeaving(const std::string& id, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    AddStatement(upstream, StatedFact::kLeaving, now + UpstreamStatements::kLeavingTtl,
                 StatementSource::kAnswer, now);
  }
}

void Fleet::OnClosed(const std::string& id, Milliseconds duration, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    AddStatement(upstream, StatedFact::kClosed,
                 now + std::min(duration, UpstreamStatements::kMaxClosedTime),
                 StatementSource::kAnswer, now);
  }
}

void Fleet::ApplyStatementReport(const std::string& id, int64_t started_ms, StatedFact fact,
                                 Milliseconds remaining, TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream == nullptr || upstream->record.started_ms != started_ms) {
    return;
  }
  // A statement heard here counts, and is relayed, as such. It may come back from the leader.
  const Statement& own = upstream->statements.Of(fact, StatementSource::kAnswer);
  if (own.source == StatementSource::kAnswer && now < own.until) {
    return;
  }
  const Milliseconds longest = fact == StatedFact::kLeaving ? UpstreamStatements::kLeavingTtl
                                                            : UpstreamStatements::kMaxClosedTime;
  AddStatement(upstream, fact, now + std::min(remaining, longest), StatementSource::kInstance, now);
}

bool Fleet::OnRateLimit(const std::string& id, std::optional<double> limit, TimePoint sent_at,
                        TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream == nullptr) {
    return false;
  }
  const bool limited = upstream->statements.RateLimit(now).has_value();
  if (!upstream->statements.AddRateLimit(limit, sent_at, now)) {
    return false;
  }
  if (!limited) {
    upstream->start_bucket.Reset(now);
  }
  m_on_health_report();
  return true;
}

void Fleet::ApplyRateLimitReport(const std::string& id, std::optional<double> limit, TimePoint when,
                                 TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  const bool limited = upstream->statements.RateLimit(now).has_value();
  if (upstream->statements.MergeRateLimit(limit, when) && !limited) {
    upstream->start_bucket.Reset(now);
  }
}

std::optional<double> Fleet::StartRate(const Upstream& upstream, TimePoint now) const {
  const std::optional<double> limit = upstream.statements.RateLimit(now);
  return limit ? std::optional(RateShare(*limit, upstream.record.id, m_position)) : std::nullopt;
}

void Fleet::SetPosition(const FleetPosition& position, TimePoint now) {
  if (position.number == m_position.number && position.instances == m_position.instances) {
    return;
  }
  // Tokens that were not used under the last share must not add to those of the others.
  for (auto& [id, upstream] : m_upstreams) {
    const std::optional<double> before = StartRate(upstream, now);
    if (before && *before == 0) {
      upstream.start_bucket.Reset(now);
    }
  }
  m_position = position;
}

bool Fleet::MayStart(const Upstream& upstream, TimePoint now) const {
  const std::optional<double> rate = StartRate(upstream, now);
  return !rate || (*rate > 0 && upstream.start_bucket.Tokens(*rate, now) >= 1);
}

void Fleet::OnStart(const std::string& id, TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  if (const std::optional<double> rate = StartRate(*upstream, now)) {
    upstream->start_bucket.Take(*rate, now);
  }
}

Milliseconds Fleet::StartDelay(std::string_view service, TimePoint now) const {
  return std::max(RateDelay(service, now), OpenDelay(service, now));
}

Milliseconds Fleet::OpenDelay(std::string_view service, TimePoint now) const {
  struct Holder {
    LayerRange layers;
    Milliseconds delay;
  };
  std::vector<Holder> holders;
  std::set<Milliseconds> delays;
  for (const auto& [id, upstream] : m_upstreams) {
    const UpstreamRecord& record = upstream.record;
    const bool empty_engine = !record.accelerator.empty() && !record.layers;
    if (record.service != service || empty_engine || upstream.contradictory ||
        upstream.Leaving(now)) {
      continue;
    }
    const Milliseconds delay = upstream.statements.TimeToOpen(now);
    delays.insert(delay);
    // A plain upstream serves alone, like one that holds the only layer.
    holders.push_back({record.layers.value_or(LayerRange{0, 1}), delay});
  }
  if (delays.empty() || *delays.rbegin() == Milliseconds(0)) {
    return Milliseconds(0);
  }
  std::sort(holders.begin(), holders.end(),
            [](const Holder& a, const Holder& b) { return a.layers.first < b.layers.first; });
  const auto covered = [&holders](Milliseconds delay) {
    int end = 0;
    for (const Holder& holder : holders) {
      if (holder.delay <= delay && holder.layers.first <= end) {
        end = std::max(end, holder.layers.last);
      }
    }
    return end;
  };
  const int all = covered(*delays.rbegin());
  return *std::find_if(delays.begin(), delays.end(),
                       [&](Milliseconds delay) { return covered(delay) >= all; });
}

Milliseconds Fleet::RateDelay(std::string_view service, TimePoint now) const {
  Milliseconds least = Milliseconds::max();
  for (const auto& [id, upstream] : m_upstreams) {
    const std::optional<double> rate = upstream.record.service == service && !upstream.contradictory
                                           ? StartRate(upstream, now)
                                           : std::nullopt;
    if (rate) {
      least = std::min(least, upstream.start_bucket.Delay(*rate, now));
    }
  }
  return least == Milliseconds::max() ? Milliseconds(0) : least;
}

void Fleet::Reserve(const std::string& id, double token_layers) {
  if (Upstream* const upstream = Find(id)) {
    upstream->own_load.token_layers += token_layers;
    ++upstream->own_load.requests;
  }
}

void Fleet::Release(const std::string& id, double token_layers) {
  if (Upstream* const upstream = Find(id)) {
    // The reservation may be gone: an upstream that was removed and listed again starts at zero.
    upstream->own_load.token_layers = std::max(0.0, upstream->own_load.token_layers - token_layers);
    upstream->own_load.requests = std::max(0, upstream->own_load.requests - 1);
  }
}

void Fleet::BeginPath(const std::string& id) {
  if (Upstream* const upstream = Find(id)) {
    ++upstream->own_begun;
  }
}

void Fleet::EndPath(const std::string& id) {
  if (Upstream* const upstream = Find(id)) {
    upstream->own_begun = std::max(0, upstream->own_begun - 1);
  }
}

void Fleet::SetOtherInstancesBegun(const std::unordered_map<std::string, int>& begun) {
  for (auto& [id, upstream] : m_upstreams) {
    const auto found = begun.find(id);
    upstream.others_begun = found == begun.end() ? 0 : found->second;
  }
}

void Fleet::SetOtherInstancesLoad(const std::unordered_map<std::string, UpstreamLoad>& loads) {
  for (auto& [id, upstream] : m_upstreams) {
    const auto found = loads.find(id);
    upstream.others_load = found == loads.end() ? UpstreamLoad() : found->second;
  }
}

void Fleet::OnProgress(const std::string& id, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    upstream->own_progress = now;
    upstream->last_progress = now;
    upstream->failures = 0;
  }
}

void Fleet::ApplyProgressReport(const std::string& id, TimePoint when) {
  if (Upstream* const upstream = Find(id)) {
    upstream->last_progress = std::max(upstream->last_progress, when);
  }
}

void Fleet::OnPace(const std::string& id, double pace, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    upstream->slowdown = std::max(1.0, pace);
    upstream->slowdown_until = now + kPaceTtl;
    upstream->pace_queried_here = true;
  }
}

void Fleet::ApplyPaceReport(const std::string& id, double pace, Milliseconds remaining,
                            TimePoint now) {
  Upstream* const upstream = Find(id);
  if (upstream != nullptr && now + remaining > upstream->slowdown_until) {
    upstream->slowdown = std::max(1.0, pace);
    upstream->slowdown_until = now + remaining;
    upstream->pace_queried_here = false;
  }
}

void Fleet::OnReportedLoad(const std::string& id, int load, TimePoint now) {
  if (Upstream* const upstream = Find(id)) {
    upstream->reported_load = load;
    upstream->reported_at = now;
  }
}

Upstream* Fleet::Find(const std::string& id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

const Upstream* Fleet::Find(const std::string& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::string* Fleet::FindByAddress(std::string_view address) const {
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.record.address == address && !upstream.contradictory) {
      return &id;
    }
  }
  return nullptr;
}

}  // namespace azuregw
