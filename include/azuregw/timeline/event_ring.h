// The newest events of this process, bounded.

#ifndef AZUREGW_TIMELINE_EVENT_RING_H_
#define AZUREGW_TIMELINE_EVENT_RING_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/timeline/event_recorder.h"
#include "azuregw/timeline/hybrid_clock.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

// Thread-safe.
class EventRing final : public EventRecorder {
 public:
  // Keeps at most `capacity` events; longer texts are cut. Both clocks must outlive the ring.
  EventRing(size_t capacity, const Clock& clock, HybridLogicalClock* hybrid_clock)
      : m_capacity(capacity), m_clock(clock), m_hybrid_clock(hybrid_clock) {}

  void Record(std::string_view component, std::string_view event, std::string_view request_id,
              std::string_view detail, ResultCode code) override;

  // The newest `limit` events after `after_hlc`, in order; only those of one request when
  // `request_id` is not empty.
  std::vector<wire::TimelineEventT> Read(uint64_t after_hlc, std::string_view request_id,
                                         size_t limit) const;
  // Answer to a request of another instance.
  wire::TimelineReplyT Answer(const std::string& instance,
                              const wire::TimelineRequestT& request) const;
  // Events discarded since the start.
  uint64_t Dropped() const;

 private:
  const size_t m_capacity;
  const Clock& m_clock;
  HybridLogicalClock* const m_hybrid_clock;
  mutable std::mutex m_mutex;
  std::deque<wire::TimelineEventT> m_events;  // In hlc order.
  uint64_t m_dropped = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_TIMELINE_EVENT_RING_H_
