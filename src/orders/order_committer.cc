// Worker threads and timer thread of the order committer.

#include "azuregw/orders/order_committer.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/base/rendezvous.h"

namespace azuregw {
namespace {

// Interval between checks for deadlines, lingers and backoffs.
constexpr Milliseconds kTimerInterval{5};

// Upper limit of the interval between two swaps of a shard. Without it, a second claim in a shard
// would wait too long when there are many shards.
constexpr Milliseconds kMaxSwapInterval{1000};

// Makes a store call; blocks until the store replies.
StoreReply Execute(KeyValueStore* store, const StoreCall& call) {
  StoreReply reply;
  switch (call.kind) {
    case StoreCall::Kind::kRead: {
      Result<std::optional<KvEntry>> read = store->Get(call.key);
      if (read) {
        reply.entry = std::move(read.value());
      } else {
        reply.code = read.error().code;
      }
      break;
    }
    case StoreCall::Kind::kWrite: {
      const Result<uint64_t> written =
          store->CompareAndSwap(call.key, call.expected, call.value, "");
      reply.code = written ? ResultCode::kOk : written.error().code;
      reply.revision = written ? written.value() : 0;
      break;
    }
    case StoreCall::Kind::kDelete: {
      const Result<uint64_t> deleted = store->Delete(call.key, call.expected);
      reply.code = deleted ? ResultCode::kOk : deleted.error().code;
      break;
    }
  }
  return reply;
}

class ThreadedCommitter final : public OrderCommitter {
 public:
  using OrderCommitter::Configure;

  ThreadedCommitter(KeyValueStore* store, const Clock* clock, CommitterOptions options)
      : m_store(store), m_clock(clock), m_options(std::move(options)) {
    m_initial_shards = m_options.initial_shards;
    m_retention_ms = m_options.batcher.retention_ms;
    for (int i = 0; i < m_options.threads; ++i) {
      m_threads.emplace_back([this] { RunWorker(); });
    }
    m_threads.emplace_back([this] { RunTimer(); });
  }

  ~ThreadedCommitter() override {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    m_worker_wake.notify_all();
    m_timer_wake.notify_all();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  void Submit(Claim claim, TimePoint deadline, ClaimCallback done) override {
    UnroutedItem item{std::move(claim), deadline, std::move(done), nullptr};
    Route(std::move(item));
  }

  void Record(Claim outcome, RecordCallback done) override {
    ++m_unwritten;
    const auto on_written = [this, done = std::move(done)] {
      --m_unwritten;
      done();
    };
    Route(UnroutedItem{std::move(outcome), TimePoint::max(), nullptr, on_written});
  }

  void Configure(int initial_shards, int64_t retention_ms) override {
    m_initial_shards = initial_shards;
    m_retention_ms = retention_ms;
  }

  void FlushOutcomes() override {
    m_flushing = true;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int shard : m_active_shards) {
      MakeReady(shard);
    }
  }

  int UnwrittenOutcomes() const override { return m_unwritten; }

  int ShardOf(const std::string& key_hash) const override {
    const int shards = m_shards;
    return shards == 0 ? -1
                       : static_cast<int>(StableHash(key_hash) % static_cast<uint64_t>(shards));
  }

  BatcherCounters Counters() const override {
    BatcherCounters sum;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [number, shard] : m_slots) {
      const std::lock_guard<std::mutex> slot_lock(shard->mutex);
      const BatcherCounters& part = shard->batcher.Counters();
      sum.swaps += part.swaps;
      sum.conflicts += part.conflicts;
      sum.lost_replies += part.lost_replies;
      sum.unavailable += part.unavailable;
      sum.calls += part.calls;
      sum.written_bytes += part.written_bytes;
      sum.seals += part.seals;
    }
    return sum;
  }

 private:
  // Batcher of one shard.
  struct Slot {
    Slot(std::string prefix, const BatcherOptions& options) : batcher(std::move(prefix), options) {}
    mutable std::mutex mutex;  // Guards `batcher`.
    ClaimBatcher batcher;
  };

  // Claim (if `claim_done` is set) or outcome (if `record_done` is set) without a known shard.
  struct UnroutedItem {
    Claim claim;
    TimePoint deadline;
    ClaimCallback claim_done;
    RecordCallback record_done;
  };

