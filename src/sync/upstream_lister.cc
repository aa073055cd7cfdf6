// Polling, relaying and logging of the upstream list.

#include "azuregw/sync/upstream_lister.h"

#include <algorithm>
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
    case FleetChange::Kind::kRetained:
      return "retained";
    case FleetChange::Kind::kRelisted:
      return "relisted";
  }
  return "unknown";
}

// Size of a record in a message beside its text.
constexpr size_t kRecordOverheadBytes = 110;
// Bounds of what is remembered of unreadable entries, so that each is logged once.
constexpr size_t kMaxLoggedKeys = 256;
constexpr size_t kMaxLoggedKeyBytes = 200;

}  // namespace

std::optional<Milliseconds> UpstreamLister::Age() const {
  if (!m_confirmed) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(m_loop->Now() - *m_confirmed);
}

void UpstreamLister::Start() {
  m_store->Era()->AddListener([this](uint64_t, std::string_view) {
    m_evidence.OnStoreRestored(m_bounds, m_loop->Now());
    m_fleet->OnStoreRestored(m_bounds.CopiedEntryTtl(), m_loop->Now());
  });
  Read();
}

void UpstreamLister::OnRelayedList(const RelayedUpstreams& list, bool changed,
                                   TimePoint confirmed) {
  m_relay_pending |= changed;
  if (m_confirmed && confirmed <= *m_confirmed) {
    return;  // The list read from the store is newer.
  }
  const TimePoint previous = Confirm(confirmed);
  m_relay_confirmed = confirmed;
  if (m_relay_pending || m_fleet->RetainedUpstreams() > 0 || m_fleet->Reconciling()) {
    m_relay_pending = false;
    Adopt(list.Records(), previous, "instance");
  }
}

void UpstreamLister::RunNextStep() {
  if (!m_relaying && m_relay_confirmed &&
      m_loop->Now() - *m_relay_confirmed < m_bounds.MaxRelayedListAge()) {
    m_timer = m_loop->After(RemovalBounds::kRelayCheckInterval, [this] { RunNextStep(); });
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
        } else {
          OnFailure(listing.error(), sent);
        }
        const Milliseconds interval = m_bounds.ListInterval(m_relaying);
        m_timer =
            m_loop->After(listing ? interval : m_retry->NextDelay(), [this] { RunNextStep(); });
      });
}

void UpstreamLister::OnFailure(const Error& error, TimePoint sent) {
  m_evidence.OnCallFailed(sent);
  if (!m_store_failing) {
    m_store_failing = true;
    m_log->Write("store_lost", {{"for", "upstreams"}, {"reason", error.message}}, true);
  }
}

void UpstreamLister::Apply(const KvListing& listing, TimePoint sent) {
  std::vector<UpstreamRecord> records;
  std::set<std::string> unreadable;  // Of this list, so that keys that are gone are forgotten.
  m_unreadable_entries = 0;
  for (const KvEntry& entry : listing.entries) {
    Result<UpstreamRecord> record = m_codec->DecodeUpstream(entry.key, entry.value);
    if (record) {
      records.push_back(std::move(record.value()));
      continue;
    }
    ++m_unreadable_entries;
    std::string key = entry.key.substr(0, kMaxLoggedKeyBytes);
    if (m_unreadable.count(key) == 0 && unreadable.count(key) == 0) {
      m_log->Write("upstream_unreadable", {{"key", key}, {"reason", record.error().message}},
                   false);
    }
    if (unreadable.size() < kMaxLoggedKeys) {
      unreadable.insert(std::move(key));
    }
  }
  m_unreadable = std::move(unreadable);
  LimitSize(&records);
  if (m_store_failing) {
    m_store_failing = false;
    m_log->Write("store_regained", {{"for", "upstreams"}}, true);
  }
  if (m_confirmed && sent <= *m_confirmed) {
    return;  // The relayed list is newer.
  }
  const TimePoint previous = Confirm(sent);
  m_relay_pending = true;
  Adopt(std::move(records), previous, "store");
}

void UpstreamLister::LimitSize(std::vector<UpstreamRecord>* records) {
  // Entries that serve nothing with the present configuration are the first to be left out.
  std::stable_partition(records->begin(), records->end(),
                        [this](const UpstreamRecord& record) { return m_fleet->Serves(record); });
  size_t bytes = 0;
  size_t kept = 0;
  while (kept < records->size() && bytes <= kMaxListBytes) {
    const UpstreamRecord& record = (*records)[kept];
    bytes += kRecordOverheadBytes + record.id.size() + record.service.size() +
             record.address.size() + record.failure_domain.size() + record.accelerator.size();
    ++kept;
  }
  const size_t left_out = bytes > kMaxListBytes ? records->size() - kept + 1 : 0;
  if (left_out > 0) {
    records->resize(records->size() - left_out);
  }
  if (left_out != m_left_out_entries) {
    m_log->Write("upstreams_left_out", {{"entries", left_out}, {"limit_bytes", kMaxListBytes}},
                 true);
  }
  m_left_out_entries = left_out;
}

TimePoint UpstreamLister::Confirm(TimePoint confirmed) {
  const TimePoint previous = m_confirmed.value_or(confirmed);
  m_evidence.OnConfirmed(previous, confirmed, m_bounds, m_loop->Now());
  m_confirmed = confirmed;
  return previous;
}

void UpstreamLister::Adopt(std::vector<UpstreamRecord> records, TimePoint previous,
                           std::string_view source) {
  const TimePoint now = m_loop->Now();
  const RetentionWindow window =
      m_evidence.Window(m_fleet->Compare(records, now), previous, *m_confirmed, m_bounds, now);
  const std::vector<FleetChange> changes = m_fleet->Update(std::move(records), window, now);
  const auto retained = std::count_if(changes.begin(), changes.end(), [](const auto& change) {
    return change.kind == FleetChange::Kind::kRetained;
  });
  if (retained > 0) {
    const auto list_age = std::chrono::duration_cast<Milliseconds>(now - previous);
    const auto left = std::chrono::duration_cast<Milliseconds>(
        std::max(window.any_missing, window.first_missing) - now);
    m_log->Write("upstreams_retained",
                 {{"entries", retained},
                  {"evidence", m_evidence.Name()},
                  {"list_age_ms", list_age.count()},
                  {"for_ms", left.count()},
                  {"source", source}},
                 true);
  }
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
