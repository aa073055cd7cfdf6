// Updates that are still to be told to other instances. Leaving marks come first, because they must
// be known everywhere within 2 s, also when many instances start at once; then those sent least.

#ifndef AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
#define AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace azuregw {

// In order of precedence.
enum class UpdateKind { kUpstream, kMember };

struct QueuedUpdate {
  UpdateKind kind = UpdateKind::kMember;
  std::string name;
  size_t sent = 0;            // Messages that carried it.
  size_t forward_rounds = 0;  // Forwarding rounds that it still takes part in.
};

// Holds names only; contents are read when a message is built, so that it carries the newest state.
class UpdateQueue {
 public:
  // Adds an update, or starts an earlier one for the same name again.
  void Add(UpdateKind kind, const std::string& name, size_t forward_rounds) {
    for (QueuedUpdate& update : m_updates) {
      if (update.kind == kind && update.name == name) {
        update.sent = 0;
        update.forward_rounds = forward_rounds;
        return;
      }
    }
    m_updates.push_back(QueuedUpdate{kind, name, 0, forward_rounds});
  }

  // Up to `count` updates for one heartbeat; counts them as sent and drops those sent `limit`
  // times.
  std::vector<QueuedUpdate> Take(size_t count, size_t limit) {
    Sort();
    const size_t taken = std::min(count, m_updates.size());
    const std::vector<QueuedUpdate> result(m_updates.begin(),
                                           m_updates.begin() + static_cast<std::ptrdiff_t>(taken));
    for (size_t i = 0; i < taken; ++i) {
      ++m_updates[i].sent;
    }
    DropSent(limit);
    return result;
  }

  bool HasForwards() const {
    return std::any_of(m_updates.begin(), m_updates.end(),
                       [](const QueuedUpdate& update) { return update.forward_rounds > 0; });
  }

  // Up to `count` updates for one forwarding round to `fanout` peers.
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

  void DropSent(size_t limit) {
    m_updates.erase(std::remove_if(m_updates.begin(), m_updates.end(),
                                   [limit](const QueuedUpdate& update) {
                                     return update.sent >= limit && update.forward_rounds == 0;
                                   }),
                    m_updates.end());
  }

  std::vector<QueuedUpdate> m_updates;  // One per kind and name.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_UPDATE_QUEUE_H_
