// Decides which waiting steps of one engine travel together in the next call.

#ifndef AZUREGW_ENGINE_STEP_BATCHER_H_
#define AZUREGW_ENGINE_STEP_BATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace azuregw {

struct StepBatcherOptions {
  int max_inflight_batches = 8;
  // Calls that hang on one source leave room for those with other sources.
  int max_inflight_per_source = 4;
  size_t max_batch_steps = 256;
  size_t max_waiting_steps = 4096;
};

struct StepBatch {
  std::vector<uint64_t> steps;
  std::string source;  // Of all steps.
};

// Not thread-safe; the owner serialises calls.
class StepBatcher {
 public:
  explicit StepBatcher(StepBatcherOptions options);

  // Queues a step; `alone` marks a prefill, which shares its call with no other step. Steps of one
  // call have the same `source`, the engine from which they fetch their input or "": an engine
  // answers a call as a whole, so a source that hangs would hold up the steps of all others.
  // Returns false when too many steps wait.
  bool Add(uint64_t step, bool alone, std::string source);

  // Takes a step that waits out of the queue. Returns false when it does not wait.
  bool Remove(uint64_t step);

  // The steps of the next call, in order of arrival, or none when no call may be sent now. The
  // owner reports the end of the call through OnBatchDone.
  StepBatch NextBatch();

  void OnBatchDone(const std::string& source);

  int InFlight() const { return m_inflight; }
  size_t WaitingCount() const { return m_waiting.size(); }

 private:
  struct Waiting {
    uint64_t step;
    bool alone;
    std::string source;
  };

  bool MayStart(const std::string& source) const;

  const StepBatcherOptions m_options;
  std::deque<Waiting> m_waiting;            // In order of arrival.
  std::map<std::string, int> m_per_source;  // Calls in flight; no entry is 0. Without source "".
  int m_inflight = 0;                       // 0 <= m_inflight <= max_inflight_batches.
};

}  // namespace azuregw

#endif  // AZUREGW_ENGINE_STEP_BATCHER_H_
