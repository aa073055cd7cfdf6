// Acts on what the pace of streams says about engines: asks the suspicious ones, and moves streams
// away from those that stopped or are slow.

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

class EngineHealthChecker {
 public:
  // All arguments must outlive the watch.
  EngineHealthChecker(EventLoop* loop, Fleet* fleet, StreamMonitor* monitor, EngineControl* engines,
                      EventLog* log)
      : m_loop(loop), m_fleet(fleet), m_monitor(monitor), m_engines(engines), m_log(log) {}

  void Start();

 private:
  void Tick();
  // Asks an engine whose streams fell silent, and moves them if it does not answer.
  void AskSilent(const std::string& id, TimePoint now);
  // Asks an engine that seems slow for its pace, unless it is known. The pace is shared with the
  // load, so that one instance asks for all.
  void AskPace(const std::string& id, TimePoint now);
  void LeaveStopped(const std::string& id);
  // Lets one stream leave the engines that are known to be slow; all at once would overfill others.
  void LeaveSlow(TimePoint now);

  EventLoop* const m_loop;
  Fleet* const m_fleet;
  StreamMonitor* const m_monitor;
  EngineControl* const m_engines;
  EventLog* const m_log;
  std::map<std::string, TimePoint> m_asked_silent;  // When engines were asked, by id.
  std::map<std::string, TimePoint> m_asked_pace;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // SRC_FORWARD_ENGINE_HEALTH_CHECKER_H_
