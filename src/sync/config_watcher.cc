// Reads the configuration key once, then watches it.

#include "azuregw/sync/config_watcher.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace azuregw {

void ConfigWatcher::Start() {
  m_store->Era()->AddListener([this](uint64_t, std::string_view) { OnStoreRestored(); });
  Read();
}

void ConfigWatcher::OnStoreRestored() {
  m_must_read = true;  // Revisions are given out again.
  m_rewritten = false;
  m_read_version = 0;
  m_confirmed_before_restore |= m_table->ConfirmedAt().has_value();
}

void ConfigWatcher::Schedule(Milliseconds delay, void (ConfigWatcher::*step)()) {
  m_timer = m_loop->After(delay, [this, step] { (this->*step)(); });
}

std::optional<ConfigWatcher::Confirmation> ConfigWatcher::Confirmed() const {
  const std::optional<TimePoint> confirmed = m_table->ConfirmedAt();
  if (!confirmed || m_document.empty()) {
    return std::nullopt;
  }
  const uint64_t revision = m_stored_version == m_table->Version() ? m_stored_revision : 0;
  return Confirmation{m_table->Version(), &m_document, *confirmed, revision};
}

void ConfigWatcher::OnRelayedConfig(uint64_t version, std::string_view document, uint64_t revision,
                                    TimePoint confirmed) {
  if (!document.empty() && !Apply(document, "instance")) {
    return;
  }
  if (version > m_newest_relayed) {
    m_newest_relayed = version;
    m_newest_unreadable = false;
    if (version > m_table->Version()) {
      m_announce_timer = m_loop->After(m_retry->Spread(kReadSpreadPerInstance, kMaxReadSpread),
                                       [this] { ReadAnnounced(); });
    }
  }
  // The active version differs if it was read from the store after `confirmed`, or if the relayed
  // document could not be decoded.
  if (version == m_table->Version()) {
    if (revision > 0) {
      m_stored_version = version;
      m_stored_revision = revision;
    }
    m_table->ConfirmNewest(confirmed);
    m_relay_confirmed = std::max(m_relay_confirmed.value_or(confirmed), confirmed);
  }
}

void ConfigWatcher::OnInstanceVersion(uint64_t version) {
  m_newest_elsewhere = std::max(m_newest_elsewhere, version);
  if (version > m_table->Version() && m_store->Era()->NoticedAt()) {
    Withdraw(version);
  }
}

void ConfigWatcher::OnNewestVersion(uint64_t version) {
  m_newest_elsewhere = std::max(m_newest_elsewhere, version);
  const std::optional<TimePoint> restored = m_store->Era()->NoticedAt();
  if (version > m_table->Version() && restored && m_loop->Now() - *restored < kRestoreTime) {
    Withdraw(version);
  }
}

void ConfigWatcher::Withdraw(uint64_t version) {
  if (m_table->ConfirmedAt()) {
    m_table->WithdrawConfirmation();
    m_log->Write("config_confirmation_withdrawn",
                 {{"version", m_table->Version()}, {"version_elsewhere", version}}, true);
  }
}

std::optional<uint64_t> ConfigWatcher::Apply(std::string_view document, std::string_view source) {
  Result<RoutingConfig> config = m_codec->DecodeConfig(document);
  if (!config) {
    m_log->Write("config_unreadable", {{"source", source}, {"reason", config.error().message}},
                 true);
    return std::nullopt;
  }
  auto shared = std::make_shared<const RoutingConfig>(std::move(config.value()));
  const uint64_t previous = m_table->Version();
  if (m_table->Adopt(shared)) {
    m_document = document;
    m_log->Write("config_adopted",
                 {{"version", shared->version},
                  {"previous_version", previous},
                  {"source", source},
                  {"store_revision", m_revision},
                  {"store_era", m_store->Era()->Current()},
                  {"routes", shared->routes.size()},
                  {"services", shared->services.size()},
                  {"workspaces", shared->workspaces.size()}},
                 true);
    if (m_listener) {
      m_listener();
    }
  } else if (shared->version < previous) {
    m_log->Write("config_behind",
                 {{"version", previous},
                  {"offered_version", shared->version},
                  {"source", source},
                  {"store_revision", m_revision},
                  {"store_era", m_store->Era()->Current()}},
                 true);
  }
  return shared->version;
}

bool ConfigWatcher::OnStoreEntry(const KvEntry& entry, bool written) {
  const uint64_t active = m_table->Version();
  const std::optional<uint64_t> version = Apply(entry.value, "store");
  if (!version) {
    return false;
  }
  // A version that has another revision than before the restore was written since.
  const bool moved = *version == m_stored_version && entry.revision != m_stored_revision;
  m_rewritten |= *version >= active && (written || moved);
  m_read_version = *version;
  m_stored_version = *version;
  m_stored_revision = entry.revision;
  return true;
}

void ConfigWatcher::ReadAnnounced() {
  if (m_newest_relayed <= m_table->Version() || m_calling || m_relaying) {
    return;
  }
  m_timer.reset();
  Read();
}

