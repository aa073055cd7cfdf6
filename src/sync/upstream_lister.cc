// Polls the list of upstreams.

#include "azuregw/sync/upstream_lister.h"

#include <string_view>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

std::string_view ChangeName(FleetChange::Kind kind) {
  switch (kind) {
    case FleetChange::Kind::kAdded:
      return "added";
    case FleetChange::Kind::kRemoved:
      return "removed";
    case FleetChange::Kind::kRestarted:
      return "restarted";
    case FleetChange::Kind::kDraining:
      return "draining";
    case FleetChange::Kind::kReady:
      return "ready";
    case FleetChange::Kind::kLayers:
      return "layers";
  }
  return "unknown";
}

}  // namespace

std::optional<Milliseconds> UpstreamLister::Age() const {
  if (!m_listed) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(m_loop->Now() - *m_listed);
}

void UpstreamLister::OnRelayed(const RelayedUpstreams& list, bool changed, TimePoint confirmed) {
  m_relay_pending |= changed;
  if (m_listed && confirmed <= *m_listed) {
    return;  // The store's own answer is newer.
  }
  m_listed = confirmed;
  m_relayed = confirmed;
  if (m_relay_pending || m_fleet->HasRetainedUpstreams()) {
    m_relay_pending = false;
    Adopt(list.Records(), false, "instance");
  }
}

void UpstreamLister::Next() {
  if (!m_relaying && m_relayed && m_loop->Now() - *m_relayed < m_leaving_bound - kRelayMargin) {
    m_timer = m_loop->After(kRelayCheck, [this] { Next(); });
    return;
  }
  Read();
}

void UpstreamLister::Read() {
  const TimePoint sent = m_loop->Now();
  m_store->List(
      m_codec->UpstreamPrefix(), ReadMode::kNewest, [this, sent](Result<KvListing> listing) {
        if (listing) {
          Apply(listing.value(), sent);
        } else if (!m_failing) {
          m_failing = true;
          m_log->Write("store_lost", {{"for", "upstreams"}, {"reason", listing.error().message}},
                       true);
        }
        const auto own_interval = Milliseconds(
            static_cast<int64_t>(kIntervalShare * static_cast<double>(m_leaving_bound.count())));
        const Milliseconds interval = m_relaying ? kRelayingInterval : own_interval;
        m_timer = m_loop->After(listing ? interval : m_retry->Next(), [this] { Next(); });
      });
}

void UpstreamLister::Apply(const KvListing& listing, TimePoint sent) {
  std::vector<UpstreamRecord> records;
  for (const KvEntry& entry : listing.entries) {
    Result<UpstreamRecord> record = m_codec->DecodeUpstream(entry.key, entry.value);
    if (record) {
      m_unreadable.erase(entry.key);
      records.push_back(std::move(record.value()));
    } else if (m_unreadable.insert(entry.key).second) {
      m_log->Write("upstream_unreadable", {{"key", entry.key}, {"reason", record.error().message}},
                   false);
    }
  }
  const bool after_outage = m_listed && m_loop->Now() - *m_listed > kOutage;
  if (m_failing) {
    m_failing = false;
    m_log->Write("store_regained", {{"for", "upstreams"}, {"after_outage", after_outage}}, true);
  }
  if (m_listed && sent <= *m_listed) {
    return;  // A list through another instance is newer.
  }
  m_listed = sent;
  m_relay_pending = true;
  Adopt(std::move(records), after_outage, "store");
}

void UpstreamLister::Adopt(std::vector<UpstreamRecord> records, bool after_outage,
                           std::string_view source) {
  const std::vector<FleetChange> changes =
      m_fleet->Update(std::move(records), after_outage, m_loop->Now());
  for (const FleetChange& change : changes) {
    m_log->Write("upstream",
                 {{"upstream", change.id},
                  {"change", ChangeName(change.kind)},
                  {"detail", change.detail},
                  {"source", source}},
                 true);
  }
  if (!changes.empty() && m_listener) {
    m_listener();
  }
}

}  // namespace azuregw
