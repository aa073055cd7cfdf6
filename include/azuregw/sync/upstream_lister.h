// Keeps the fleet at the list of upstreams in the store.
//
// The list is read as a whole: every entry changes with each heartbeat, so a watch would transfer
// as much and call more often. While an instance that reads it for the others keeps it fresh, this
// instance does not call the store.

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
#include "azuregw/sync/platform_codec.h"
#include "azuregw/sync/store_retry.h"
#include "azuregw/sync/upstream_relay.h"

namespace azuregw {

class UpstreamLister {
 public:
  // Time between two lists, as a share of the bound within which leaving upstreams must be known.
  static constexpr double kIntervalShare = 0.45;
  // The same while other instances depend on it: the way to them adds to the age.
  static constexpr Milliseconds kRelayingInterval{500};
  // A list through another instance makes calls of this one's own needless until this long before
  // the bound: a slow store needs 400 ms for an answer.
  static constexpr Milliseconds kRelayMargin{500};
  static constexpr Milliseconds kRelayCheck{100};
  // Without contact for longer, upstreams may have lapsed while the store was away.
  static constexpr Milliseconds kOutage{1800};

  UpstreamLister(EventLoop* loop, AsyncKeyValueStore* store, const PlatformCodec* codec,
                 Fleet* fleet, StoreRetry* retry, EventLog* log)
      : m_loop(loop), m_store(store), m_codec(codec), m_fleet(fleet), m_retry(retry), m_log(log) {}

  void Start() { Read(); }
  void SetLeavingBound(Milliseconds bound) { m_leaving_bound = bound; }
  // Called after each change of the fleet.
  void SetListener(std::function<void()> listener) { m_listener = std::move(listener); }
  // Other instances depend on what this one reads.
  void SetRelaying(bool relaying) { m_relaying = relaying; }
  // Another instance's list, which the store confirmed at `confirmed`; `changed` since the last
  // call.
  void OnRelayed(const RelayedUpstreams& list, bool changed, TimePoint confirmed);
  // When the list was last known to be that of the store; nullopt before the first answer.
  std::optional<TimePoint> Confirmed() const { return m_listed; }
  std::optional<Milliseconds> Age() const;

 private:
  void Next();
  void Read();
  void Apply(const KvListing& listing, TimePoint sent);
  void Adopt(std::vector<UpstreamRecord> records, bool after_outage, std::string_view source);

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  const PlatformCodec* const m_codec;
  Fleet* const m_fleet;
  StoreRetry* const m_retry;
  EventLog* const m_log;
  std::function<void()> m_listener;
  std::optional<TimePoint> m_listed;
  Milliseconds m_leaving_bound{2000};
  bool m_failing = false;
  bool m_relaying = false;
  std::optional<TimePoint> m_relayed;  // Last confirmation through another instance.
  bool m_relay_pending = true;         // The relayed list differs from the one in force.
  std::set<std::string> m_unreadable;  // Keys whose unreadable value was logged.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_UPSTREAM_LISTER_H_
