// Detects stalled and slow engines from the event intervals of streams.

#include "azuregw/fleet/stream_monitor.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

// Longest tick interval that allows conclusions. After a longer one this process was suspended, and
// the stalls are its own.
constexpr Milliseconds kMaxTickInterval{120};
// A stream is stalled after the larger of this time without an event and a multiple of its average
// event interval. Typical intervals are 30 to 60 ms, and one above 200 ms misses the latency
// target.
constexpr double kStallThresholdMs = 80;
constexpr double kStallIntervalFactor = 2.0;
// An engine is active if one of its streams had an event within this time.
constexpr Milliseconds kProgressWindow{60};
// Minimum number of stalled streams of an unresponsive engine; a single one may be a preempted
// request.
constexpr int kMinStalledStreams = 2;
// Minimum number of active streams, which show that the local network works.
constexpr int kMinActiveStreams = 2;
// Weight of the newest interval in the moving average.
constexpr double kIntervalWeight = 0.3;
// Minimum number of events of a stream before its pace is used.
constexpr int kMinEvents = 3;
// Minimum number of streams to estimate the normal pace.
constexpr size_t kMinStreams = 5;
// Upper limit of reported slowdown factors.
constexpr double kMaxSlowdown = 20;
// Growth of the baseline ratio per tick, 1 % per second, so that it follows a lasting change of the
// workload.
constexpr double kBaselineGrowth = 1.0002;
// Average event interval above which a stream misses the latency target.
constexpr double kLateIntervalMs = 220;

// Returns the time from `last` to `now` in ms.
double ElapsedMs(TimePoint now, TimePoint last) {
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
  const double interval = ElapsedMs(now, entry.last_event);
  if (entry.events > 0) {  // The time to the first event includes the prefill.
    entry.interval_ms =
        entry.events == 1 ? interval
                          : (1 - kIntervalWeight) * entry.interval_ms + kIntervalWeight * interval;
  }
  ++entry.events;
  entry.last_event = now;
}

StreamMonitor::TickResult StreamMonitor::Tick(TimePoint now) {
  TickResult result;
  if (now - m_last_tick > kMaxTickInterval) {
    for (auto& [key, stream] : m_streams) {
      stream.last_event = std::max(stream.last_event, now);
    }
  } else {
    FindStalled(now, &result);
    FindSlow(now, &result);
  }
  m_last_tick = now;
  return result;
}

void StreamMonitor::FindStalled(TimePoint now, TickResult* result) const {
  std::map<std::string, int> stalled;
  std::set<std::string> active;
  std::vector<const Stream*> stalled_streams;
  int active_streams = 0;
  for (const auto& [key, stream] : m_streams) {
    if (stream.events == 0) {
      continue;
    }
    const double elapsed = ElapsedMs(now, stream.last_event);
    if (elapsed <= static_cast<double>(kProgressWindow.count())) {
      ++active_streams;
      active.insert(stream.engines.begin(), stream.engines.end());
    } else if (elapsed > std::max(kStallThresholdMs, kStallIntervalFactor * stream.interval_ms)) {
      stalled_streams.push_back(&stream);
      for (const std::string& engine : stream.engines) {
        ++stalled[engine];
      }
    }
  }
  if (active_streams < kMinActiveStreams) {
    return;
  }
  for (const Stream* stream : stalled_streams) {
    // Of the engines without an active stream, the one with the most stalled streams is the likely
    // cause.
    int max_stalled = kMinStalledStreams;
    std::set<std::string> causes;
    for (const std::string& engine : stream->engines) {
      if (active.count(engine) > 0 || stalled[engine] < max_stalled) {
        continue;
      }
      if (stalled[engine] > max_stalled) {
        max_stalled = stalled[engine];
        causes.clear();
      }
      causes.insert(engine);
    }
    result->unresponsive.insert(causes.begin(), causes.end());
  }
}

StreamMonitor::Key StreamMonitor::SlowestStreamThrough(const std::string& engine) const {
  Key slowest = nullptr;
  double longest = kLateIntervalMs;
  for (const auto& [key, stream] : m_streams) {
    if (stream.interval_ms > longest &&
        std::find(stream.engines.begin(), stream.engines.end(), engine) != stream.engines.end()) {
      longest = stream.interval_ms;
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

void StreamMonitor::FindSlow(TimePoint now, TickResult* result) {
  std::vector<double> ratios;
  std::vector<std::pair<Key, const Stream*>> measured;
  std::unordered_map<Key, double> ratio_by_stream;
  for (const auto& [key, stream] : m_streams) {
    if (stream.events < kMinEvents) {
      continue;
    }
    const double interval = std::max(stream.interval_ms, ElapsedMs(now, stream.last_event));
    measured.emplace_back(key, &stream);
    ratio_by_stream[key] = interval / stream.step_ms;
    ratios.push_back(interval / stream.step_ms);
  }
  if (ratios.size() < kMinStreams) {
    return;
  }
  // The fastest quartile is taken as normal, because half of the engines may be slow. The best
  // observed ratio is kept for the case that most paths contain a slow engine.
  const size_t quarter = ratios.size() / 4;
  std::nth_element(ratios.begin(), ratios.begin() + static_cast<std::ptrdiff_t>(quarter),
                   ratios.end());
  m_baseline_ratio = std::min(std::max(1e-3, ratios[quarter]), m_baseline_ratio * kBaselineGrowth);
  const double baseline_ratio = m_baseline_ratio;
  // The fastest stream through an engine bounds the engine's slowdown.
  for (const auto& [key, stream] : measured) {
    const double slowdown =
        std::min(kMaxSlowdown, std::max(1.0, ratio_by_stream[key] / baseline_ratio));
    for (const std::string& engine : stream->engines) {
      const auto found = result->slowdowns.emplace(engine, slowdown).first;
      found->second = std::min(found->second, slowdown);
    }
  }
}

}  // namespace azuregw
