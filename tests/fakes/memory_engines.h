// In-memory engines that execute engine orders, and their client. Not thread-safe.

#ifndef AZUREGW_TESTS_FAKES_MEMORY_ENGINES_H_
#define AZUREGW_TESTS_FAKES_MEMORY_ENGINES_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/engine/engine_client.h"

namespace azuregw {

// One engine.
struct MemoryEngine {
  EngineState state;
  bool checks_fencing = true;  // Rejects orders with a lower fencing number than the last one.
  int orders = 0;              // Number of executed orders.
};

// Engines by address, shared by the clients of several instances.
using MemoryEngines = std::map<std::string, MemoryEngine>;

// Executes an order. Errors: kStaleFencing.
inline Result<bool> ApplyOrder(MemoryEngine* engine, const EngineOrder& order) {
  EngineState& state = engine->state;
  if (engine->checks_fencing && order.fencing < state.fencing) {
    return NotRun(ResultCode::kStaleFencing, "stale fencing number");
  }
  state.fencing = order.fencing;
  state.last_order_id = order.order_id;
  ++engine->orders;
  switch (order.kind) {
    case EngineOrderKind::kLoadModel:
      state.model = order.argument;
      break;
    case EngineOrderKind::kLoadVersion:
      state.version = order.argument;
      break;
    case EngineOrderKind::kLoadAdapter:
      state.adapters.push_back(order.argument);
      break;
    case EngineOrderKind::kSetRole:
      state.role = order.argument;
      break;
  }
  return true;
}

// Client of MemoryEngines that can delay orders and lose replies.
class MemoryEngineClient final : public EngineClient {
 public:
  explicit MemoryEngineClient(MemoryEngines* engines) : m_engines(engines) {}

  // If true, orders are delayed until ReleaseOrders, as by a paused sender.
  bool hold_orders = false;
  // Number of next orders that are executed but whose replies are lost.
  int lose_replies = 0;

  // Delivers all delayed orders.
  void ReleaseOrders() {
    for (const auto& release : std::exchange(m_held, {})) {
      release();
    }
  }
  // Returns the number of delayed orders.
  size_t Held() const { return m_held.size(); }

  void SendOrder(const std::string& address, const EngineOrder& order,
                 Callback<bool> done) override {
    auto deliver = [this, address, order, done = std::move(done)] {
      const Result<bool> result = ApplyOrder(&m_engines->at(address), order);
      if (lose_replies > 0) {
        --lose_replies;
        done(Unknown(ResultCode::kUpstreamTimeout, "reply lost"));
      } else {
        done(result);
      }
    };
    if (hold_orders) {
      m_held.emplace_back(std::move(deliver));
    } else {
      deliver();
    }
  }
  void FetchState(const std::string& address, Callback<EngineState> done) override {
    done(m_engines->at(address).state);
  }

  void Step(StepRequest /*request*/, Callback<StepResult> /*done*/) override {}
  void Cancel(const std::string& /*address*/, const std::string& /*sequence*/,
              uint32_t /*attempt*/) override {}
  void RaiseAttempt(const std::string& /*address*/, const std::string& /*sequence*/,
                    uint32_t /*attempt*/, Callback<AttemptReply> /*done*/) override {}
  void ImportKv(const std::string& /*address*/, const std::string& /*sequence*/,
                uint32_t /*attempt*/, const std::string& /*source*/,
                Callback<int> /*done*/) override {}
  void FetchLoad(const std::string& /*address*/, Callback<EngineLoad> /*done*/) override {}
  void FetchCacheEvents(const std::string& /*address*/, uint64_t /*after*/,
                        Callback<CacheEvents> /*done*/) override {}

 private:
  MemoryEngines* m_engines;
  std::vector<std::function<void()>> m_held;
};

}  // namespace azuregw

#endif  // AZUREGW_TESTS_FAKES_MEMORY_ENGINES_H_