  // Queues the item while the layout is unknown. Returns false, and leaves the item, if it is
  // known.
  bool AwaitLayout(UnroutedItem* item) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_shards > 0) {
      return false;  // Loaded in the meantime; nobody would take the item from the queue.
    }
    m_unrouted.push_back(std::move(*item));
    m_worker_wake.notify_one();
    return true;
  }

  void Route(UnroutedItem item) {
    if (m_shards == 0 && AwaitLayout(&item)) {
      return;
    }
    const int shard = ShardOf(item.claim.key_hash);
    Slot* slot = FindSlot(shard);
    {
      const std::lock_guard<std::mutex> lock(slot->mutex);
      if (item.claim_done) {
        slot->batcher.Submit(std::move(item.claim), item.deadline, m_clock->Now(),
                             std::move(item.claim_done));
      } else {
        slot->batcher.Record(std::move(item.claim), m_clock->Now(), std::move(item.record_done));
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    MakeReady(shard);
  }

  BatcherOptions BatcherOptionsForLayout() const {
    BatcherOptions options = m_options.batcher;
    const Milliseconds interval(1000 * m_shards / std::max(1, m_options.max_swaps_per_s));
    options.swap_interval = std::min(interval, kMaxSwapInterval);
    return options;
  }

  Slot* FindSlot(int shard) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Slot>& slot = m_slots[shard];
    if (!slot) {
      slot =
          std::make_unique<Slot>(m_options.prefix + "/" + std::to_string(shard), m_options.batcher);
    }
    return slot.get();
  }

  // Queues a shard for the workers. Requires m_mutex.
  void MakeReady(int shard) {
    m_active_shards.insert(shard);
    if (m_queued.insert(shard).second) {
      m_ready.push_back(shard);
      m_worker_wake.notify_one();
    }
  }

  void RunWorker() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
      if (m_shards == 0 && !m_unrouted.empty() && !m_loading_layout &&
          m_clock->Now() >= m_layout_not_before) {
        m_loading_layout = true;
        lock.unlock();
        LoadLayout();
        lock.lock();
        m_loading_layout = false;
      } else if (!m_ready.empty()) {
        const int shard = m_ready.front();
        m_ready.pop_front();
        m_queued.erase(shard);
        Slot* slot = m_slots.at(shard).get();
        lock.unlock();
        const bool again = Step(slot);
        lock.lock();
        UpdateActive(shard, *slot);
        if (again) {
          MakeReady(shard);
        }
      } else {
        m_worker_wake.wait(lock);
      }
    }
  }

  // Updates the shard's membership in m_active_shards. Requires m_mutex and also locks the slot, so
  // that an item queued concurrently is not missed.
  void UpdateActive(int shard, const Slot& slot) {
    const std::lock_guard<std::mutex> slot_lock(slot.mutex);
    if (slot.batcher.Idle()) {
      m_active_shards.erase(shard);
    } else {
      m_active_shards.insert(shard);
    }
  }

  // Makes the shard's next store call, if any. Returns whether to call Step again at once.
  bool Step(Slot* slot) {
    std::unique_lock<std::mutex> lock(slot->mutex);
    slot->batcher.SetRetention(m_retention_ms);
    if (m_flushing) {
      slot->batcher.FlushOutcomes();
    }
    const std::optional<StoreCall> call = slot->batcher.NextCall(m_clock->Now(), m_clock->WallMs());
    RunCallbacks(slot, &lock);
    if (!call) {
      return false;
    }
    lock.unlock();
    const StoreReply reply = Execute(m_store, *call);
    lock.lock();
    slot->batcher.OnReply(reply, m_clock->Now(), m_clock->WallMs());
    RunCallbacks(slot, &lock);
    return !slot->batcher.Idle();
  }

  // Runs the callbacks that are due, with the slot unlocked meanwhile.
  static void RunCallbacks(Slot* slot, std::unique_lock<std::mutex>* lock) {
    const std::vector<std::function<void()>> callbacks = slot->batcher.TakeCallbacks();
    if (callbacks.empty()) {
      return;
    }
    lock->unlock();
    for (const auto& callback : callbacks) {
      callback();
    }
    lock->lock();
  }

  void RunTimer() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
      m_timer_wake.wait_for(lock, kTimerInterval);
      const std::vector<int> active(m_active_shards.begin(), m_active_shards.end());
      std::vector<std::pair<int, Slot*>> slots;
      slots.reserve(active.size());
      for (const int shard : active) {
        slots.emplace_back(shard, m_slots.at(shard).get());
      }
      lock.unlock();
      ExpireUnrouted();
      std::vector<int> due;
      for (const auto& [shard, slot] : slots) {
        if (CheckSlot(slot)) {
          due.push_back(shard);
        }
      }
      lock.lock();
      for (const int shard : due) {
        MakeReady(shard);
      }
      if (m_shards == 0 && !m_unrouted.empty()) {
        m_worker_wake.notify_one();
      }
    }
  }

  // Refuses expired claims. Returns whether a worker should process the shard now.
  bool CheckSlot(Slot* slot) {
    std::unique_lock<std::mutex> lock(slot->mutex);
    const TimePoint now = m_clock->Now();
    slot->batcher.Expire(now, m_clock->WallMs());
    RunCallbacks(slot, &lock);
    const std::optional<TimePoint> wake = slot->batcher.NextWake();
    return (wake && *wake <= now) || slot->batcher.Idle();
  }

  // Refuses claims that passed their deadline before the layout was known.
  void ExpireUnrouted() {
    std::vector<ClaimCallback> expired;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      const TimePoint now = m_clock->Now();
      for (auto it = m_unrouted.begin(); it != m_unrouted.end();) {
        if (it->claim_done && now >= it->deadline) {
          expired.push_back(std::move(it->claim_done));
          it = m_unrouted.erase(it);
        } else {
          ++it;
        }
      }
    }
    for (const ClaimCallback& done : expired) {
      done(ClaimReply{});
    }
  }

  // Reads the number of shards, or creates the layout record if there is none.
  void LoadLayout() {
    const std::string key = m_options.prefix + "/layout";
    const Result<std::optional<KvEntry>> read = m_store->Get(key);
    int shards = 0;
    if (read && read.value()) {
      shards = std::atoi(read.value()->value.c_str());
    } else if (read) {
      const int wanted = m_initial_shards;
      if (m_store->CompareAndSwap(key, 0, std::to_string(wanted), "")) {
        shards = wanted;
      }
    }
    std::deque<UnroutedItem> waiting;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (shards <= 0) {
        // The next read resolves a conflict or a lost reply.
        m_layout_not_before = m_clock->Now() + m_options.batcher.first_backoff;
        return;
      }
      m_shards = shards;
      waiting.swap(m_unrouted);
    }
    LOG(INFO) << "order layout loaded: shards=" << shards;
    for (UnroutedItem& item : waiting) {
      Route(std::move(item));
    }
  }

  KeyValueStore* const m_store;
  const Clock* const m_clock;
  const CommitterOptions m_options;
  std::atomic<int> m_initial_shards{0};
  std::atomic<int64_t> m_retention_ms{0};
  std::atomic<int> m_shards{0};  // 0 until the layout is known; constant afterwards.
  std::atomic<int> m_unwritten{0};
  std::atomic<bool> m_flushing{false};

  // Guards the members below, except m_threads; locked before a slot's mutex if both are needed.
  mutable std::mutex m_mutex;
  std::condition_variable m_worker_wake;         // Signals work to the workers.
  std::condition_variable m_timer_wake;          // Signals shutdown to the timer thread.
  std::map<int, std::unique_ptr<Slot>> m_slots;  // Slots by shard; never removed.
  std::deque<int> m_ready;                       // Shards to be processed by the workers.
  std::set<int> m_queued;                        // The shards in m_ready.
  std::set<int> m_active_shards;                 // Shards with queued items or a call in progress.
  std::deque<UnroutedItem> m_unrouted;           // Items waiting for the layout.
  TimePoint m_layout_not_before{};               // Earliest time of the next layout read.
  bool m_loading_layout = false;
  bool m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace

void OrderCommitter::Configure(const Snapshot& snapshot) {
  if (snapshot.preset != nullptr) {
    const OrderSpec& orders = snapshot.preset->orders;
    Configure(orders.shards, Milliseconds(orders.retention).count());
  }
}

std::unique_ptr<OrderCommitter> MakeOrderCommitter(KeyValueStore* store, const Clock* clock,
                                                   CommitterOptions options) {
  return std::make_unique<ThreadedCommitter>(store, clock, std::move(options));
}

}  // namespace azuregw
