// Keeps the route table at the newest configuration in the store, and tells it how fresh it is.

#ifndef AZUREGW_SYNC_CONFIG_WATCHER_H_
#define AZUREGW_SYNC_CONFIG_WATCHER_H_

#include <memory>

#include "azuregw/base/event_loop.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/decision_log.h"
#include "azuregw/routes/route_table.h"
#include "azuregw/sync/platform_codec.h"

namespace azuregw {

class ConfigWatcher {
 public:
  // One watch call waits this long. It bounds how late a silent connection is noticed and how old
  // the last confirmation gets; a call costs as much as a read.
  static constexpr Milliseconds kWatchWait{1500};
  // After a change, so that a burst of versions is read in few calls.
  static constexpr Milliseconds kAfterChange{100};
  static constexpr Milliseconds kAfterFailure{250};

  // All arguments must outlive the watcher.
  ConfigWatcher(EventLoop* loop, AsyncKeyValueStore* store, const PlatformCodec* codec,
                RouteTable* table, DecisionLog* log)
      : m_loop(loop), m_store(store), m_codec(codec), m_table(table), m_log(log) {}

  void Start() { Read(); }

 private:
  void Read();
  void Watch();
  // Returns whether the value was readable.
  bool Apply(const KvEntry& entry);
  void OnFailure(const Error& error);
  void OnContact(TimePoint sent);
  void Later(Milliseconds delay, void (ConfigWatcher::*step)());

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  const PlatformCodec* const m_codec;
  RouteTable* const m_table;
  DecisionLog* const m_log;
  uint64_t m_revision = 0;  // Of the store, up to which changes are known.
  bool m_reachable = true;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_CONFIG_WATCHER_H_
