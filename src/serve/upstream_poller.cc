// Polls engines in turn.

#include "serve/upstream_poller.h"

#include <utility>

namespace azuregw {

UpstreamPoller::UpstreamPoller(const SnapshotSource* snapshots, EngineClient* engines,
                               ChainSelector* selector, UpstreamStateListener* notices,
                               const Clock* clock)
    : m_snapshots(snapshots),
      m_engines(engines),
      m_selector(selector),
      m_notices(notices),
      m_clock(clock),
      m_cursors(std::make_shared<Cursors>()) {}

void UpstreamPoller::PollNext() {
  const std::shared_ptr<const Snapshot> snapshot = m_snapshots->Current();
  if (snapshot->preset == nullptr || snapshot->preset->engines.empty()) {
    return;
  }
  const auto& engines = snapshot->preset->engines;
  auto next = engines.upper_bound(m_last);
  if (next == engines.end()) {
    next = engines.begin();
    m_events_next = !m_events_next;
  }
  m_last = next->first;
  if (m_events_next) {
    PollCacheEvents(next->second);
  } else {
    PollLoad(next->second);
  }
}

void UpstreamPoller::PollLoad(const EngineSpec& engine) {
  m_engines->FetchLoad(
      engine.address, [name = engine.name, selector = m_selector, notices = m_notices,
                       clock = m_clock](const Result<EngineLoad>& load) {
        if (!load) {
          return;  // Steps judge the health of an engine; a lost poll says nothing about its work.
        }
        selector->OnLoad(name, load.value(), clock->Now());
        if (load.value().leaving) {
          notices->OnUpstreamLeaving(name);
        }
      });
}

void UpstreamPoller::PollCacheEvents(const EngineSpec& engine) {
  uint64_t after = 0;
  {
    const std::lock_guard<std::mutex> lock(m_cursors->mutex);
    after = m_cursors->next_event[engine.name];
  }
  m_engines->FetchCacheEvents(engine.address, after,
                              [name = engine.name, selector = m_selector,
                               cursors = m_cursors](const Result<CacheEvents>& events) {
                                if (!events) {
                                  return;
                                }
                                selector->OnCacheEvents(name, events.value());
                                const std::lock_guard<std::mutex> lock(cursors->mutex);
                                cursors->next_event[name] = events.value().next;
                              });
}

}  // namespace azuregw
