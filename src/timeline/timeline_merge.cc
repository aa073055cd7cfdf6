// Timeline over all instances.

#include "azuregw/timeline/timeline_merge.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "azuregw/peer/frame_decoder.h"

namespace azuregw {
namespace {

// Replies arrive on several threads.
struct Collection {
  Collection(std::set<std::string> expected, size_t limit, std::function<void(MergedTimeline)> done)
      : merge(std::move(expected)), limit(limit), done(std::move(done)) {}

  void OnReply(const std::string& instance, const Result<wire::EnvelopeT>& reply) {
    std::unique_lock<std::mutex> lock(mutex);
    const bool answered = reply && reply.value().body.AsTimelineReply() != nullptr;
    if (answered) {
      merge.Add(instance, *reply.value().body.AsTimelineReply());
    } else {
      merge.AddUnreachable(instance);
    }
    FinishIfComplete(&lock);
  }

  void OnOwn(const std::string& self, const wire::TimelineReplyT& reply) {
    std::unique_lock<std::mutex> lock(mutex);
    merge.Add(self, reply);
    FinishIfComplete(&lock);
  }

  void FinishIfComplete(std::unique_lock<std::mutex>* lock) {
    if (!merge.IsComplete() || finished) {
      return;
    }
    finished = true;
    MergedTimeline timeline = merge.Finish(limit);
    lock->unlock();
    done(std::move(timeline));
  }

  std::mutex mutex;
  TimelineMerge merge;
  bool finished = false;
  const size_t limit;
  const std::function<void(MergedTimeline)> done;
};

}  // namespace

void TimelineMerge::Add(const std::string& instance, const wire::TimelineReplyT& reply) {
  if (m_waiting.erase(instance) == 0) {
    return;
  }
  if (reply.dropped > 0) {
    m_truncated.insert(instance);
  }
  for (const auto& event : reply.events) {
    m_events.push_back(MergedEvent{instance, *event});
  }
}

void TimelineMerge::AddUnreachable(const std::string& instance) {
  if (m_waiting.erase(instance) > 0) {
    m_unreachable.insert(instance);
  }
}

MergedTimeline TimelineMerge::Finish(size_t limit) const {
  MergedTimeline timeline;
  timeline.events = m_events;
  std::sort(timeline.events.begin(), timeline.events.end(),
            [](const MergedEvent& a, const MergedEvent& b) {
              return std::tie(a.event.hlc, a.instance) < std::tie(b.event.hlc, b.instance);
            });
  if (timeline.events.size() > limit) {
    timeline.events.erase(timeline.events.begin(),
                          timeline.events.end() - static_cast<std::ptrdiff_t>(limit));
  }
  std::set<std::string> unreachable = m_unreachable;
  unreachable.insert(m_waiting.begin(), m_waiting.end());
  timeline.unreachable.assign(unreachable.begin(), unreachable.end());
  timeline.truncated.assign(m_truncated.begin(), m_truncated.end());
  return timeline;
}

std::string TimelineToJson(const MergedTimeline& timeline) {
  nlohmann::json document = {{"events", nlohmann::json::array()},
                             {"unreachable", timeline.unreachable},
                             {"truncated", timeline.truncated}};
  for (const MergedEvent& entry : timeline.events) {
    document["events"].push_back({{"time_ms", entry.event.wall_ms},
                                  {"hlc", entry.event.hlc},
                                  {"instance", entry.instance},
                                  {"component", entry.event.component},
                                  {"event", entry.event.event},
                                  {"request_id", entry.event.request_id},
                                  {"detail", entry.event.detail},
                                  {"code", entry.event.code}});
  }
  // Texts come from other processes; bytes that are not UTF-8 are replaced.
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void FetchTimeline(PeerService* peers, const EventRing& ring, const std::string& self,
                   const std::vector<MemberView>& members, const wire::TimelineRequestT& request,
                   Milliseconds timeout, std::function<void(MergedTimeline)> done) {
  std::set<std::string> expected = {self};
  for (const MemberView& member : members) {
    expected.insert(member.name);
  }
  const auto collection = std::make_shared<Collection>(expected, request.limit, std::move(done));
  for (const std::string& name : expected) {
    if (name != self) {
      peers->Request(name, MakeEnvelope(request), timeout,
                     [collection, name](const Result<wire::EnvelopeT>& reply) {
                       collection->OnReply(name, reply);
                     });
    }
  }
  collection->OnOwn(self, ring.Answer(self, request));
}

void ServeTimeline(PeerService* peers, const EventRing* ring, const std::string& self) {
  peers->SetRequestHandler(
      wire::Body::TimelineRequest,
      [ring, self](const std::string& /*peer*/, const wire::EnvelopeT& request,
                   const PeerService::Responder& respond) {
        respond(MakeEnvelope(ring->Answer(self, *request.body.AsTimelineRequest())));
      });
}

}  // namespace azuregw
