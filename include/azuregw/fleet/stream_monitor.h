// Detects unresponsive and slow engines from the event intervals of the streams through them.
//
// Decision module: no I/O. When an engine shared by many streams fails, all of them stall at once
// while other streams progress, which identifies the engine long before any timeout. Streams that
// are rerouted within the pause that callers accept meet their latency target. No engine is
// reported while all streams are stalled or after this process was suspended.

#ifndef AZUREGW_FLEET_STREAM_MONITOR_H_
#define AZUREGW_FLEET_STREAM_MONITOR_H_

#include <gsl/span>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Stream that can be rerouted around an engine.
class MonitoredStream {
 public:
  virtual ~MonitoredStream() = default;
  // Moves the stream to a path without `engine` if possible. `stopped`: the engine is unresponsive;
  // otherwise it is slow.
  virtual void RerouteAround(const std::string& engine, bool stopped) = 0;
};

// Tracks the event intervals of all running streams. Not thread-safe.
class StreamMonitor {
 public:
  using Key = MonitoredStream*;

  // Interval between calls of Tick(). A much longer one means that this process was suspended.
  static constexpr Milliseconds kTickInterval{20};

  // Engines detected by one call of Tick().
  struct TickResult {
    // Engines whose streams all stalled while others progressed; they may be unresponsive.
    std::set<std::string> unresponsive;
    // Upper bound of the slowdown factor of each engine with enough samples; 1 is normal.
    std::map<std::string, double> slowdowns;
  };

  // Starts monitoring a stream through `engines`. `step_ms`: time of one token with every engine at
  // its normal pace.
  void Begin(Key stream, gsl::span<const std::string> engines, double step_ms, TimePoint now);
  // Records a response event of the stream.
  void OnEvent(Key stream, TimePoint now);
  // Stops monitoring the stream.
  void End(Key stream) { m_streams.erase(stream); }
  // Checks all streams; called every kTickInterval.
  TickResult Tick(TimePoint now);
  // Returns the stream through `engine` with the longest average event interval if that exceeds the
  // latency target, or null.
  Key SlowestStreamThrough(const std::string& engine) const;
  // Returns the streams through `engine`.
  std::vector<Key> StreamsThrough(const std::string& engine) const;

 private:
  // Event statistics of a monitored stream.
  struct Stream {
    std::vector<std::string> engines;
    double step_ms = 0;
    TimePoint last_event;
    int events = 0;
    double interval_ms = 0;  // Moving average of the event interval.
  };

  // Adds the engines that explain the stalled streams.
  void FindStalled(TimePoint now, TickResult* result) const;
  // Adds the slowdown factors of all engines with enough samples.
  void FindSlow(TimePoint now, TickResult* result);

  std::unordered_map<Key, Stream> m_streams;
  TimePoint m_last_tick;
  double m_baseline_ratio = 1e9;  // Best observed ratio of event interval to `step_ms`.
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_STREAM_MONITOR_H_
