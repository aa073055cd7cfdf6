// Keeps the route table on the newest configuration and records when it was last confirmed.
//
// The configuration is read from the store or relayed by the leader. This instance makes no store
// calls while the relayed configuration is fresh.

#ifndef AZUREGW_SYNC_CONFIG_WATCHER_H_
#define AZUREGW_SYNC_CONFIG_WATCHER_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "azuregw/base/event_loop.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/routes/route_table.h"
#include "azuregw/sync/platform_codec.h"
#include "azuregw/sync/store_retry.h"

namespace azuregw {

// Watches the configuration key and adopts each new version into a RouteTable. Use one watcher per
// instance, from the event loop's thread only.
class ConfigWatcher {
 public:
  // Duration of one watch call. Bounds the detection time of an unresponsive connection and the age
  // of the last confirmation; a call costs as much as a read.
  static constexpr Milliseconds kWatchWait{1500};
  // Watch duration on the leader; shorter because relaying adds to the age seen by followers.
  static constexpr Milliseconds kRelayingWatchWait{700};
  // Longest watch duration while a restored store may lack versions.
  static constexpr Milliseconds kUnsettledWatchWait{250};
  // Delay before the next watch after a change; batches a burst of versions into few calls.
  static constexpr Milliseconds kPostChangeDelay{100};
  // Store calls are skipped while the last relayed confirmation is younger than this. API keys are
  // accepted for 3.5 s after a confirmation, which leaves time for a call to the store.
  static constexpr Milliseconds kMaxRelayedAge{1800};
  // Delay before an instance that found no configuration in the store reads again. The operator
  // publishes the first one seconds after a deployment starts, and the leader, which uses
  // StoreRetry, relays it.
  static constexpr Milliseconds kAbsentRetryDelay{1000};
  // Time over which the instances of a large fleet spread their reads of a new version.
  static constexpr Milliseconds kMaxReadSpread{500};
  static constexpr Milliseconds kReadSpreadPerInstance{2};
  // Interval of the freshness check while store calls are skipped.
  static constexpr Milliseconds kRelayCheckInterval{100};
  // Time after which a new leader has heard of the versions of all followers: they find it within a
  // poll of the lease and report at the longest interval.
  static constexpr Milliseconds kFollowerReportTime{1500};
  // Longest wait of an instance that started on a restored store for the word of a leader. A leader
  // is elected 3 s after a restore; without one, nobody else may be left.
  static constexpr Milliseconds kMaxLeaderWait{8000};
  // Time after a restore in which a version that others have may be missing from the store. Later
  // ones are new, and reach this instance shortly.
  static constexpr Milliseconds kRestoreTime{20000};

  // All pointers must outlive the watcher.
  ConfigWatcher(EventLoop* loop, AsyncKeyValueStore* store, const PlatformCodec* codec,
                RouteTable* table, StoreRetry* retry, EventLog* log)
      : m_loop(loop), m_store(store), m_codec(codec), m_table(table), m_retry(retry), m_log(log) {}

  void Start();
  // Sets the callback that runs after each new configuration version.
  void SetListener(std::function<void()> listener) { m_listener = std::move(listener); }
  // Sets whether this instance relays the configuration to followers. A relaying instance always
  // calls the store and uses kRelayingWatchWait.
  void SetRelaying(bool relaying) {
    m_relaying = relaying;
    m_relaying_since = m_loop->Now();
  }
  // Handles a configuration relayed by the leader: `version` was the newest one at `confirmed`, in
  // local time, and the entry has `revision` in the store, or 0 if that is unknown. `document` is
  // empty when this instance already has the version, or should read it from the store.
  void OnRelayedConfig(uint64_t version, std::string_view document, uint64_t revision,
                       TimePoint confirmed);

  // Handles the version that a follower states to have. After a restore it may be one that the
  // store lacks, so that the active version was taken for the newest one by mistake.
  void OnInstanceVersion(uint64_t version);
  // Handles the newest version that the leader knows any instance to have.
  void OnNewestVersion(uint64_t version);
  // Returns the newest version that this instance knows to exist, whether or not it has it.
  uint64_t NewestKnown() const {
    return std::max({m_table->Version(), m_newest_relayed, m_newest_elsewhere});
  }
  // Handles a message of the leader that the store holds no configuration yet.
  void OnRelayedAbsence() { m_absence_relayed = m_loop->Now(); }
  // Returns whether this instance found no configuration in the store a short time ago.
  bool KnownAbsent() const;

