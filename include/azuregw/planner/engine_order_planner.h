// Decides which orders are sent to engines so that their state converges to the preset.
//
// Decision module without I/O. One instance holds the planner lease; its fencing token is the
// revision of the planner key. An engine that checks fencing tokens refuses the orders of an
// earlier lease holder. For an engine that does not check them:
// - The intent is written by compare-and-swap, and then the key-value service confirms the lease,
//   before the order is sent. So every order that an earlier holder may still have in flight is
//   recorded in an intent, which the next holder reads when it takes over.
// - At most one order per engine is outstanding, and the state is read back after it.
// - The state is read periodically and every difference from the preset is ordered again, so that a
//   late order of an earlier holder has no lasting effect.

#ifndef AZUREGW_PLANNER_ENGINE_ORDER_PLANNER_H_
#define AZUREGW_PLANNER_ENGINE_ORDER_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// Intervals, timeouts and rates of the planner.
struct PlannerOptions {
  Milliseconds confirm_interval{1000};  // Interval between state reads after an order.
  Milliseconds order_timeout{60000};    // Time until an order without effect is abandoned.
  Milliseconds read_timeout{5000};      // Time until an unanswered state read is retried.
  // Limit of state reads. It bounds the control traffic of the lease holder: 4 reads of about 500
  // bytes are 2 KB/s.
  double reads_per_second = 4;
  // Whether state is read periodically. False only in tests: state is read once, and not again
  // after an order.
  bool reconcile = true;
};

// A state read to be sent to an engine.
struct EngineRead {
  std::string upstream;
  std::string address;
  TimePoint started;  // Start of the read; distinguishes it from other reads of the upstream.
};

// An order to be sent to an engine.
struct EngineOrderSend {
  std::string upstream;
  std::string address;
  EngineOrder order;
  bool needs_intent = false;  // True if the engine does not check fencing tokens.
};

// Calls that the caller of Tick has to make.
struct PlannerActions {
  std::vector<EngineRead> reads;
  std::vector<EngineOrderSend> orders;
};

// Decides, while the lease is held, when the state of each engine of the preset is read and which
// orders are sent to the engine. Not thread-safe.
class EngineOrderPlanner {
 public:
  // `new_order_id` returns an ID that is unique over all processes.
  EngineOrderPlanner(PlannerOptions options, std::function<std::string()> new_order_id)
      : m_options(options), m_new_order_id(std::move(new_order_id)) {}

  // Starts planning under a new lease with the given fencing token and discards all earlier state.
  // `intent_upstreams` are the upstreams with an intent, which an order of an earlier holder may
  // still reach.
  void OnLeaseObtained(uint64_t fencing, const std::vector<std::string>& intent_upstreams,
                       TimePoint now);
  // Stops planning until the next OnLeaseObtained.
  void OnLeaseLost() { m_fencing = 0; }
  bool HoldsLease() const { return m_fencing != 0; }

  // Returns the state reads and orders that are due; none if the lease is not held.
  PlannerActions Tick(const Preset& preset, TimePoint now);

  // Handles the reply to a state read; ignores a reply to an earlier read.
  void OnState(const EngineRead& read, const Result<EngineState>& state, TimePoint now);
  // Handles the result of an order that was sent, or was not sent because the lease was not
  // confirmed or the intent not written; ignores the result of an earlier order. kStaleFencing
  // means that another instance holds the lease.
  void OnOrderResult(const std::string& upstream, const std::string& order_id,
                     const Result<bool>& result, TimePoint now);

 private:
  // Known state of one engine and its pending calls.
  struct Engine {
    std::optional<EngineState> state;  // State read under the current lease.
    TimePoint next_read{};
    bool read_pending = false;
    TimePoint read_started{};
    std::optional<EngineOrder> outstanding;  // The one order in progress, if any.
    TimePoint ordered_at{};
    bool sent = false;        // `outstanding` was sent; its outcome is known or its reply was lost.
    TimePoint watch_until{};  // Time until which an order of an earlier holder may arrive.
  };

  // Completes engine->outstanding and adds it to `actions`.
  void PlanOrder(const std::string& upstream, const EngineSpec& spec, Engine* engine, TimePoint now,
                 PlannerActions* actions);
  // Adds the state reads that are due, as far as reads_per_second allows.
  void PlanReads(const Preset& preset, TimePoint now, PlannerActions* actions);
  // Returns whether the rate limit of weight loads allows one now, and counts it if it does.
  bool TakeLoadSlot(TimePoint now, int loads_per_minute);

  const PlannerOptions m_options;
  const std::function<std::string()> m_new_order_id;
  uint64_t m_fencing = 0;                   // 0 if the lease is not held.
  std::map<std::string, Engine> m_engines;  // Engines by upstream.
  TimePoint m_last_load{};            // Time of the last load order, or of the start of the lease.
  TimePoint m_read_tokens_updated{};  // Time of the last refill of m_read_tokens.
  double m_read_tokens = 0;           // Token bucket that limits the rate of reads.
};

// Returns the next order that brings `state` closer to `spec`; nullopt if nothing differs. Empty
// fields of `spec` are ignored.
std::optional<EngineOrder> NextEngineOrder(const EngineSpec& spec, const EngineState& state);

}  // namespace azuregw

#endif  // AZUREGW_PLANNER_ENGINE_ORDER_PLANNER_H_
