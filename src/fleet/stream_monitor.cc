// Pace of streams.

#include "azuregw/fleet/stream_monitor.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

// A longer time between two ticks means that this process did not run: its silence is its own.
constexpr Milliseconds kHeldUp{120};
// A stream is silent after this pause, or after this multiple of its usual one if that is longer.
// Usual pauses are 30 to 60 ms, and a pause over 200 ms makes an answer late.
constexpr double kSilentMs = 80;
constexpr double kSilentFactor = 2.0;
// An engine works if one of its streams had an event this lately.
constexpr Milliseconds kProgress{60};
// One silent stream may be one preempted request.
constexpr int kLeastSilent = 2;
// Other streams that must have gone on, to know that the network here works.
constexpr int kLeastWorking = 2;
// Weight of the newest pause in the average.
constexpr double kGapWeight = 0.3;
constexpr int kLeastEvents = 3;
// Streams needed to know the usual pace.
constexpr size_t kLeastStreams = 5;
// More is not told apart.
constexpr double kMostSlowdown = 20;
// Growth of the remembered pace per tick, 1 % a second: it follows a lasting change of the work.
constexpr double kUsualGrowth = 1.0002;
// A stream with longer pauses is late.
constexpr double kLateMs = 220;

double PauseMs(TimePoint now, TimePoint last) {
  return std::chrono::duration<double, std::milli>(now - last).count();
}

}  // namespace

void StreamMonitor::Begin(Key stream, gsl::span<const std::string> engines, double step_ms,
                          TimePoint now) {
  Stream& entry = m_streams[stream];
  entry = Stream();
  entry.engines.assign(engines.begin(), engines.end());
  entry.step_ms = std::max(0.1, step_ms);
  entry.last_event = now;
}

void StreamMonitor::OnEvent(Key stream, TimePoint now) {
  const auto found = m_streams.find(stream);
  if (found == m_streams.end()) {
    return;
  }
  Stream& entry = found->second;
  const double gap = PauseMs(now, entry.last_event);
  if (entry.events > 0) {  // Before the first event, the prompt is read.
    entry.gap_ms = entry.events == 1 ? gap : (1 - kGapWeight) * entry.gap_ms + kGapWeight * gap;
  }
  ++entry.events;
  entry.last_event = now;
}

StreamMonitor::TickResult StreamMonitor::Tick(TimePoint now) {
  TickResult findings;
  if (now - m_last_tick > kHeldUp) {
    for (auto& [key, stream] : m_streams) {
      stream.last_event = std::max(stream.last_event, now);
    }
  } else {
    FindSilent(now, &findings);
    FindSlow(now, &findings);
  }
  m_last_tick = now;
  return findings;
}

void StreamMonitor::FindSilent(TimePoint now, TickResult* findings) const {
  std::map<std::string, int> silent;
  std::set<std::string> working;
  std::vector<const Stream*> silent_streams;
  int working_streams = 0;
  for (const auto& [key, stream] : m_streams) {
    if (stream.events == 0) {
      continue;
    }
    const double pause = PauseMs(now, stream.last_event);
    if (pause <= static_cast<double>(kProgress.count())) {
      ++working_streams;
      working.insert(stream.engines.begin(), stream.engines.end());
    } else if (pause > std::max(kSilentMs, kSilentFactor * stream.gap_ms)) {
      silent_streams.push_back(&stream);
      for (const std::string& engine : stream.engines) {
        ++silent[engine];
      }
    }
  }
  if (working_streams < kLeastWorking) {
    return;
  }
  for (const Stream* stream : silent_streams) {
    // The engine that explains most silent streams is the likely cause of this one.
    int most = kLeastSilent;
    std::set<std::string> causes;
    for (const std::string& engine : stream->engines) {
      if (working.count(engine) > 0 || silent[engine] < most) {
        continue;
      }
      if (silent[engine] > most) {
        most = silent[engine];
        causes.clear();
      }
      causes.insert(engine);
    }
    findings->silent.insert(causes.begin(), causes.end());
  }
}

StreamMonitor::Key StreamMonitor::SlowestStreamThrough(const std::string& engine) const {
  Key slowest = nullptr;
  double longest = kLateMs;
  for (const auto& [key, stream] : m_streams) {
    if (stream.gap_ms > longest &&
        std::find(stream.engines.begin(), stream.engines.end(), engine) != stream.engines.end()) {
      longest = stream.gap_ms;
      slowest = key;
    }
  }
  return slowest;
}

std::vector<StreamMonitor::Key> StreamMonitor::StreamsThrough(const std::string& engine) const {
  std::vector<Key> keys;
  for (const auto& [key, stream] : m_streams) {
    if (std::find(stream.engines.begin(), stream.engines.end(), engine) != stream.engines.end()) {
      keys.push_back(key);
    }
  }
  return keys;
}

void StreamMonitor::FindSlow(TimePoint now, TickResult* findings) {
  std::vector<double> ratios;
  std::vector<std::pair<Key, const Stream*>> paced;
  std::unordered_map<Key, double> ratio_of;
  for (const auto& [key, stream] : m_streams) {
    if (stream.events < kLeastEvents) {
      continue;
    }
    const double gap = std::max(stream.gap_ms, PauseMs(now, stream.last_event));
    paced.emplace_back(key, &stream);
    ratio_of[key] = gap / stream.step_ms;
    ratios.push_back(gap / stream.step_ms);
  }
  if (ratios.size() < kLeastStreams) {
    return;
  }
  // The quarter with the best pace is taken as usual, since half of the engines may be slow. The
  // best pace seen is remembered for the time when most paths have a slow engine.
  const size_t quarter = ratios.size() / 4;
  std::nth_element(ratios.begin(), ratios.begin() + static_cast<std::ptrdiff_t>(quarter),
                   ratios.end());
  m_usual = std::min(std::max(1e-3, ratios[quarter]), m_usual * kUsualGrowth);
  const double usual = m_usual;
  // An engine is at most as slow as its fastest stream.
  for (const auto& [key, stream] : paced) {
    const double slowdown = std::min(kMostSlowdown, std::max(1.0, ratio_of[key] / usual));
    for (const std::string& engine : stream->engines) {
      const auto found = findings->slowdowns.emplace(engine, slowdown).first;
      found->second = std::min(found->second, slowdown);
    }
  }
}

}  // namespace azuregw
