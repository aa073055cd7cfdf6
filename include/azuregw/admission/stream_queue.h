// Queue of streams that wait for a path with enough free memory.
//
// Decision module without I/O.

#ifndef AZUREGW_ADMISSION_STREAM_QUEUE_H_
#define AZUREGW_ADMISSION_STREAM_QUEUE_H_

#include <deque>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// A stream that can wait in a StreamQueue.
class StreamWaiter {
 public:
  virtual ~StreamWaiter() = default;
  // Starts the stream if a path is available and returns whether it did. The queue then removes it.
  virtual bool TryStart() = 0;
};

// Starts streams that can still meet their latency target first, then by priority, then in order of
// arrival. Serving late streams last keeps an overload from making every response late. Not
// thread-safe.
class StreamQueue {
 public:
  struct Entry {
    StreamWaiter* waiter = nullptr;  // Must outlive the entry.
    TimePoint arrived;
    TimePoint latency_deadline;  // Time after which the latency target is missed.
    int priority = 0;            // 0 is the highest.
  };

  // Adds a stream.
  void Enqueue(const Entry& entry) { m_entries.push_back(entry); }
  // Removes a stream; does nothing if it is not queued.
  void Remove(const StreamWaiter* waiter);
  // Starts streams in order until kMaxConsecutiveFailures in a row find no path.
  void StartEligible(TimePoint now);
  // Records the start of a stream, queued or not, for the start rate.
  void OnStarted(TimePoint now);

  // Returns the number of queued streams.
  int Size() const { return static_cast<int>(m_entries.size()); }
  // Returns the number of streams started per second, over the last kRateWindow.
  double StartsPerS(TimePoint now);

 private:
  // More than 1, because a smaller request may fit where a larger one does not.
  static constexpr int kMaxConsecutiveFailures = 4;
  static constexpr Milliseconds kRateWindow{2000};

  std::vector<Entry> m_entries;
  std::deque<TimePoint> m_start_times;  // Starts within the last kRateWindow.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_STREAM_QUEUE_H_
