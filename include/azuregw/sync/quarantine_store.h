// Keeps suspected and quarantined prompt parts in the store, so that they survive a restart of all
// instances.
//
// The leader writes them, and each instance reads them once at its start. An operator lifts the
// quarantine by deleting the key. After a restore of the store, the leader reads the key again and
// adds what is missing; only a key that was seen in the present era can have been deleted.

#ifndef AZUREGW_SYNC_QUARANTINE_STORE_H_
#define AZUREGW_SYNC_QUARANTINE_STORE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/base/clock.h"
#include "azuregw/base/event_loop.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/event_log.h"

namespace azuregw {

// Synchronizes a PromptQuarantine with one key of the store. Runs on the event loop.
class QuarantineStore {
 public:
  // Interval at which the leader looks for changes of the quarantine.
  static constexpr Milliseconds kTickInterval{250};
  // Interval at which the leader checks whether the key was deleted, while parts are quarantined.
  static constexpr Milliseconds kLiftCheckInterval{5000};

  // All pointers must outlive the object. `clock` provides the Unix times in the key.
  QuarantineStore(EventLoop* loop, const Clock* clock, AsyncKeyValueStore* store,
                  PromptQuarantine* quarantine, EventLog* log, std::string key)
      : m_loop(loop),
        m_clock(clock),
        m_store(store),
        m_quarantine(quarantine),
        m_log(log),
        m_key(std::move(key)) {}

  // Reads the key and begins to tick.
  void Start();
  // Sets whether this instance holds the leader lease.
  void SetLeading(bool leading);
  // Returns whether the read at the start has ended, with or without success.
  bool Started() const { return m_started; }

 private:
  void Tick();
  void OnStoreRestored();
  // Reads the key. `lift`: if it is absent, an operator has deleted it.
  void Read(ReadMode mode, bool lift);
  void Write();
  // Returns crashes and quarantined parts as a JSON document.
  std::string Encode(const PromptEvidence& evidence) const;
  // Decodes a document; logs one that is not valid.
  PromptEvidence Decode(std::string_view document) const;

  EventLoop* const m_loop;
  const Clock* const m_clock;
  AsyncKeyValueStore* const m_store;
  PromptQuarantine* const m_quarantine;
  EventLog* const m_log;
  const std::string m_key;
  bool m_started = false;
  bool m_leading = false;
  bool m_calling = false;     // A call to the store is in progress.
  bool m_loaded = false;      // m_revision and m_stored were read in this term and era.
  uint64_t m_generation = 0;  // Increases with each restore; earlier calls are ignored.
  uint64_t m_revision = 0;    // Revision of the key; 0: it does not exist.
  std::set<std::pair<PartId, ProcessId>> m_stored;  // Evidence in the store.
  uint64_t m_seen_version = 0;  // Version of the quarantine that was last compared with m_stored.
  TimePoint m_last_read;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_QUARANTINE_STORE_H_
