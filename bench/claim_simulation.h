// Simulation of order claims over a store with limited rate, in virtual time, with the shipped
// ClaimBatcher. The store answers a call `call_ms` after it was accepted and accepts
// `writes_per_s` writes and `reads_per_s` reads per second; calls over the rate wait in line.

#ifndef BENCH_CLAIM_SIMULATION_H_
#define BENCH_CLAIM_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/base/rendezvous.h"
#include "azuregw/orders/claim_batcher.h"

namespace azuregw {

inline constexpr int64_t kWallBase = 1700000000000;

struct Scenario {
  int instances = 9;
  int shards = 64;
  bool owner = true;  // Claims go to the shard's owner; otherwise each instance swaps.
  double orders_per_s = 240;
  int64_t duration_ms = 20000;
  int64_t service_ms = 100;  // From the claim's grant to the outcome.
  double writes_per_s = 300;
  double reads_per_s = 2000;
  double call_ms = 3;
  int64_t deadline_ms = 10000;
  size_t answer_bytes = 60;
  BatcherOptions options;
};

struct Totals {
  int64_t orders = 0;
  int64_t granted = 0;
  int64_t refused = 0;
  int64_t recorded = 0;
  std::vector<double> claim_ms;
  BatcherCounters counters;
  size_t largest_value = 0;
};

// Discrete events in virtual time; one thread.
class ClaimSimulation {
 public:
  explicit ClaimSimulation(const Scenario& scenario)
      : m_scenario(scenario), m_random(MakeRandom(11)) {
    const int owners = scenario.owner ? 1 : scenario.instances;
    for (int shard = 0; shard < scenario.shards; ++shard) {
      for (int i = 0; i < owners; ++i) {
        m_batchers.push_back(std::make_unique<ClaimBatcher>(
            "azuregw/orders/" + std::to_string(shard), scenario.options));
      }
    }
    m_busy.resize(m_batchers.size());
    m_wakes.resize(m_batchers.size(), -1);
  }

  Totals Run() {
    const double gap_us = 1e6 / m_scenario.orders_per_s;
    const auto count = static_cast<int64_t>(m_scenario.orders_per_s *
                                            static_cast<double>(m_scenario.duration_ms) / 1000);
    for (int64_t i = 0; i < count; ++i) {
      // Arrivals are spread around an even pace, so that they do not come in step with the store.
      const double at = (static_cast<double>(i) + m_random->Unit()) * gap_us;
      At(static_cast<int64_t>(at), [this, i] { Arrive(i); });
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now_us = event.time_us;
      event.action();
    }
    for (const auto& batcher : m_batchers) {
      const BatcherCounters& part = batcher->Counters();
      m_totals.counters.swaps += part.swaps;
      m_totals.counters.calls += part.calls;
      m_totals.counters.conflicts += part.conflicts;
      m_totals.counters.written_bytes += part.written_bytes;
      m_totals.counters.seals += part.seals;
    }
    return std::move(m_totals);
  }

