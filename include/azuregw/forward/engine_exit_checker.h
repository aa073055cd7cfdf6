// Finds out what became of the process of an upstream whose connection ended.
//
// Two questions are answered from queries of the process's report:
//   - Did it crash? The answer is evidence against the request that it was working on.
//   - Is a response whole that stated no length and ended with its connection? Only if the process
//     still ran after that end: a process that exits ends all its connections in the same way.
//
// What counts as evidence that a response is whole: a report of the process that started at the
// same time as the one that got the request, answered to a query that was sent after the connection
// had ended. An older report, a report of a later process, no report, and an announcement that the
// process leaves prove nothing, and the response counts as broken off.
//
// What counts as a crash: the process did not answer such a query, or a later one answered, and it
// had not announced that it leaves. Plain upstreams may be too busy to report, so for them only a
// refused connection or a later process counts.
//
// At most one query of a process is in flight; all
// questions asked before it is sent share it, and those asked meanwhile share the next one.

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

// Process of an upstream, as listed when a request was sent to it.
struct UpstreamProcess {
  std::string id;
  std::string address;
  int64_t started_ms = 0;  // 0: not stated.
  bool engine = false;     // Holds layers; otherwise a plain upstream.
};

// Returns the process that is listed under `id`; its ID is empty if there is none.
UpstreamProcess ListedProcess(const Fleet& fleet, const std::string& id);

// Runs on one event loop; not thread-safe.
class EngineExitChecker {
 public:
  // All arguments must outlive the checker.
  EngineExitChecker(EventLoop* loop, Fleet* fleet, EngineControl* engines, EventLog* log,
                    Metrics* metrics)
      : m_loop(loop), m_fleet(fleet), m_engines(engines), m_log(log), m_metrics(metrics) {}

  // Calls `done` once, maybe before it returns, with whether the process crashed. Its connection
  // has ended just now.
  void CheckCrash(const UpstreamProcess& process, std::function<void(bool crashed)> done);
  // Calls `done` once, maybe before it returns, with whether a response that ended with its
  // connection just now is whole.
  void CheckWhole(const UpstreamProcess& process, std::function<void(bool whole)> done);

 private:
  enum class State {
    kRuns,     // It answered.
    kExited,   // Another process answered, or nothing listens.
    kSilent,   // No report in time.
    kUnknown,  // It reported without its start time.
  };
  using StateCallback = std::function<void(State)>;
  using Key = std::pair<std::string, int64_t>;  // ID and start time.

  struct Result {
    State state = State::kUnknown;
    TimePoint sent_at;      // Of the query. The result tells the state at a later time.
    bool replaced = false;  // Another process has answered, so that the result never changes.
  };

  struct Watch {
    bool querying = false;
    TimePoint sent_at;
    std::vector<StateCallback> asked;  // Waits for the query in flight.
    std::vector<StateCallback> next;   // Asked after that query was sent.
  };

  // Returns whether the process has announced that it leaves, or has left the list.
  bool Announced(const UpstreamProcess& process) const;
  bool IsCrash(const UpstreamProcess& process, State state) const;
  // Determines the state of the process after now.
  void Query(const UpstreamProcess& process, StateCallback done);
  void SendQuery(const UpstreamProcess& process);
  State Judge(const UpstreamProcess& process, const azuregw::Result<EngineReport>& report) const;
  void OnReport(const UpstreamProcess& process, const azuregw::Result<EngineReport>& report);

  EventLoop* const m_loop;
  Fleet* const m_fleet;
  EngineControl* const m_engines;
  EventLog* const m_log;
  Metrics* const m_metrics;
  std::map<Key, Watch> m_watches;
  std::map<Key, Result> m_results;  // Of the last query of each process.
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_ENGINE_EXIT_CHECKER_H_
