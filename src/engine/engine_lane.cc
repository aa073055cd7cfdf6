// Steps on their way to one engine.

#include "engine/engine_lane.h"

#include <utility>

#include "engine/engine_json.h"

namespace azuregw {
namespace {

// The reply must answer the step that was sent; a stored result may carry the attempt that ran it.
Result<StepResult> CheckEcho(const StepRequest& request, Result<StepResult> result) {
  if (!result) {
    return result;
  }
  StepResult& value = result.value();
  const bool counted = request.token_count == 0 || request.token_count == value.token_count;
  if (value.sequence != request.sequence || value.first_token != request.first_token || !counted) {
    return Unknown(ResultCode::kUpstreamProtocol, "the engine answered another step");
  }
  value.attempt = request.attempt;
  return result;
}

std::vector<Result<StepResult>> ReadReply(const Result<HttpReply>& reply, size_t count) {
  if (!reply) {
    return std::vector<Result<StepResult>>(count, Result<StepResult>(reply.error()));
  }
  if (reply.value().status != 200) {
    const Error error = Unknown(ResultCode::kUpstreamProtocol,
                                "the engine answered " + std::to_string(reply.value().status));
    return std::vector<Result<StepResult>>(count, Result<StepResult>(error));
  }
  auto results = DecodeStepResults(reply.value().body, count);
  if (!results) {
    return std::vector<Result<StepResult>>(count, Result<StepResult>(results.error()));
  }
  return std::move(results.value());
}

Error StepTimeout(bool was_sent) {
  return was_sent
             ? Unknown(ResultCode::kUpstreamTimeout, "the engine did not answer the step in time")
             : NotRun(ResultCode::kUpstreamTimeout, "the step waited too long to be sent");
}

}  // namespace

EngineLane::EngineLane(std::shared_ptr<HttpTransport> transport, std::shared_ptr<TimerQueue> timers,
                       const StepBatcherOptions& options)
    : m_transport(std::move(transport)), m_timers(std::move(timers)), m_batcher(options) {}

void EngineLane::Add(StepRequest request, StepDone done) {
  if (Queue(std::move(request), done)) {
    Pump();
  } else {
    done(NotRun(ResultCode::kOverloaded, "too many steps wait for the engine"));
  }
}

bool EngineLane::Queue(StepRequest request, const StepDone& done) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const uint64_t id = m_next_id++;
  const auto* fetch = std::get_if<FetchActivations>(&request.input);
  if (!m_batcher.Add(id, request.token_count != 1, fetch == nullptr ? "" : fetch->address)) {
    return false;
  }
  Pending pending;
  const TimePoint at = std::chrono::steady_clock::now() + request.timeout;
  pending.request = std::move(request);
  pending.done = done;
  pending.timer = m_timers->Schedule(at, [weak = weak_from_this(), id] {
    if (const auto lane = weak.lock()) {
      lane->OnTimeout(id);
    }
  });
  m_pending.emplace(id, std::move(pending));
  return true;
}

bool EngineLane::Idle() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_pending.empty() && m_calls.empty();
}

void EngineLane::FailAll() {
  std::vector<Pending> failed;
  std::vector<std::shared_ptr<HttpCallHandle>> handles;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [id, pending] : m_pending) {
      m_timers->Cancel(pending.timer);
      m_batcher.Remove(id);
      failed.push_back(std::move(pending));
    }
    m_pending.clear();
    for (auto& [id, call] : m_calls) {
      handles.push_back(call.handle);
    }
  }
  for (const auto& handle : handles) {
    if (handle != nullptr) {
      handle->Abandon();
    }
  }
  for (const Pending& pending : failed) {
    pending.done(Unknown(ResultCode::kUpstreamTimeout, "the client was stopped"));
  }
}

void EngineLane::Pump() {
  while (StartCall()) {
  }
}

bool EngineLane::StartCall() {
  uint64_t id = 0;
  std::vector<StepRequest> requests;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    StepBatch batch = m_batcher.NextBatch();
    if (batch.steps.empty()) {
      return false;
    }
    id = m_next_id++;
    for (const uint64_t step : batch.steps) {
      Pending& pending = m_pending.at(step);
      pending.call = id;
      requests.push_back(pending.request);
    }
    Call call;
    call.unanswered = batch.steps.size();
    call.batch = std::move(batch);
    m_calls.emplace(id, std::move(call));
  }
  Send(id, std::move(requests));
  return true;
}

void EngineLane::Send(uint64_t call, std::vector<StepRequest> requests) {
  HttpCall http;
  http.method = "POST";
  http.path = "/v1/steps";
  http.content_type = "application/json";
  http.body = EncodeSteps(requests);
  // Holds the lane until the call has ended, so that a removed lane still answers its steps.
  auto handle = m_transport->Call(
      std::move(http), [lane = shared_from_this(), call](const Result<HttpReply>& reply) {
        lane->OnReply(call, reply);
      });
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_calls.find(call);
  if (found != m_calls.end()) {
    found->second.handle = std::move(handle);
  }
}

void EngineLane::OnReply(uint64_t call, const Result<HttpReply>& reply) {
  std::vector<std::pair<Pending, Result<StepResult>>> answered;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
      return;  // Abandoned after the timeout of its last step.
    }
    const StepBatch batch = std::move(found->second.batch);
    const std::vector<uint64_t>& steps = batch.steps;
    std::vector<Result<StepResult>> results = ReadReply(reply, steps.size());
    for (size_t i = 0; i < steps.size(); ++i) {
      const auto pending = m_pending.find(steps[i]);
      if (pending == m_pending.end()) {
        continue;  // Its timeout came first.
      }
      m_timers->Cancel(pending->second.timer);
      answered.emplace_back(std::move(pending->second), std::move(results[i]));
      m_pending.erase(pending);
    }
    m_calls.erase(found);
    m_batcher.OnBatchDone(batch.source);
  }
  for (auto& [pending, result] : answered) {
    pending.done(CheckEcho(pending.request, std::move(result)));
  }
  Pump();
}

void EngineLane::OnTimeout(uint64_t step) {
  StepDone done;
  std::shared_ptr<HttpCallHandle> hung;
  bool was_sent = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_pending.find(step);
    if (found == m_pending.end()) {
      return;
    }
    done = std::move(found->second.done);
    const uint64_t call_id = found->second.call;
    m_pending.erase(found);
    was_sent = !m_batcher.Remove(step);
    const auto call = m_calls.find(call_id);
    // A call all of whose steps are late gives its place to the steps behind it.
    if (call != m_calls.end() && --call->second.unanswered == 0) {
      hung = std::move(call->second.handle);
      m_batcher.OnBatchDone(call->second.batch.source);
      m_calls.erase(call);
    }
  }
  if (hung != nullptr) {
    hung->Abandon();
  }
  done(StepTimeout(was_sent));
  Pump();
}

}  // namespace azuregw
