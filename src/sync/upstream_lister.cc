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

void UpstreamLister::Read() {
  const TimePoint sent = m_loop->Now();
  m_store->List(m_codec->UpstreamPrefix(), ReadMode::kNewest,
                [this, sent](Result<KvListing> listing) {
                  if (listing) {
                    Apply(listing.value(), sent);
                  } else if (!m_failing) {
                    m_failing = true;
                    m_log->Write("store_lost",
                                 {{"for", "upstreams"}, {"reason", listing.error().message}}, true);
                  }
                  m_timer = m_loop->After(listing ? kInterval : kAfterFailure, [this] { Read(); });
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
  const TimePoint now = m_loop->Now();
  const bool after_outage = m_listed && now - *m_listed > kOutage;
  if (m_failing) {
    m_failing = false;
    m_log->Write("store_regained", {{"for", "upstreams"}, {"after_outage", after_outage}}, true);
  }
  m_listed = sent;
  const std::vector<FleetChange> changes = m_fleet->Update(std::move(records), after_outage, now);
  for (const FleetChange& change : changes) {
    m_log->Write("upstream",
                 {{"upstream", change.id},
                  {"change", ChangeName(change.kind)},
                  {"detail", change.detail},
                  {"store_revision", listing.store_revision}},
                 true);
  }
  if (!changes.empty() && m_listener) {
    m_listener();
  }
}

}  // namespace azuregw
