// Outstanding requests to other instances, matched with replies by id and sender.

#ifndef AZUREGW_SRC_PEER_REQUEST_TABLE_H_
#define AZUREGW_SRC_PEER_REQUEST_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

// Thread-safe. Callbacks run without a lock held.
class RequestTable {
 public:
  using Callback = std::function<void(Result<wire::EnvelopeT>)>;

  // Returns the id of the request; never 0.
  uint64_t Add(const std::string& peer, TimePoint deadline, Callback done) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.emplace(++m_last_id, Entry{peer, deadline, std::move(done)});
    return m_last_id;
  }

  // A reply that matches no request, or comes from another instance, is dropped.
  void OnReply(const std::string& peer, wire::EnvelopeT reply) {
    std::optional<Callback> done;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      const auto it = m_entries.find(reply.request_id);
      if (it == m_entries.end() || it->second.peer != peer) {
        return;
      }
      done = std::move(it->second.done);
      m_entries.erase(it);
    }
    (*done)(std::move(reply));
  }

  // Ends requests whose deadline is not after `now`.
  void Expire(TimePoint now) {
    std::vector<Callback> expired;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.deadline <= now) {
          expired.push_back(std::move(it->second.done));
          it = m_entries.erase(it);
        } else {
          ++it;
        }
      }
    }
    for (const Callback& done : expired) {
      done(Unknown(ResultCode::kPeerTimeout, "no reply from the peer in time"));
    }
  }

 private:
  struct Entry {
    std::string peer;
    TimePoint deadline;
    Callback done;
  };

  std::mutex m_mutex;
  std::map<uint64_t, Entry> m_entries;
  uint64_t m_last_id = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PEER_REQUEST_TABLE_H_
