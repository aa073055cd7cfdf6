// Reads the configuration once, then watches its key.

#include "azuregw/sync/config_watcher.h"

#include <memory>
#include <string>
#include <utility>

namespace azuregw {

void ConfigWatcher::Later(Milliseconds delay, void (ConfigWatcher::*step)()) {
  m_timer = m_loop->After(delay, [this, step] { (this->*step)(); });
}

bool ConfigWatcher::Apply(const KvEntry& entry) {
  Result<RoutingConfig> config = m_codec->DecodeConfig(entry.value);
  if (!config) {
    m_log->Write("config_unreadable",
                 {{"revision", entry.revision}, {"reason", config.error().message}}, true);
    return false;
  }
  auto shared = std::make_shared<const RoutingConfig>(std::move(config.value()));
  const uint64_t previous = m_table->Version();
  const bool adopted = m_table->Adopt(shared);
  if (adopted) {
    m_log->Write("config_adopted",
                 {{"version", shared->version},
                  {"previous_version", previous},
                  {"revision", entry.revision},
                  {"routes", shared->routes.size()},
                  {"services", shared->services.size()},
                  {"workspaces", shared->workspaces.size()}},
                 true);
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

void ConfigWatcher::Read() {
  const TimePoint sent = m_loop->Now();
  m_store->Get(m_codec->ConfigKey(), ReadMode::kNewest, [this, sent](Result<KvReading> reading) {
    if (!reading) {
      OnFailure(reading.error());
      Later(kAfterFailure, &ConfigWatcher::Read);
      return;
    }
    m_revision = reading.value().store_revision;
    if (!reading.value().entry) {
      // The operator has not written a configuration yet.
      Later(kAfterFailure, &ConfigWatcher::Read);
      return;
    }
    if (Apply(*reading.value().entry)) {
      OnContact(sent);
    }
    Watch();
  });
}

void ConfigWatcher::Watch() {
  const TimePoint sent = m_loop->Now();
  m_store->Watch(m_codec->ConfigKey(), m_revision, kWatchWait,
                 [this, sent](Result<KvWatchReply> reply) {
                   if (!reply) {
                     if (reply.error().code == ResultCode::kKvHistoryGone) {
                       m_log->Write("store_history_gone", {{"after_revision", m_revision}}, true);
                       Read();
                       return;
                     }
                     OnFailure(reply.error());
                     // A lost watch may have missed nothing, but only reading the key proves it,
                     // and the age of the configuration limits how long keys are honoured.
                     Read();
                     return;
                   }
                   m_revision = reply.value().revision;
                   bool readable = true;
                   bool changed = false;
                   for (const KvEntry& entry : reply.value().entries) {
                     if (entry.key == m_codec->ConfigKey() && entry.revision > 0) {
                       readable = Apply(entry);
                       changed = true;
                     }
                   }
                   if (readable) {
                     // An answer without changes tells the state at its end, not at its beginning.
                     const TimePoint waited = sent + kWatchWait;
                     OnContact(!changed && m_loop->Now() >= waited ? waited : sent);
                   }
                   if (changed) {
                     Later(kAfterChange, &ConfigWatcher::Watch);
                   } else {
                     Watch();
                   }
                 });
}

}  // namespace azuregw
