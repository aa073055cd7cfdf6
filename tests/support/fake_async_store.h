// In-memory key-value store with injected failures, for single-threaded code.

#ifndef TESTS_SUPPORT_FAKE_ASYNC_STORE_H_
#define TESTS_SUPPORT_FAKE_ASYNC_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/kv/async_key_value_store.h"
#include "tests/support/fake_loop.h"

namespace azuregw {

// Completes every call through timers of a FakeLoop.
class FakeAsyncStore final : public AsyncKeyValueStore {
 public:
  explicit FakeAsyncStore(FakeLoop* loop) : m_loop(loop) {}

  // ---- Test control ----
  bool m_down = false;          // Every call times out.
  bool m_lose_answers = false;  // Writes are applied, but their responses are lost.
  bool m_history_gone = false;  // The next watch fails because its history is compacted.
  int m_calls = 0;
  void Put(const std::string& key, const std::string& value, uint64_t lease = 0) {
    m_items[key] = Item{value, ++m_revision, lease};
  }
  void Remove(const std::string& key) {
    m_items.erase(key);
    m_deleted[key] = ++m_revision;
  }
  bool Has(const std::string& key) const { return m_items.count(key) > 0; }
  const std::string& Value(const std::string& key) const { return m_items.at(key).value; }
  // Deletes the keys of expired leases, as the store does.
  void Expire() {
    for (auto item = m_items.begin(); item != m_items.end();) {
      const auto lease = m_leases.find(item->second.lease);
      const bool ended =
          item->second.lease != 0 && (lease == m_leases.end() || lease->second <= m_loop->Now());
      if (ended) {
        m_deleted[item->first] = ++m_revision;
      }
      item = ended ? m_items.erase(item) : std::next(item);
    }
  }

  // Keeps a copy of all items and leases.
  void BackUp() { m_backup = {m_items, m_leases, m_revision, m_last_lease}; }
  // Returns to the copy. Its leases run on from now; revisions and lease IDs are given out again.
  void Restore() {
    m_items = m_backup.items;
    m_leases = m_backup.leases;
    for (auto& [id, end] : m_leases) {
      end = m_loop->Now() + m_ttls[id];
    }
    m_revision = m_backup.revision;
    m_last_lease = m_backup.last_lease;
    ++m_stated_era;
  }
  uint64_t m_stated_era = StoreEra::kFirst;  // Era in the answers.
  // In place of the next swap, an earlier one of the same value with this lease is carried out.
  std::optional<uint64_t> m_late_write_lease;
  uint64_t Revision() const { return m_revision; }

