// Decides which orders engines get so that their state follows the preset. No I/O.
//
// One instance holds the planner lease; its fencing number is the revision of the planner key. An
// engine that checks fencing numbers refuses the orders of an earlier holder. For an engine that
// does not check:
// - the intent is written by compare-and-swap, and the lease is confirmed by the service after
// that,
//   before the order is sent. So whatever an earlier holder can still have on its way stands in an
//   intent that the next holder reads when it takes over;
// - one order is outstanding at a time, and the state is read back after it;
// - state is read again and again, and whatever differs from the preset is ordered anew, so that a
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

struct PlannerOptions {
  Milliseconds confirm_interval{1000};  // Between reads of an engine with an order on its way.
  Milliseconds order_limit{60000};      // Until an order that shows no effect is given up.
  Milliseconds read_limit{5000};        // Until an unanswered read may be repeated.
  // Bounds the control traffic of the holder: 4 reads of about 500 bytes are 2 KB/s.
  double reads_per_second = 4;
  bool repairs = true;  // Off only in tests: state is read once, and not again after an order.
};

struct EngineRead {
  std::string upstream;
  std::string address;
  TimePoint started;  // Identifies the read.
};

struct EngineOrderSend {
  std::string upstream;
  std::string address;
  EngineOrder order;
  bool needs_intent = false;  // The engine does not check fencing numbers.
};

struct PlannerActions {
  std::vector<EngineRead> reads;
  std::vector<EngineOrderSend> orders;
};

// Owned by one thread.
class EngineOrderPlanner {
 public:
  // `new_order_id` returns a text that is unique over all processes.
  EngineOrderPlanner(PlannerOptions options, std::function<std::string()> new_order_id)
      : m_options(options), m_new_order_id(std::move(new_order_id)) {}

  // The lease was obtained with this fencing number; nothing known from before counts. `suspected`
  // are upstreams with an intent, which an earlier holder's order may still reach.
  void OnLeaseObtained(uint64_t fencing, const std::vector<std::string>& suspected, TimePoint now);
  void OnLeaseLost() { m_fencing = 0; }
  bool HoldsLease() const { return m_fencing != 0; }

  PlannerActions Tick(const Preset& preset, TimePoint now);

  // Answers that belong to no current read or order are ignored.
  void OnState(const EngineRead& read, const Result<EngineState>& state, TimePoint now);
  // The order was sent, or was not because the lease or the intent could not be had. A result of
  // kStaleFencing means that another instance holds the lease.
  void OnOrderResult(const std::string& upstream, const std::string& order_id,
                     const Result<bool>& result, TimePoint now);

 private:
  struct Engine {
    std::optional<EngineState> state;  // Read under the current lease.
    TimePoint next_read{};
    bool reading = false;
    TimePoint read_started{};
    std::optional<EngineOrder> outstanding;  // At most one.
    TimePoint ordered_at{};
    bool sent = false;        // The outcome of sending `outstanding` is known or was lost.
    TimePoint watch_until{};  // An earlier holder's order may arrive until then.
  };

  void PlanOrder(const std::string& upstream, const EngineSpec& spec, Engine* engine, TimePoint now,
                 PlannerActions* actions);
  void PlanReads(const Preset& preset, TimePoint now, PlannerActions* actions);
  bool TakeLoad(TimePoint now, int loads_per_minute);

  const PlannerOptions m_options;
  const std::function<std::string()> m_new_order_id;
  uint64_t m_fencing = 0;  // 0: the lease is not held.
  std::map<std::string, Engine> m_engines;
  TimePoint m_last_load{};
  TimePoint m_reads_at{};
  double m_read_tokens = 0;
};

// The next order that brings `state` closer to `spec`; fields left empty in the preset do not
// matter. Nullopt when nothing differs.
std::optional<EngineOrder> NextEngineOrder(const EngineSpec& spec, const EngineState& state);

}  // namespace azuregw

#endif  // AZUREGW_PLANNER_ENGINE_ORDER_PLANNER_H_