  // Returns the version of the active configuration; 0 if there is none.
  uint64_t Version() const { return m_table->Version(); }
  // Returns whether the leader knows a newer version that this instance could not read.
  bool NeedsDocument() const { return m_newest_relayed > Version() && m_newest_unreadable; }

  struct Confirmation {
    uint64_t version;
    const std::string* document;  // Stored form; valid until the next change.
    TimePoint confirmed_at;       // Time at which the version was last known to be the newest.
    uint64_t revision;            // Of its entry in the store; 0 if unknown.
  };
  // Returns the active configuration, or nullopt while there is none.
  std::optional<Confirmation> Confirmed() const;

 private:
  // Reads or watches, or waits while the relayed configuration is fresh.
  void RunNextStep();
  void Read();
  void Watch();
  // Reads the version that the leader announced, unless a call is in progress.
  void ReadAnnounced();
  // Decodes the document and adopts it if it is newer. Returns its version, or nullopt if it could
  // not be decoded.
  std::optional<uint64_t> Apply(std::string_view document, std::string_view source);
  void OnFailure(const Error& error);
  // Handles the entry that the store returned. `written`: as an event of a watch.
  // Returns whether it could be decoded.
  bool OnStoreEntry(const KvEntry& entry, bool written);
  // Records that the store answered, and that its state at `when` confirms the active version if it
  // is complete.
  void OnStoreReply(TimePoint when);
  // Returns whether the state of the store at `when` includes all that operators have written. A
  // restored store may lack versions that it had acknowledged and that removed keys. One that holds
  // an older version than an instance has seen does lack versions, however long ago the restore
  // was. Otherwise the operator has written again, or has had kRewriteGrace to do so. An instance
  // that has seen no version before the restore also needs those of the others.
  bool IsComplete(TimePoint when) const;
  // Returns whether the versions that the other instances have are known at `when`: this instance
  // leads them, or nobody does for so long that there may be none.
  bool KnowsVersionsOfOthers(TimePoint when) const;
  // Withdraws the confirmation of the active version, since another instance has a newer one.
  void Withdraw(uint64_t version);
  void OnStoreRestored();
  void Schedule(Milliseconds delay, void (ConfigWatcher::*step)());

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  const PlatformCodec* const m_codec;
  RouteTable* const m_table;
  StoreRetry* const m_retry;
  EventLog* const m_log;
  std::function<void()> m_listener;
  uint64_t m_revision = 0;  // Store revision up to which changes are known.
  bool m_must_read = true;  // A change after m_revision may have been missed.
  // Version that the store returned to this instance since its last restore; 0 if none. What the
  // leader relays may be from before the restore.
  uint64_t m_read_version = 0;
  // Last entry that the store returned here or to the leader.
  uint64_t m_stored_version = 0;
  uint64_t m_stored_revision = 0;
  // The operator has written the active version, or a later one, since the last restore.
  bool m_rewritten = false;
  bool m_store_reachable = true;
  bool m_calling = false;            // A call to the store is in progress.
  uint64_t m_newest_relayed = 0;     // Newest version that the leader announced.
  uint64_t m_newest_elsewhere = 0;   // Newest version that another instance has.
  bool m_newest_unreadable = false;  // A read failed after the announcement.
  bool m_relaying = false;
  TimePoint m_relaying_since;
  bool m_confirmed_before_restore = false;  // This process had a version before the last restore.
  std::string m_document;  // Stored form of the active configuration; empty before the first.
  std::optional<TimePoint> m_absence_read;     // Last read that found no configuration.
  std::optional<TimePoint> m_absence_relayed;  // Last message of the leader that there is none.
  std::optional<TimePoint> m_relay_confirmed;  // Time of the last relayed confirmation.
  std::unique_ptr<Timer> m_timer;
  std::unique_ptr<Timer> m_announce_timer;  // Delays the read of an announced version.
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_CONFIG_WATCHER_H_
