// Finds out whether an upstream exited after the connection to it had ended.

#ifndef AZUREGW_FORWARD_ENGINE_EXIT_CHECKER_H_
#define AZUREGW_FORWARD_ENGINE_EXIT_CHECKER_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/placement/engine_control.h"

namespace azuregw {

// Queries an upstream once for all requests whose connections to it ended together. Runs on one
// event loop; not thread-safe.
class EngineExitChecker {
 public:
  // `exited`: the process is gone although it had not announced that it leaves.
  // `process_started_ms` is its start time.
  using Callback = std::function<void(bool exited, int64_t process_started_ms)>;

  // All arguments must outlive the checker.
  EngineExitChecker(EventLoop* loop, Fleet* fleet, EngineControl* engines, EventLog* log,
                    Metrics* metrics)
      : m_loop(loop), m_fleet(fleet), m_engines(engines), m_log(log), m_metrics(metrics) {}

  // Calls `done` once with the result; may do so before it returns.
  void Check(const std::string& upstream, Callback done);

 private:
  struct Result {
    bool exited = false;
    TimePoint known_at;
  };

  void OnReport(const std::string& upstream, int64_t started_ms,
                const azuregw::Result<EngineReport>& report);

  EventLoop* const m_loop;
  Fleet* const m_fleet;
  EngineControl* const m_engines;
  EventLog* const m_log;
  Metrics* const m_metrics;
  std::map<std::string, std::vector<Callback>> m_pending;       // By upstream ID.
  std::map<std::pair<std::string, int64_t>, Result> m_results;  // By upstream ID and start time.
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_ENGINE_EXIT_CHECKER_H_
