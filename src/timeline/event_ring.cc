// Ring of events.

#include "azuregw/timeline/event_ring.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace azuregw {
namespace {

// Bounds the memory of one event to about 1 KB.
constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxDetailBytes = 512;
// Keeps a reply well under the 4 MB of one frame.
constexpr size_t kMaxAnswerEvents = 3000;

std::string Cut(std::string_view text, size_t bytes) {
  size_t length = std::min(text.size(), bytes);
  // Does not cut inside a UTF-8 character.
  while (length < text.size() && length > 0 &&
         (static_cast<unsigned char>(text[length]) & 0xc0) == 0x80) {
    --length;
  }
  return std::string(text.substr(0, length));
}

}  // namespace

void EventRing::Record(std::string_view component, std::string_view event,
                       std::string_view request_id, std::string_view detail, ResultCode code) {
  wire::TimelineEventT entry;
  entry.wall_ms = m_clock.WallMs();
  entry.component = Cut(component, kMaxNameBytes);
  entry.event = Cut(event, kMaxNameBytes);
  entry.request_id = Cut(request_id, kMaxNameBytes);
  entry.detail = Cut(detail, kMaxDetailBytes);
  entry.code = static_cast<int>(code);
  const std::lock_guard<std::mutex> lock(m_mutex);
  entry.hlc = m_hybrid_clock->Now();  // Under the lock, so that the ring stays in order.
  m_events.push_back(std::move(entry));
  if (m_events.size() > m_capacity) {
    m_events.pop_front();
    ++m_dropped;
  }
}

std::vector<wire::TimelineEventT> EventRing::Read(uint64_t after_hlc, std::string_view request_id,
                                                  size_t limit) const {
  std::vector<wire::TimelineEventT> events;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (auto it = m_events.rbegin(); it != m_events.rend() && events.size() < limit; ++it) {
    if (it->hlc <= after_hlc) {
      break;
    }
    if (request_id.empty() || it->request_id == request_id) {
      events.push_back(*it);
    }
  }
  std::reverse(events.begin(), events.end());
  return events;
}

wire::TimelineReplyT EventRing::Answer(const std::string& instance,
                                       const wire::TimelineRequestT& request) const {
  const size_t limit = std::min<size_t>(request.limit, kMaxAnswerEvents);
  wire::TimelineReplyT reply;
  reply.instance = instance;
  reply.dropped = Dropped();
  for (wire::TimelineEventT& event : Read(request.after_hlc, request.request_id, limit)) {
    reply.events.push_back(std::make_unique<wire::TimelineEventT>(std::move(event)));
  }
  return reply;
}

uint64_t EventRing::Dropped() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_dropped;
}

}  // namespace azuregw
