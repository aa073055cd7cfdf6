// Steps on their way to one engine: waiting, in a call, or given up after their timeout.

#ifndef AZUREGW_SRC_ENGINE_ENGINE_LANE_H_
#define AZUREGW_SRC_ENGINE_ENGINE_LANE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/engine/engine_client.h"
#include "azuregw/engine/step_batcher.h"
#include "azuregw/engine/timer_queue.h"
#include "engine/http_transport.h"

namespace azuregw {

// Thread-safe. Callbacks run without a lock held.
class EngineLane : public std::enable_shared_from_this<EngineLane> {
 public:
  using StepDone = EngineClient::Callback<StepResult>;

  EngineLane(std::shared_ptr<HttpTransport> transport, std::shared_ptr<TimerQueue> timers,
             const StepBatcherOptions& options);

  void Add(StepRequest request, StepDone done);

  // Fails every step that has no result yet.
  void FailAll();

  bool Idle() const;

 private:
  struct Pending {
    StepRequest request;
    StepDone done;
    uint64_t timer = 0;
    uint64_t call = 0;  // 0 while the step waits.
  };
  struct Call {
    StepBatch batch;
    size_t unanswered = 0;  // Steps that have neither a result nor a timeout.
    std::shared_ptr<HttpCallHandle> handle;
  };

  // Returns false when too many steps wait.
  bool Queue(StepRequest request, const StepDone& done);
  void Pump();
  bool StartCall();
  void Send(uint64_t call, std::vector<StepRequest> requests);
  void OnReply(uint64_t call, const Result<HttpReply>& reply);
  void OnTimeout(uint64_t step);

  const std::shared_ptr<HttpTransport> m_transport;
  const std::shared_ptr<TimerQueue> m_timers;

  mutable std::mutex m_mutex;
  StepBatcher m_batcher;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, Pending> m_pending;  // Steps whose callback has not run.
  std::unordered_map<uint64_t, Call> m_calls;       // As many as the batcher counts in flight.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_ENGINE_ENGINE_LANE_H_