void ConfigWatcher::OnFailure(const Error& error) {
  m_newest_unreadable = true;
  if (m_store_reachable) {
    m_store_reachable = false;
    m_log->Write("store_lost", {{"for", "config"}, {"reason", error.message}}, true);
  }
}

void ConfigWatcher::OnStoreReply(TimePoint when) {
  if (IsComplete(when)) {
    m_table->ConfirmNewest(when);
  }
  if (!m_store_reachable) {
    m_store_reachable = true;
    m_log->Write("store_regained", {{"for", "config"}}, true);
  }
}

bool ConfigWatcher::IsComplete(TimePoint when) const {
  if (m_read_version < m_table->Version()) {
    return false;
  }
  const StoreEra& era = *m_store->Era();
  if (!era.NoticedAt()) {
    return true;  // Never restored, as far as is known.
  }
  const uint64_t newest_seen = std::max(m_newest_relayed, m_newest_elsewhere);
  if (m_read_version < newest_seen) {
    return false;
  }
  const bool settled = when >= era.UnsettledUntil();
  return m_rewritten || (settled && (m_confirmed_before_restore || KnowsVersionsOfOthers(when)));
}

bool ConfigWatcher::KnowsVersionsOfOthers(TimePoint when) const {
  const bool leads = m_relaying && when - m_relaying_since >= kFollowerReportTime;
  return leads || when - *m_store->Era()->NoticedAt() >= kMaxLeaderWait;
}

bool ConfigWatcher::KnownAbsent() const {
  return m_table->Version() == 0 && m_absence_read &&
         m_loop->Now() - *m_absence_read < kMaxRelayedAge;
}

void ConfigWatcher::RunNextStep() {
  const TimePoint now = m_loop->Now();
  const bool relayed = m_relay_confirmed && now - *m_relay_confirmed < kMaxRelayedAge;
  const bool absence_relayed =
      m_table->Version() == 0 && m_absence_relayed && now - *m_absence_relayed < kMaxRelayedAge;
  if (!m_relaying && (relayed || absence_relayed)) {
    // The store may compact its history in the meantime.
    m_must_read = true;
    Schedule(kRelayCheckInterval, &ConfigWatcher::RunNextStep);
    return;
  }
  if (m_must_read) {
    Read();
  } else {
    Watch();
  }
}

void ConfigWatcher::Read() {
  const TimePoint sent = m_loop->Now();
  m_calling = true;
  m_store->Get(m_codec->ConfigKey(), ReadMode::kNewest, [this, sent](Result<KvReading> reading) {
    m_calling = false;
    if (!reading) {
      OnFailure(reading.error());
      Schedule(m_retry->NextDelay(), &ConfigWatcher::RunNextStep);
      return;
    }
    m_revision = reading.value().store_revision;
    if (!reading.value().entry) {
      // No configuration has been published yet.
      m_absence_read = m_loop->Now();
      Schedule(m_relaying ? m_retry->NextDelay() : kAbsentRetryDelay, &ConfigWatcher::RunNextStep);
      return;
    }
    if (OnStoreEntry(*reading.value().entry, false)) {
      OnStoreReply(sent);
    }
    m_must_read = false;
    RunNextStep();
  });
}

void ConfigWatcher::Watch() {
  const TimePoint sent = m_loop->Now();
  Milliseconds wait = m_relaying ? kRelayingWatchWait : kWatchWait;
  const TimePoint settled = m_store->Era()->UnsettledUntil();
  if (!m_rewritten && sent < settled) {
    // The watch that ends then confirms the configuration.
    wait = std::min({wait, kUnsettledWatchWait, std::chrono::ceil<Milliseconds>(settled - sent)});
  }
  m_calling = true;
  m_store->Watch(m_codec->ConfigKey(), m_revision, wait,
                 [this, sent, wait](Result<KvWatchReply> reply) {
                   m_calling = false;
                   if (!reply) {
                     // Only a read proves that the failed watch missed no change, and API keys
                     // are accepted only while the configuration's age is bounded.
                     m_must_read = true;
                     if (reply.error().code == ResultCode::kKvHistoryGone) {
                       m_log->Write("store_history_gone", {{"after_revision", m_revision}}, true);
                     } else {
                       OnFailure(reply.error());
                     }
                     RunNextStep();
                     return;
                   }
                   m_revision = reply.value().revision;
                   bool readable = true;
                   bool changed = false;
                   for (const KvEntry& entry : reply.value().entries) {
                     if (entry.key == m_codec->ConfigKey() && entry.revision > 0) {
                       readable = OnStoreEntry(entry, true);
                       changed = true;
                     }
                   }
                   if (readable) {
                     // A reply without changes confirms the state at the end of the wait.
                     const TimePoint waited = sent + wait;
                     OnStoreReply(!changed && m_loop->Now() >= waited ? waited : sent);
                   }
                   if (changed) {
                     Schedule(kPostChangeDelay, &ConfigWatcher::RunNextStep);
                   } else {
                     RunNextStep();
                   }
                 });
}

}  // namespace azuregw
