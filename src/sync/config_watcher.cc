// Reads the configuration once, then watches its key.

#include "azuregw/sync/config_watcher.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace azuregw {

void ConfigWatcher::Later(Milliseconds delay, void (ConfigWatcher::*step)()) {
  m_timer = m_loop->After(delay, [this, step] { (this->*step)(); });
}

std::optional<ConfigWatcher::Confirmation> ConfigWatcher::Confirmed() const {
  const std::optional<TimePoint> confirmed = m_table->ConfirmedAt();
  if (!confirmed || m_document.empty()) {
    return std::nullopt;
  }
  return Confirmation{m_table->Version(), &m_document, *confirmed};
}

void ConfigWatcher::OnRelayed(uint64_t version, std::string_view document, TimePoint confirmed) {
  if (!document.empty() && !Apply(document, "instance")) {
    return;
  }
  // Another version in force was read after `confirmed`, or the document was not readable.
  if (version == m_table->Version()) {
    m_table->ConfirmNewest(confirmed);
    m_relayed = std::max(m_relayed.value_or(confirmed), confirmed);
  }
}

bool ConfigWatcher::Apply(std::string_view document, std::string_view source) {
  Result<RoutingConfig> config = m_codec->DecodeConfig(document);
  if (!config) {
    m_log->Write("config_unreadable", {{"source", source}, {"reason", config.error().message}},
                 true);
    return false;
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
                  {"routes", shared->routes.size()},
                  {"services", shared->services.size()},
                  {"workspaces", shared->workspaces.size()}},
                 true);
    if (m_listener) {
      m_listener();
    }
  }
  return true;
}

void ConfigWatcher::OnFailure(const Error& error) {
  if (m_reachable) {
    m_reachable = false;
    m_log->Write("store_lost", {{"for", "config"}, {"reason", error.message}}, true);
  }
}

void ConfigWatcher::OnContact(TimePoint sent) {
  m_table->ConfirmNewest(sent);
  if (!m_reachable) {
    m_reachable = true;
    m_log->Write("store_regained", {{"for", "config"}}, true);
  }
}

void ConfigWatcher::Next() {
  if (!m_relaying && m_relayed && m_loop->Now() - *m_relayed < kRelayTrust) {
    // The store may drop its history meanwhile.
    m_must_read = true;
    Later(kRelayCheck, &ConfigWatcher::Next);
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
  m_store->Get(m_codec->ConfigKey(), ReadMode::kNewest, [this, sent](Result<KvReading> reading) {
    if (!reading) {
      OnFailure(reading.error());
      Later(m_retry->Next(), &ConfigWatcher::Next);
      return;
    }
    m_revision = reading.value().store_revision;
    if (!reading.value().entry) {
      // The operator has not written a configuration yet.
      Later(m_retry->Next(), &ConfigWatcher::Next);
      return;
    }
    if (Apply(reading.value().entry->value, "store")) {
      OnContact(sent);
    }
    m_must_read = false;
    Next();
  });
}

void ConfigWatcher::Watch() {
  const TimePoint sent = m_loop->Now();
  const Milliseconds wait = m_relaying ? kRelayingWatchWait : kWatchWait;
  m_store->Watch(m_codec->ConfigKey(), m_revision, wait,
                 [this, sent, wait](Result<KvWatchReply> reply) {
                   if (!reply) {
                     // A lost watch may have missed nothing, but only reading the key proves it,
                     // and the age of the configuration limits how long keys are honoured.
                     m_must_read = true;
                     if (reply.error().code == ResultCode::kKvHistoryGone) {
                       m_log->Write("store_history_gone", {{"after_revision", m_revision}}, true);
                     } else {
                       OnFailure(reply.error());
                     }
                     Next();
                     return;
                   }
                   m_revision = reply.value().revision;
                   bool readable = true;
                   bool changed = false;
                   for (const KvEntry& entry : reply.value().entries) {
                     if (entry.key == m_codec->ConfigKey() && entry.revision > 0) {
                       readable = Apply(entry.value, "store");
                       changed = true;
                     }
                   }
                   if (readable) {
                     // An answer without changes tells the state at its end, not at its beginning.
                     const TimePoint waited = sent + wait;
                     OnContact(!changed && m_loop->Now() >= waited ? waited : sent);
                   }
                   if (changed) {
                     Later(kAfterChange, &ConfigWatcher::Next);
                   } else {
                     Next();
                   }
                 });
}

}  // namespace azuregw
