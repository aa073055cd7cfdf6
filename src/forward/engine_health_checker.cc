// Questions to suspicious engines.

#include "forward/engine_health_checker.h"

namespace azuregw {
namespace {

// New streams avoid an engine that stopped for this long, then try it again.
constexpr Milliseconds kStoppedFor{1500};
// An engine that works answers within about 5 ms; streams have to move within 200 ms of silence.
constexpr Milliseconds kAskLimit{40};
constexpr Milliseconds kAskAgain{150};
// Engines whose streams are all this much slower than usual are asked for their pace.
constexpr double kAskPaceAt = 2.0;
constexpr Milliseconds kAskPaceAgain{700};
// A stream leaves an engine that says it is slower than this, if its pauses make it late.
constexpr double kSlowPace = 2.5;

}  // namespace

void EngineHealthChecker::Start() {
  m_timer = m_loop->After(StreamMonitor::kTickInterval, [this] {
    Tick();
    Start();
  });
}

void EngineHealthChecker::Tick() {
  const TimePoint now = m_loop->Now();
  const StreamMonitor::TickResult findings = m_monitor->Tick(now);
  for (const auto& [id, slowdown] : findings.slowdowns) {
    if (slowdown > kAskPaceAt) {
      AskPace(id, now);
    }
  }
  LeaveSlow(now);
  for (const std::string& id : findings.silent) {
    AskSilent(id, now);
  }
}

void EngineHealthChecker::AskSilent(const std::string& id, TimePoint now) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr) {
    return;
  }
  if (now < upstream->stopped_until) {
    LeaveStopped(id);  // Another instance has asked.
    return;
  }
  TimePoint& asked = m_asked_silent[id];
  if (now - asked < kAskAgain) {
    return;
  }
  asked = now;
  m_engines->QueryReport(
      upstream->record.address, kAskLimit, [this, id](const Result<EngineReport>& report) {
        if (report) {
          return;
        }
        m_fleet->MarkStopped(id, kStoppedFor, m_loop->Now());
        m_log->Write("upstream_suspect",
                     {{"upstream", id},
                      {"reason", "its streams are silent: " + report.error().message},
                      {"for_ms", kStoppedFor.count()}},
                     true);
        LeaveStopped(id);
      });
}

void EngineHealthChecker::AskPace(const std::string& id, TimePoint now) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr || now < upstream->slowdown_until) {
    return;
  }
  TimePoint& asked = m_asked_pace[id];
  if (now - asked < kAskPaceAgain) {
    return;
  }
  asked = now;
  m_engines->QueryReport(
      upstream->record.address, EngineControl::kReportTimeLimit,
      [this, id](const Result<EngineReport>& report) {
        if (!report) {
          return;  // Its streams tell whether it stopped.
        }
        const double pace = report.value().pace;
        if (pace > kSlowPace) {
          m_log->Write("upstream_slow", {{"upstream", id}, {"pace", pace}}, false);
        }
        m_fleet->OnPace(id, pace, m_loop->Now());
      });
}

void EngineHealthChecker::LeaveStopped(const std::string& id) {
  for (MonitoredStream* stream : m_monitor->StreamsThrough(id)) {
    stream->RerouteAround(id, true);
  }
}

void EngineHealthChecker::LeaveSlow(TimePoint now) {
  for (const auto& [id, upstream] : m_fleet->All()) {
    if (now < upstream.slowdown_until && upstream.slowdown > kSlowPace) {
      if (MonitoredStream* const stream = m_monitor->SlowestStreamThrough(id)) {
        stream->RerouteAround(id, false);
        return;
      }
    }
  }
}

}  // namespace azuregw
