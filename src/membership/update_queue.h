// Queue of updates to disseminate. Leaving marks come first, because they must be known everywhere
// within 2 s even when many instances start at once; then the updates that were sent least often.

#ifndef AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
#define AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace azuregw {

// The enumerators are in order of precedence.
enum class UpdateKind { kUpstream, kMember };

// One update and its remaining sends.
struct QueuedUpdate {
  UpdateKind kind = UpdateKind::kMember;
  std::string name;           // ID of the instance or upstream.
  size_t sent = 0;            // Messages sent with this update.
  size_t forward_rounds = 0;  // Remaining forwarding rounds.
  size_t limit = 0;           // Value of `sent` at which the update is dropped.
};

// Holds names only; contents are read when a message is built, so that messages carry the newest
// state. Not thread-safe.
class UpdateQueue {
 public:
  // Adds an update, or resets the counters of the queued one with the same kind and name.
  void Add(UpdateKind kind, const std::string& name, size_t forward_rounds, size_t limit) {
    for (QueuedUpdate& update : m_updates) {
      if (update.kind == kind && update.name == name) {
        update.sent = 0;
        update.forward_rounds = forward_rounds;
        update.limit = limit;
        return;
      }
    }
    m_updates.push_back(QueuedUpdate{kind, name, 0, forward_rounds, limit});
  }

  // Returns up to `count` updates for one heartbeat, counts them as sent, and drops those that have
  // reached their limit.
  std::vector<QueuedUpdate> Take(size_t count) {
    Sort();
    const size_t taken = std::min(count, m_updates.size());
    const std::vector<QueuedUpdate> result(m_updates.begin(),
                                           m_updates.begin() + static_cast<std::ptrdiff_t>(taken));
    for (size_t i = 0; i < taken; ++i) {
      ++m_updates[i].sent;
    }
    DropFullySent();
    return result;
  }

  // Returns whether any update has forwarding rounds left.
  bool HasForwards() const {
    return std::any_of(m_updates.begin(), m_updates.end(),
                       [](const QueuedUpdate& update) { return update.forward_rounds > 0; });
  }

  // Returns up to `count` updates for one forwarding round to `fanout` peers.
  std::vector<QueuedUpdate> TakeForwards(size_t count, size_t fanout) {
    Sort();
    std::vector<QueuedUpdate> result;
    for (QueuedUpdate& update : m_updates) {
      if (update.forward_rounds > 0 && result.size() < count) {
        --update.forward_rounds;
        update.sent += fanout;
        result.push_back(update);
      }
    }
    return result;
  }

 private:
  void Sort() {
    std::stable_sort(m_updates.begin(), m_updates.end(),
                     [](const QueuedUpdate& a, const QueuedUpdate& b) {
                       return std::make_pair(a.kind, a.sent) < std::make_pair(b.kind, b.sent);
                     });
  }

  void DropFullySent() {
    m_updates.erase(std::remove_if(m_updates.begin(), m_updates.end(),
                                   [](const QueuedUpdate& update) {
                                     return update.sent >= update.limit &&
                                            update.forward_rounds == 0;
                                   }),
                    m_updates.end());
  }

  std::vector<QueuedUpdate> m_updates;  // One per kind and name.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
