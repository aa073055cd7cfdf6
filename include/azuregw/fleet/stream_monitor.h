// Finds engines that stopped or turned slow from the pace of the streams that pass through them.
//
// Decision module: no I/O. It answers the loss of an engine that many streams share: all of them
// fall silent at once while others go on, which tells the engine long before any time-out. Streams
// that are moved within the pause that callers accept lose nothing. When every stream is silent, or
// this process did not run, nothing is concluded.

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

// A stream that can be moved away from engines.
class MonitoredStream {
 public:
  virtual ~MonitoredStream() = default;
  // Leaves an engine that stopped, or else is slow, if it can.
  virtual void RerouteAround(const std::string& engine, bool stopped) = 0;
};

class StreamMonitor {
 public:
  using Key = MonitoredStream*;

  // Between two calls of Tick(). A longer gap means that this process was held up.
  static constexpr Milliseconds kTickInterval{20};

  struct TickResult {
    // Engines whose streams all fell silent while others went on; they may have stopped.
    std::set<std::string> silent;
    // At most how much slower than usual each engine with evidence is; 1 is usual.
    std::map<std::string, double> slowdowns;
  };

  // `step_ms`: time of one token if every engine keeps its usual pace.
  void Begin(Key stream, gsl::span<const std::string> engines, double step_ms, TimePoint now);
  void OnEvent(Key stream, TimePoint now);
  void End(Key stream) { m_streams.erase(stream); }
  TickResult Tick(TimePoint now);
  // The stream through an engine with the longest pauses, if they make it late; else null.
  Key SlowestStreamThrough(const std::string& engine) const;
  // Streams that pass through an engine.
  std::vector<Key> StreamsThrough(const std::string& engine) const;

 private:
  struct Stream {
    std::vector<std::string> engines;
    double step_ms = 0;
    TimePoint last_event;
    int events = 0;
    double gap_ms = 0;  // Moving average of the pauses between events.
  };

  void FindSilent(TimePoint now, TickResult* findings) const;
  void FindSlow(TimePoint now, TickResult* findings);

  std::unordered_map<Key, Stream> m_streams;
  TimePoint m_last_tick;
  double m_usual = 1e9;  // Best pace seen: pause between events over the time of a token.
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_STREAM_MONITOR_H_
