// A key-value service in memory, with the semantics of docs/assumptions.md and injectable faults.
//
// Thread-safe. Leases lapse only by ExpireLease, so that tests decide when.

#ifndef TESTS_FAKES_MEMORY_KEY_VALUE_STORE_H_
#define TESTS_FAKES_MEMORY_KEY_VALUE_STORE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/kv/key_value_store.h"

namespace azuregw {

class MemoryKeyValueStore final : public KeyValueStore {
 public:
  enum class Fault {
    kNone,         // The call works.
    kUnavailable,  // The call is refused and has no effect.
    kLostReply,    // The call takes effect, and its reply is lost.
    kLostRequest,  // The call has no effect, and the caller cannot know.
  };

  // Queues the fault of one coming write (CompareAndSwap, Delete, GrantLease), in order.
  void InjectWrite(Fault fault) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_write_faults.push_back(fault);
  }

  // Queues the fault of one coming read (Get, List); any fault but kNone gives kKvUnavailable.
  void InjectRead(Fault fault) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_read_faults.push_back(fault);
  }

  // While down, every call returns kKvUnavailable.
  void SetDown(bool down) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
  }

  // Runs before each call, without a lock held, with the operation ("get", "list", "cas", "delete",
  // "watch", "grant", "renew") and the key; for interleaving another actor. Set it before use.
  void SetHook(std::function<void(std::string_view op, std::string_view key)> hook) {
    m_hook = std::move(hook);
  }

  void ExpireLease(const std::string& lease) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leases.erase(lease);
    for (auto it = m_records.begin(); it != m_records.end();) {
      if (it->second.lease == lease) {
        ++m_revision;
        it = m_records.erase(it);
      } else {
        ++it;
      }
    }
    m_changed.notify_all();
  }

  // Calls received so far, by operation; refused calls count too.
  int Calls(const std::string& op) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_calls.find(op);
    return it == m_calls.end() ? 0 : it->second;
  }

  Result<std::optional<KvEntry>> Get(std::string_view key) override {
    Before("get", key);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down || Take(&m_read_faults) != Fault::kNone) {
      return Unavailable();
    }
    const auto it = m_records.find(std::string(key));
    if (it == m_records.end()) {
      return std::optional<KvEntry>();
    }
    return std::optional<KvEntry>(Entry(*it));
  }

  Result<std::vector<KvEntry>> List(std::string_view prefix) override {
    Before("list", prefix);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down || Take(&m_read_faults) != Fault::kNone) {
      return Unavailable();
    }
    return Select(prefix, 0);
  }

  Result<uint64_t> CompareAndSwap(std::string_view key, uint64_t expected, std::string_view value,
                                  std::string_view lease) override {
    Before("cas", key);
    const std::lock_guard<std::mutex> lock(m_mutex);
    return Write([&]() -> Result<uint64_t> {
      if (!lease.empty() && m_leases.count(std::string(lease)) == 0) {
        return NotRun(ResultCode::kLeaseLapsed, "lease lapsed");
      }
      if (value.size() > kMaxValueBytes) {
        return NotRun(ResultCode::kInvalidField, "value over 1 MB");
      }
      const auto it = m_records.find(std::string(key));
      const uint64_t current = it == m_records.end() ? 0 : it->second.revision;
      if (current != expected) {
        return NotRun(ResultCode::kKvConflict, "revision is " + std::to_string(current));
      }
      m_records[std::string(key)] = Record{std::string(value), ++m_revision, std::string(lease)};
      return m_revision;
    });
  }

  Result<uint64_t> Delete(std::string_view key, uint64_t expected) override {
    Before("delete", key);
    const std::lock_guard<std::mutex> lock(m_mutex);
    return Write([&]() -> Result<uint64_t> {
      const auto it = m_records.find(std::string(key));
      if (it == m_records.end()) {
        return NotRun(ResultCode::kKvNotFound, "no such key");
      }
      if (it->second.revision != expected) {
        return NotRun(ResultCode::kKvConflict, "conflict");
      }
      m_records.erase(it);
      return ++m_revision;
    });
  }

  Result<KvWatchReply> Watch(std::string_view prefix, uint64_t after, Milliseconds wait) override {
    Before("watch", prefix);
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto deadline = std::chrono::steady_clock::now() + wait;
    std::vector<KvEntry> found = Select(prefix, after);
    while (!m_down && found.empty() &&
           m_changed.wait_until(lock, deadline) == std::cv_status::no_timeout) {
      found = Select(prefix, after);
    }
    if (m_down) {
      return Unavailable();
    }
    return KvWatchReply{std::move(found), m_revision};
  }

  Result<std::string> GrantLease(Milliseconds /*ttl*/) override {
    Before("grant", "");
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Result<uint64_t> number = Write([&]() -> Result<uint64_t> {
      const uint64_t id = ++m_next_lease;
      m_leases.insert("lease-" + std::to_string(id));
      return id;
    });
    if (!number) {
      return number.error();
    }
    return "lease-" + std::to_string(number.value());
  }

  Result<void> RenewLease(std::string_view lease) override {
    Before("renew", lease);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down) {
      return Unavailable();
    }
    if (m_leases.count(std::string(lease)) == 0) {
      return NotRun(ResultCode::kLeaseLapsed, "lease lapsed");
    }
    return boost::outcome_v2::success();
  }

 private:
  static constexpr size_t kMaxValueBytes = 1 << 20;

  struct Record {
    std::string value;
    uint64_t revision = 0;
    std::string lease;
  };

  static Error Unavailable() { return NotRun(ResultCode::kKvUnavailable, "service is down"); }

  static KvEntry Entry(const std::pair<const std::string, Record>& record) {
    return KvEntry{record.first, record.second.value, record.second.revision};
  }

  static Fault Take(std::deque<Fault>* faults) {
    if (faults->empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults->front();
    faults->pop_front();
    return fault;
  }

  void Before(std::string_view op, std::string_view key) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ++m_calls[std::string(op)];
    }
    if (m_hook) {
      m_hook(op, key);
    }
  }

  // The lock is held.
  template <class Change>
  Result<uint64_t> Write(const Change& change) {
    if (m_down) {
      return Unavailable();
    }
    const Fault fault = Take(&m_write_faults);
    if (fault == Fault::kUnavailable) {
      return Unavailable();
    }
    if (fault == Fault::kLostRequest) {
      return Unknown(ResultCode::kKvOutcomeUnknown, "request lost");
    }
    const Result<uint64_t> result = change();
    m_changed.notify_all();
    if (fault == Fault::kLostReply) {
      return Unknown(ResultCode::kKvOutcomeUnknown, "reply lost");
    }
    return result;
  }

  // The lock is held.
  std::vector<KvEntry> Select(std::string_view prefix, uint64_t after) const {
    std::vector<KvEntry> found;
    for (auto it = m_records.lower_bound(std::string(prefix));
         it != m_records.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      if (it->second.revision > after) {
        found.push_back(Entry(*it));
      }
    }
    return found;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::function<void(std::string_view, std::string_view)> m_hook;
  std::map<std::string, Record> m_records;
  std::set<std::string> m_leases;
  std::map<std::string, int> m_calls;
  std::deque<Fault> m_write_faults;
  std::deque<Fault> m_read_faults;
  uint64_t m_revision = 0;
  uint64_t m_next_lease = 0;
  bool m_down = false;
};

}  // namespace azuregw

#endif  // TESTS_FAKES_MEMORY_KEY_VALUE_STORE_H_
