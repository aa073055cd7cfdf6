// Streams that wait for a path with memory for them.
//
// Decision module: no I/O. Those whose answer can still be in time go first, then the more
// important ones, then the older ones, so that overload does not make every answer late.

#ifndef AZUREGW_ADMISSION_STREAM_QUEUE_H_
#define AZUREGW_ADMISSION_STREAM_QUEUE_H_

#include <deque>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

class StreamWaiter {
 public:
  virtual ~StreamWaiter() = default;
  // Starts the stream if there is a path now; the queue drops it then.
  virtual bool TryStart() = 0;
};

class StreamQueue {
 public:
  struct Entry {
    StreamWaiter* waiter = nullptr;
    TimePoint arrived;
    TimePoint latency_deadline;  // Later starts give late answers.
    int priority = 0;            // 0 first.
  };

  void Enqueue(const Entry& entry) { m_entries.push_back(entry); }
  void Remove(const StreamWaiter* waiter);
  // Starts waiters in order until several in a row find no path.
  void StartEligible(TimePoint now);
  void OnStarted(TimePoint now);

  int Size() const { return static_cast<int>(m_entries.size()); }
  // Streams that started per second, over the last seconds.
  double StartsPerS(TimePoint now);

 private:
  // Smaller requests may fit where larger ones do not, so a few failures do not end the search.
  static constexpr int kFailuresInARow = 4;
  static constexpr Milliseconds kRateWindow{2000};

  std::vector<Entry> m_entries;
  std::deque<TimePoint> m_started;
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_STREAM_QUEUE_H_
