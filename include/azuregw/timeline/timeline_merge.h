// One timeline over all instances, in the order of the hybrid logical clock.

#ifndef AZUREGW_TIMELINE_TIMELINE_MERGE_H_
#define AZUREGW_TIMELINE_TIMELINE_MERGE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/peer/peer_service.h"
#include "azuregw/timeline/event_ring.h"

namespace azuregw {

struct MergedEvent {
  std::string instance;
  wire::TimelineEventT event;
};

struct MergedTimeline {
  std::vector<MergedEvent> events;       // By hlc, then by instance.
  std::vector<std::string> unreachable;  // Instances whose events are missing, in name order.
  std::vector<std::string> truncated;    // Instances whose ring has discarded events.
};

// Collects the replies of the expected instances. No I/O; not thread-safe.
class TimelineMerge {
 public:
  explicit TimelineMerge(std::set<std::string> expected) : m_waiting(std::move(expected)) {}

  void Add(const std::string& instance, const wire::TimelineReplyT& reply);
  void AddUnreachable(const std::string& instance);
  bool IsComplete() const { return m_waiting.empty(); }
  // Instances that have not answered count as unreachable. The newest `limit` events are kept.
  MergedTimeline Finish(size_t limit) const;

 private:
  std::set<std::string> m_waiting;
  std::set<std::string> m_unreachable;
  std::set<std::string> m_truncated;
  std::vector<MergedEvent> m_events;
};

// {"events":[{"time_ms","hlc","instance","component","event","request_id","detail","code"}],
//  "unreachable":[...],"truncated":[...]}
std::string TimelineToJson(const MergedTimeline& timeline);

// Asks every member for its events and calls `done` once, at the latest after `timeout` (and up to
// 100 ms). `ring` holds the events of `self`. An instance beyond those members can't be known here.
void FetchTimeline(PeerService* peers, const EventRing& ring, const std::string& self,
                   const std::vector<MemberView>& members, const wire::TimelineRequestT& request,
                   Milliseconds timeout, std::function<void(MergedTimeline)> done);

// Answers the requests of other instances from `ring`, which must outlive `peers`.
void ServeTimeline(PeerService* peers, const EventRing* ring, const std::string& self);

}  // namespace azuregw

#endif  // AZUREGW_TIMELINE_TIMELINE_MERGE_H_
