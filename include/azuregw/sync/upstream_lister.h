// Keeps the fleet in sync with the upstream list in the store.
//
// Polls the full list instead of watching it: every entry changes with each heartbeat, so a watch
// would transfer as much data in more calls. This instance makes no store calls while the list
// relayed by the leader is fresh.

#ifndef AZUREGW_SYNC_UPSTREAM_LISTER_H_
#define AZUREGW_SYNC_UPSTREAM_LISTER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/sync/outage_evidence.h"
#include "azuregw/sync/platform_codec.h"
#include "azuregw/sync/removal_bounds.h"
#include "azuregw/sync/store_retry.h"
#include "azuregw/sync/upstream_relay.h"

namespace azuregw {

// Polls the upstream list and applies it to a Fleet. Use one lister per instance, from the event
// loop's thread only.
class UpstreamLister {
 public:
  // Size of the list up to which it fits a message of 1 MiB to a follower; 3,600 usual entries take
  // 0.6 MB.
  static constexpr size_t kMaxListBytes = size_t{900} << 10;

  // All pointers must outlive the lister.
  UpstreamLister(EventLoop* loop, AsyncKeyValueStore* store, const PlatformCodec* codec,
                 Fleet* fleet, StoreRetry* retry, EventLog* log)
      : m_loop(loop), m_store(store), m_codec(codec), m_fleet(fleet), m_retry(retry), m_log(log) {}

  void Start();
  // Sets the times that decide when the list is read and how long missing entries are retained.
  void SetBounds(const RemovalBounds& bounds) { m_bounds = bounds; }
  // Sets the callback that runs after each change of the fleet.
  void SetListener(std::function<void()> listener) { m_listener = std::move(listener); }
  // Sets whether this instance relays the list to followers. A relaying instance always calls the
  // store.
  void SetRelaying(bool relaying) { m_relaying = relaying; }
  // Handles a list relayed by the leader that matched the store at `confirmed`, in local time.
  // `changed` tells whether the list differs from that of the previous call.
  void OnRelayedList(const RelayedUpstreams& list, bool changed, TimePoint confirmed);
  // Returns the time at which the list last matched the store, or nullopt before the first list.
  std::optional<TimePoint> Confirmed() const { return m_confirmed; }
  // Returns the time since Confirmed(), or nullopt before the first list.
  std::optional<Milliseconds> Age() const;
  // Returns the number of entries of the last list that could not be decoded.
  size_t UnreadableEntries() const { return m_unreadable_entries; }
  // Returns the number of entries of the last list beyond kMaxListBytes.
  size_t LeftOutEntries() const { return m_left_out_entries; }

 private:
  // Reads the list, or waits while the relayed list is fresh.
  void RunNextStep();
  void Read();
  // Records that a call which was sent at `sent` failed.
  void OnFailure(const Error& error, TimePoint sent);
  void Apply(const KvListing& listing, TimePoint sent);
  // Leaves out the records beyond kMaxListBytes.
  void LimitSize(std::vector<UpstreamRecord>* records);
  // Records that the list matched the store at `confirmed`. Returns when the one before did.
  TimePoint Confirm(TimePoint confirmed);
  // Applies the records to the fleet and logs the changes. The list before matched the store at
  // `previous`.
  void Adopt(std::vector<UpstreamRecord> records, TimePoint previous, std::string_view source);

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  const PlatformCodec* const m_codec;
  Fleet* const m_fleet;
  StoreRetry* const m_retry;
  EventLog* const m_log;
  std::function<void()> m_listener;
  std::optional<TimePoint> m_confirmed;
  RemovalBounds m_bounds{RemovalSettings()};
  OutageEvidence m_evidence;
  bool m_store_failing = false;
  bool m_relaying = false;
  std::optional<TimePoint> m_relay_confirmed;  // When the relayed list last matched the store.
  bool m_relay_pending = true;         // True if the relayed list may differ from the applied one.
  std::set<std::string> m_unreadable;  // Keys of undecodable entries already logged.
  size_t m_unreadable_entries = 0;     // Undecodable entries of the last list.
  size_t m_left_out_entries = 0;       // Entries beyond kMaxListBytes in the last list.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_UPSTREAM_LISTER_H_
