// The steps of a graceful shutdown. Decisions only; the main thread drives it.

#ifndef SRC_SERVE_SHUTDOWN_SEQUENCE_H_
#define SRC_SERVE_SHUTDOWN_SEQUENCE_H_

#include "azuregw/base/clock.h"
#include "azuregw/config/settings.h"

namespace azuregw {

enum class ShutdownPhase {
  kServing,
  kNotReady,   // Load balancers turn away; new work is still accepted.
  kFinishing,  // No new work; work in progress runs on.
  kFinished,   // All work has ended.
  kCut,        // Work in progress is given up.
};

class ShutdownSequence {
 public:
  explicit ShutdownSequence(const DrainSettings& settings) : m_settings(settings) {}

  // A stop is asked for; the second call gives up the work in progress.
  void OnStop(TimePoint now);
  // A drain is asked for by an operator; repeats change nothing.
  void OnDrain(TimePoint now);
  // `in_progress` is the number of requests whose answer is not complete.
  ShutdownPhase OnTick(TimePoint now, int in_progress);
  ShutdownPhase Phase() const { return m_phase; }

 private:
  const DrainSettings m_settings;
  ShutdownPhase m_phase = ShutdownPhase::kServing;  // Invariant: phases only move forward.
  TimePoint m_begin;                                // Of kNotReady.
  bool m_stop_asked = false;
};

}  // namespace azuregw

#endif  // SRC_SERVE_SHUTDOWN_SEQUENCE_H_
