// Graceful shutdown.

#include "serve/shutdown_sequence.h"

namespace azuregw {

void ShutdownSequence::OnDrain(TimePoint now) {
  if (m_phase == ShutdownPhase::kServing) {
    m_phase = ShutdownPhase::kNotReady;
    m_begin = now;
  }
}

void ShutdownSequence::OnStop(TimePoint now) {
  OnDrain(now);
  if (m_stop_asked && m_phase != ShutdownPhase::kFinished) {
    m_phase = ShutdownPhase::kCut;
  }
  m_stop_asked = true;
}

ShutdownPhase ShutdownSequence::OnTick(TimePoint now, int in_progress) {
  if (m_phase == ShutdownPhase::kNotReady && now - m_begin >= m_settings.ready_delay) {
    m_phase = ShutdownPhase::kFinishing;
  } else if (m_phase == ShutdownPhase::kFinishing && in_progress == 0) {
    m_phase = ShutdownPhase::kFinished;
  }
  const bool waits = m_phase == ShutdownPhase::kNotReady || m_phase == ShutdownPhase::kFinishing;
  if (waits && m_settings.limit.count() > 0 && now - m_begin >= m_settings.limit) {
    m_phase = in_progress == 0 ? ShutdownPhase::kFinished : ShutdownPhase::kCut;
  }
  return m_phase;
}

}  // namespace azuregw
