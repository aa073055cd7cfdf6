// Batching of steps per engine.

#include "azuregw/engine/step_batcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace azuregw {

StepBatcher::StepBatcher(StepBatcherOptions options) : m_options(options) {}

bool StepBatcher::Add(uint64_t step, bool alone, std::string source) {
  if (m_waiting.size() >= m_options.max_waiting_steps) {
    return false;
  }
  m_waiting.push_back({step, alone, std::move(source)});
  return true;
}

bool StepBatcher::Remove(uint64_t step) {
  const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                  [step](const Waiting& waiting) { return waiting.step == step; });
  if (found == m_waiting.end()) {
    return false;
  }
  m_waiting.erase(found);
  return true;
}

std::vector<uint64_t> StepBatcher::NextBatch() {
  std::vector<uint64_t> batch;
  if (m_waiting.empty() || m_inflight >= m_options.max_inflight_batches) {
    return batch;
  }
  ++m_inflight;
  if (m_waiting.front().alone) {
    batch.push_back(m_waiting.front().step);
    m_waiting.pop_front();
    return batch;
  }
  // Decode steps behind a waiting prefill join this call; the prefill then stands at the front.
  const std::string source = m_waiting.front().source;
  std::deque<Waiting> rest;
  for (Waiting& waiting : m_waiting) {
    const bool joins = !waiting.alone && waiting.source == source;
    if (joins && batch.size() < m_options.max_batch_steps) {
      batch.push_back(waiting.step);
    } else {
      rest.push_back(std::move(waiting));
    }
  }
  m_waiting.swap(rest);
  return batch;
}

void StepBatcher::OnBatchDone() {
  assert(m_inflight > 0);
  --m_inflight;
}

}  // namespace azuregw