  // ---- AsyncKeyValueStore ----
  StoreEra* Era() override { return &m_era; }
  void Get(const std::string& key, ReadMode /*mode*/, ReplyCallback<KvReading> done) override {
    Answer<KvReading>(StoreCall::kRead, std::move(done), [this, key]() -> Result<KvReading> {
      KvReading reading;
      reading.store_revision = m_revision;
      const auto found = m_items.find(key);
      if (found != m_items.end()) {
        reading.entry =
            KvEntry{key, found->second.value, found->second.revision, found->second.lease};
      }
      return reading;
    });
  }
  void List(const std::string& prefix, ReadMode /*mode*/, ReplyCallback<KvListing> done) override {
    Answer<KvListing>(StoreCall::kRead, std::move(done), [this, prefix]() -> Result<KvListing> {
      KvListing listing;
      listing.store_revision = m_revision;
      for (const auto& [key, item] : m_items) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
          listing.entries.push_back({key, item.value, item.revision, item.lease});
        }
      }
      return listing;
    });
  }
  void Watch(const std::string& prefix, uint64_t after, Milliseconds wait,
             ReplyCallback<KvWatchReply> done) override {
    ++m_calls;
    WatchStep(prefix, after, m_loop->Now() + wait,
              [this, sent = m_era.Current(), done = std::move(done)](Result<KvWatchReply> reply) {
                const EraVerdict verdict = reply ? m_era.OnAnswer(sent, m_stated_era, m_loop->Now())
                                                 : EraVerdict::kCurrent;
                const auto error = EraError(StoreCall::kWatch, verdict);
                done(error ? Result<KvWatchReply>(*error) : std::move(reply));
              });
  }
  void CompareAndSwap(const std::string& key, uint64_t expected, const std::string& value,
                      uint64_t lease, ReplyCallback<uint64_t> done) override {
    const bool lost = m_lose_answers;
    Answer<uint64_t>(StoreCall::kSwap, std::move(done),
                     [this, key, expected, value, lease, lost]() -> Result<uint64_t> {
                       const auto found = m_items.find(key);
                       const uint64_t present = found == m_items.end() ? 0 : found->second.revision;
                       if (present != expected) {
                         return NotRun(ResultCode::kKvConflict, "changed");
                       }
                       if (m_late_write_lease) {
                         Put(key, value, *std::exchange(m_late_write_lease, std::nullopt));
                         return Unknown(ResultCode::kKvOutcomeUnknown, "lost");
                       }
                       Put(key, value, lease);
                       if (lost) {
                         return Unknown(ResultCode::kKvOutcomeUnknown, "lost");
                       }
                       return m_revision;
                     });
  }
  void GrantLease(Milliseconds ttl, ReplyCallback<uint64_t> done) override {
    Answer<uint64_t>(StoreCall::kGrant, std::move(done), [this, ttl]() -> Result<uint64_t> {
      m_leases[++m_last_lease] = m_loop->Now() + ttl;
      m_ttls[m_last_lease] = ttl;
      return m_last_lease;
    });
  }
  void RenewLease(uint64_t lease, ReplyCallback<Milliseconds> done) override {
    Answer<Milliseconds>(StoreCall::kRenewal, std::move(done),
                         [this, lease]() -> Result<Milliseconds> {
                           const auto found = m_leases.find(lease);
                           if (found == m_leases.end() || found->second <= m_loop->Now()) {
                             return NotRun(ResultCode::kLeaseLapsed, "ended");
                           }
                           found->second = m_loop->Now() + m_ttls[lease];
                           return m_ttls[lease];
                         });
  }
  void EndLease(uint64_t lease, ReplyCallback<Milliseconds> done) override {
    Answer<Milliseconds>(StoreCall::kRenewal, std::move(done),
                         [this, lease]() -> Result<Milliseconds> {
                           m_leases.erase(lease);
                           Expire();
                           return Milliseconds(0);
                         });
  }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Backup {
    std::map<std::string, Item> items;
    std::map<uint64_t, TimePoint> leases;
    uint64_t revision = 1;
    uint64_t last_lease = 0;
  };
  static constexpr Milliseconds kLatency{4};
  static constexpr Milliseconds kTimeLimit{1500};

  template <class T>
  void Answer(StoreCall call, ReplyCallback<T> done, std::function<Result<T>()> action) {
    ++m_calls;
    Later(m_down ? kTimeLimit : kLatency, [this, call, sent = m_era.Current(), down = m_down,
                                           done = std::move(done), action = std::move(action)] {
      if (down) {
        done(NotRun(ResultCode::kKvUnavailable, "down"));
        return;
      }
      Result<T> answer = action();
      m_era.OnAnswer(sent, m_stated_era, m_loop->Now());
      done(std::move(answer));
    });
  }
  void WatchStep(const std::string& prefix, uint64_t after, TimePoint end,
                 ReplyCallback<KvWatchReply> done) {
    Later(kLatency, [this, prefix, after, end, done = std::move(done)] {
      if (m_history_gone) {
        m_history_gone = false;
        done(NotRun(ResultCode::kKvHistoryGone, "gone"));
        return;
      }
      KvWatchReply reply;
      reply.revision = m_revision;
      for (const auto& [key, item] : m_items) {
        if (item.revision > after && key.compare(0, prefix.size(), prefix) == 0) {
          reply.entries.push_back({key, item.value, item.revision});
        }
      }
      if (m_down) {
        Later(kTimeLimit, [done] { done(NotRun(ResultCode::kKvUnavailable, "down")); });
      } else if (!reply.entries.empty() || m_loop->Now() >= end) {
        done(std::move(reply));
      } else {
        WatchStep(prefix, after, end, done);
      }
    });
  }
  // Runs `action` after `delay`. Timers live as long as the store.
  void Later(Milliseconds delay, std::function<void()> action) {
    m_timers.push_back(m_loop->After(delay, std::move(action)));
  }

  FakeLoop* const m_loop;
  uint64_t m_revision = 1;
  uint64_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::map<std::string, uint64_t> m_deleted;
  std::map<uint64_t, TimePoint> m_leases;
  std::map<uint64_t, Milliseconds> m_ttls;
  Backup m_backup;
  StoreEra m_era;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_FAKE_ASYNC_STORE_H_
