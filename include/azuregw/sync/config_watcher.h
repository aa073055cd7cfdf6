// Keeps the route table at the newest configuration, and tells it how fresh it is.
//
// The configuration comes from the store, or from an instance that reads the store for the others;
// while that one keeps it fresh, this instance does not call the store.

#ifndef AZUREGW_SYNC_CONFIG_WATCHER_H_
#define AZUREGW_SYNC_CONFIG_WATCHER_H_

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

class ConfigWatcher {
 public:
  // One watch call waits this long. It bounds how late a silent connection is noticed and how old
  // the last confirmation gets; a call costs as much as a read.
  static constexpr Milliseconds kWatchWait{1500};
  // The same while other instances depend on it: the way to them adds to the age.
  static constexpr Milliseconds kRelayingWatchWait{700};
  // After a change, so that a burst of versions is read in few calls.
  static constexpr Milliseconds kAfterChange{100};
  // A confirmation through another instance makes calls of this one's own needless while it is
  // younger. Keys are honoured 3.5 s after the last one, so some time is left for own calls.
  static constexpr Milliseconds kRelayTrust{1800};
  static constexpr Milliseconds kRelayCheck{100};

  // All arguments must outlive the watcher.
  ConfigWatcher(EventLoop* loop, AsyncKeyValueStore* store, const PlatformCodec* codec,
                RouteTable* table, StoreRetry* retry, EventLog* log)
      : m_loop(loop), m_store(store), m_codec(codec), m_table(table), m_retry(retry), m_log(log) {}

  void Start() { Read(); }
  // Called after each change of the configuration.
  void SetListener(std::function<void()> listener) { m_listener = std::move(listener); }
  // Other instances depend on what this one reads.
  void SetRelaying(bool relaying) { m_relaying = relaying; }
  // Another instance's store answer: `version` was the newest one at `confirmed`. `document` is
  // empty when it was passed on before.
  void OnRelayed(uint64_t version, std::string_view document, TimePoint confirmed);

  // The configuration in force as the store holds it, and when it was last known to be the newest;
  // nullopt while there is none.
  struct Confirmation {
    uint64_t version;
    const std::string* document;
    TimePoint when;
  };
  std::optional<Confirmation> Confirmed() const;

 private:
  void Next();
  void Read();
  void Watch();
  // Returns whether the document was readable.
  bool Apply(std::string_view document, std::string_view source);
  void OnFailure(const Error& error);
  void OnContact(TimePoint sent);
  void Later(Milliseconds delay, void (ConfigWatcher::*step)());

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  const PlatformCodec* const m_codec;
  RouteTable* const m_table;
  StoreRetry* const m_retry;
  EventLog* const m_log;
  std::function<void()> m_listener;
  uint64_t m_revision = 0;  // Of the store, up to which changes are known.
  bool m_must_read = true;  // Changes after m_revision may be lost.
  bool m_reachable = true;
  bool m_relaying = false;
  std::string m_document;              // Of the version in force.
  std::optional<TimePoint> m_relayed;  // Last confirmation through another instance.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_CONFIG_WATCHER_H_
