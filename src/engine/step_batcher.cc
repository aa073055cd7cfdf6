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

bool StepBatcher::MayStart(const std::string& source) const {
  const auto found = m_per_source.find(source);
  return found == m_per_source.end() || found->second < m_options.max_inflight_per_source;
}

StepBatch StepBatcher::NextBatch() {
  StepBatch batch;
  if (m_inflight >= m_options.max_inflight_batches) {
    return batch;
  }
  const auto first = std::find_if(m_waiting.begin(), m_waiting.end(),
                                  [this](const Waiting& step) { return MayStart(step.source); });
  if (first == m_waiting.end()) {
    return batch;
  }
  ++m_inflight;
  batch.source = first->source;
  if (!batch.source.empty()) {
    ++m_per_source[batch.source];
  }
  if (first->alone) {
    batch.steps.push_back(first->step);
    m_waiting.erase(first);
    return batch;
  }
  // Decode steps behind a waiting prefill join this call; the prefill then stands before the rest.
  std::deque<Waiting> rest;
  for (Waiting& waiting : m_waiting) {
    const bool joins = !waiting.alone && waiting.source == batch.source;
    if (joins && batch.steps.size() < m_options.max_batch_steps) {
      batch.steps.push_back(waiting.step);
    } else {
      rest.push_back(std::move(waiting));
    }
  }
  m_waiting.swap(rest);
  return batch;
}

void StepBatcher::OnBatchDone(const std::string& source) {
  assert(m_inflight > 0);
  --m_inflight;
  const auto found = m_per_source.find(source);
  if (found != m_per_source.end() && --found->second == 0) {
    m_per_source.erase(found);
  }
}

}  // namespace azuregw
