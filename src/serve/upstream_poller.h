// Fetches load reports and cache events of engines that steps do not tell about. Step replies carry
// the load of busy engines, so the polls only have to find idle ones, and their number per second
// does not grow with the engines.

#ifndef SRC_SERVE_UPSTREAM_POLLER_H_
#define SRC_SERVE_UPSTREAM_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/routing/chain_selector.h"

namespace azuregw {

class UpstreamPoller {
 public:
  // The pointers outlive the poller.
  UpstreamPoller(const SnapshotSource* snapshots, EngineClient* engines, ChainSelector* selector,
                 UpstreamStateListener* notices, const Clock* clock);

  // Polls the next engine in name order; called a fixed number of times per second.
  void PollNext();

 private:
  // Shared with callbacks, which may arrive after the poller is gone.
  struct Cursors {
    std::mutex mutex;
    std::map<std::string, uint64_t> next_event;  // Last cache event seen, per engine.
  };

  void PollLoad(const EngineSpec& engine);
  void PollCacheEvents(const EngineSpec& engine);

  const SnapshotSource* m_snapshots;
  EngineClient* m_engines;
  ChainSelector* m_selector;
  UpstreamStateListener* m_notices;
  const Clock* m_clock;
  std::string m_last;          // Engine polled last; empty at the start.
  bool m_events_next = false;  // Load reports and cache events alternate per round.
  std::shared_ptr<Cursors> m_cursors;
};

}  // namespace azuregw

#endif  // SRC_SERVE_UPSTREAM_POLLER_H_
