// Active health checks of engines, triggered by the pace of the streams that pass through them.

#ifndef SRC_FORWARD_ENGINE_HEALTH_CHECKER_H_
#define SRC_FORWARD_ENGINE_HEALTH_CHECKER_H_

#include <map>
#include <memory>
#include <string>

#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/stream_monitor.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/placement/engine_control.h"

namespace azuregw {

// Probes the engines whose streams are silent or slow, and reroutes streams around engines that
// stopped or are slow. Runs on one event loop; not thread-safe.
class EngineHealthChecker {
 public:
  // All arguments must outlive the checker.
  EngineHealthChecker(EventLoop* loop, Fleet* fleet, StreamMonitor* monitor, EngineControl* engines,
                      EventLog* log)
      : m_loop(loop), m_fleet(fleet), m_monitor(monitor), m_engines(engines), m_log(log) {}

  // Starts the periodic checks.
  void Start();

 private:
  void Tick();
  // Probes an engine whose streams fell silent, and reroutes them if it does not respond.
  void ProbeSilentEngine(const std::string& id, TimePoint now);
  // Queries the pace of an engine that seems slow, unless it is known. The pace is shared with the
  // load reports, so that one instance queries for all.
  void ProbePace(const std::string& id, TimePoint now);
  // Reroutes all streams of an engine that stopped.
  void RerouteAroundStopped(const std::string& id);
  // Reroutes the slowest stream of one engine that is known to be slow. Rerouting all streams at
  // once would overload other engines.
  void RerouteOneSlowStream(TimePoint now);

  EventLoop* const m_loop;
  Fleet* const m_fleet;
  StreamMonitor* const m_monitor;
  EngineControl* const m_engines;
  EventLog* const m_log;
  std::map<std::string, TimePoint> m_last_silence_probe;  // By engine ID.
  std::map<std::string, TimePoint> m_last_pace_probe;     // By engine ID.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // SRC_FORWARD_ENGINE_HEALTH_CHECKER_H_