 private:
  struct Event {
    int64_t time_us;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time_us, other.order) < std::tie(time_us, order);
    }
  };

  void At(int64_t time_us, std::function<void()> action) {
    m_events.push(Event{std::max(time_us, m_now_us), m_next_event++, std::move(action)});
  }
  TimePoint Now() const { return TimePoint(Microseconds(m_now_us)); }
  int64_t WallMs() const { return kWallBase + m_now_us / 1000; }

  void Arrive(int64_t number) {
    Claim claim;
    claim.key_hash = "key-hash-of-24-char-" + std::to_string(100000000 + number);
    claim.fingerprint = "print-of-16-char";
    claim.claim_id = "claim-id-of-32-characters-" + std::to_string(100000000 + number);
    claim.created_ms = WallMs();
    claim.deadline_ms = WallMs() + m_scenario.deadline_ms;
    const auto shard =
        static_cast<size_t>(StableHash(claim.key_hash) % static_cast<uint64_t>(m_scenario.shards));
    const auto owners = static_cast<size_t>(m_scenario.owner ? 1 : m_scenario.instances);
    const size_t index = shard * owners + static_cast<size_t>(m_random->Below(owners));
    ++m_totals.orders;
    const int64_t start_us = m_now_us;
    m_batchers[index]->Submit(
        claim, Now() + Milliseconds(m_scenario.deadline_ms), Now(),
        [this, claim, index, start_us](const ClaimReply& reply) {
          if (reply.decision != ClaimDecision::kGranted) {
            ++m_totals.refused;
            return;
          }
          ++m_totals.granted;
          m_totals.claim_ms.push_back(static_cast<double>(m_now_us - start_us) / 1000);
          At(m_now_us + 1000 * m_scenario.service_ms, [this, claim, index] {
            Claim outcome = claim;
            outcome.state = ClaimState::kRun;
            outcome.answer = RecordedAnswer{201, "application/json",
                                            std::string(m_scenario.answer_bytes, 'x'), "", true};
            m_batchers[index]->Record(outcome, Now(), [this] { ++m_totals.recorded; });
            Pump(index);
          });
        });
    Pump(index);
  }

  // Starts the next store call of a batcher, or plans when to look again.
  void Pump(size_t index) {
    ClaimBatcher& batcher = *m_batchers[index];
    batcher.Expire(Now(), WallMs());
    RunCallbacks(index);
    if (m_busy[index]) {
      return;
    }
    const std::optional<StoreCall> call = batcher.NextCall(Now(), WallMs());
    RunCallbacks(index);
    if (call) {
      m_busy[index] = true;
      Start(index, *call);
      return;
    }
    const std::optional<TimePoint> wake = batcher.NextWake();
    if (wake) {
      const int64_t at_us =
          std::max(m_now_us + 1000,
                   std::chrono::duration_cast<Microseconds>(wake->time_since_epoch()).count());
      if (m_wakes[index] < m_now_us || at_us < m_wakes[index]) {
        m_wakes[index] = at_us;
        At(at_us, [this, index] { Pump(index); });
      }
    }
  }

  void Start(size_t index, const StoreCall& call) {
    const bool read = call.kind == StoreCall::Kind::kRead;
    double* line = read ? &m_read_line_us : &m_write_line_us;
    const double rate = read ? m_scenario.reads_per_s : m_scenario.writes_per_s;
    *line = std::max(*line, static_cast<double>(m_now_us)) + 1e6 / rate;
    const auto effect_us = static_cast<int64_t>(*line + 500 * m_scenario.call_ms);
    const auto reply_us = static_cast<int64_t>(*line + 1000 * m_scenario.call_ms);
    m_totals.largest_value = std::max(m_totals.largest_value, call.value.size());
    At(effect_us, [this, index, call, reply_us] {
      const StoreReply reply = Execute(call);
      At(reply_us, [this, index, reply] {
        m_busy[index] = false;
        m_batchers[index]->OnReply(reply, Now(), WallMs());
        RunCallbacks(index);
        Pump(index);
      });
    });
  }

  StoreReply Execute(const StoreCall& call) {
    StoreReply reply;
    KvEntry& entry = m_store[call.key];
    if (call.kind == StoreCall::Kind::kRead) {
      if (entry.revision > 0) {
        reply.entry = entry;
      }
    } else if (entry.revision != call.expected) {
      reply.code = ResultCode::kKvConflict;
    } else {
      entry = KvEntry{call.key, call.value, ++m_revision};
      reply.revision = m_revision;
    }
    return reply;
  }

  void RunCallbacks(size_t index) {
    for (const auto& callback : m_batchers[index]->TakeCallbacks()) {
      callback();
    }
  }

  const Scenario m_scenario;
  std::unique_ptr<Random> m_random;
  std::vector<std::unique_ptr<ClaimBatcher>> m_batchers;
  std::vector<bool> m_busy;
  std::vector<int64_t> m_wakes;
  std::map<std::string, KvEntry> m_store;
  std::priority_queue<Event> m_events;
  Totals m_totals;
  uint64_t m_revision = 0;
  uint64_t m_next_event = 0;
  int64_t m_now_us = 0;
  double m_write_line_us = 0;
  double m_read_line_us = 0;
};

}  // namespace azuregw

#endif  // BENCH_CLAIM_SIMULATION_H_
