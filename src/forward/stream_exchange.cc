// The life of a stream: placement, waiting, attempts and answers.

#include "forward/stream_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

// New streams leave this share of an engine's memory free, because answers may be longer than
// expected and an engine without memory preempts its newest request.
constexpr double kMaxLoadNew = 0.95;
// Slow engines get work only if there is no other path, and then little: their queue grows faster
// than their memory fills, and their streams are late.
constexpr double kAnySlowdown = 1e9;
constexpr double kMaxLoadSlow = 0.4;
// Share of the expected answer that is reserved: memory fills as the answer grows.
constexpr double kAnswerShare = 0.7;
// Refusals of engines that are answered by another path.
constexpr int kMaxNotRun = 4;
// Engines accept connections within 2 ms; one behind a partition does not answer.
constexpr Milliseconds kConnectTimeout{150};
// Engines may close idle connections without notice.
constexpr Milliseconds kMaxIdle{1500};
// How long an engine gets no new streams after its connection broke.
constexpr Milliseconds kBrokenFor{1500};
// The same for one that another engine or its own answer named.
constexpr Milliseconds kNamedFor{1000};
// An engine whose streams made progress this lately works, whatever it refuses. News of the others'
// streams are up to two report intervals old.
constexpr Milliseconds kWorkedLately{600};
// A full engine has memory again as soon as one of its streams ends, some 20 times a second.
// The others hear of it some 100 ms later.
constexpr Milliseconds kFullFor{200};
// How long an engine that failed a stream gets no new ones the first time. Short, since engines
// that work fail now and then, too.
constexpr Milliseconds kFailingFor{500};
// A stream is not moved when less time is left.
constexpr Milliseconds kLeastTimeToMove{300};
// Longest wait of a broken stream for a path with memory.
constexpr Milliseconds kResumeWait{1200};
// Largest failure that is kept for the caller.
constexpr size_t kMaxFailureBytes = size_t{1} << 20;

}  // namespace

StreamExchange::StreamExchange(ForwardContext* context, IncomingRequest request,
                               CallerRequest caller, RouteMatch match, CallerResponder* responder)
    : ExchangeBase(context, std::move(request), std::move(caller), std::move(match), responder) {
  const auto service = m_match.config->services.find(m_service);
  if (service != m_match.config->services.end() && service->second.engine) {
    m_profile = &*service->second.engine;
    const double usual = m_profile->usual_answer_tokens;
    const double most = m_caller.max_answer_tokens > 0 ? m_caller.max_answer_tokens : usual;
    const double expected = std::min(most, m_caller.expected_answer_tokens.value_or(usual));
    m_tokens = m_caller.prompt_tokens + kAnswerShare * expected;
  }
}

StreamExchange::~StreamExchange() {
  CloseIfCallerLeft();
  m_context->queue->Remove(this);
  EndAttempt();
}

void StreamExchange::Start() {
  if (m_profile == nullptr) {
    Fail(ResultCode::kNoChain, "the service has no engine profile");
    return;
  }
  StartDeadline();
  if (!TryStart()) {
    WaitForPath();
  }
}

bool StreamExchange::TryStart() {
  PathQuery query = Query();
  query.max_load = m_head_sent ? kMaxLoadResumed : kMaxLoadNew;
  query.max_slowdown = kMaxSlowdown;
  std::optional<EnginePath> path =
      m_context->paths->Choose(*m_context->fleet, query, &m_path_problem);
  if (!path) {
    query.max_slowdown = kAnySlowdown;
    query.max_load = kMaxLoadSlow;
    path = m_context->paths->Choose(*m_context->fleet, query, &m_path_problem);
  }
  if (!path && !m_excluded.empty() && m_path_problem == PathError::kLayersNotCovered) {
    // An engine that refused once is better than none.
    m_excluded.clear();
  }
  if (!path) {
    return false;
  }
  m_wait_timer.reset();
  StartAttempt(std::move(*path));
  return true;
}

bool StreamExchange::OnHead(const HttpResponseHead& head) {
  const int status = static_cast<int>(head.result_int());
  m_answer = m_context->wire->ReadResponse(status, head);
  if (!m_answer.request_id.empty() && m_answer.request_id != m_caller.id) {
    return false;
  }
  m_attempt_status = status;
  m_streaming = status == 200 && m_answer.sealed && !m_answer.not_run;
  m_last_bytes = Now();
  if (!m_head_sent) {
    m_head.status = status;
    m_head.fields = EndToEndFields(head);
    m_head.body.clear();
  }
  return true;
}

void StreamExchange::OnBody(std::string_view bytes) {
  const TimePoint now = Now();
  m_last_bytes = now;
  if (!m_streaming) {
    if (m_head.body.size() + bytes.size() <= kMaxFailureBytes && !m_head_sent) {
      m_head.body.append(bytes);
    }
    return;
  }
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->OnProgress(hop.id, now);
  }
  m_context->monitor->OnEvent(this, now);
  m_scanner.Push(bytes);
  PassOn(m_scanner.TakeCompleteEvents(m_resumed ? ParseEventNumber(m_last_sent_id) : std::nullopt));
}

void StreamExchange::OnDone() {
  if (!m_streaming) {
    OnRefusalOrFailure();
    return;
  }
  if (m_scanner.HasPartialEvent()) {
    OnBroken("the stream ended within an event", m_path.hops.front().id);
    return;
  }
  EndAttempt();
  if (!m_head_sent) {
    m_head_sent = true;
    m_responder->BeginStream(m_head);
  }
  m_context->metrics->ObserveLatency("azuregw_longest_pause_ms", "",
                                     static_cast<double>(m_longest_pause.count()));
  Close(200, "delivered", "last event " + m_last_sent_id.value_or("none"));
  m_responder->EndStream();
  Freed();
}

void StreamExchange::OnFailed(const HttpFailure& failure) {
  const std::string first = m_path.hops.front().id;
  if (!failure.maybe_sent) {
    --m_sends;
    SuspectEngine(first, kBrokenFor, failure.reason);
    EndAttempt();
    LogAttempt("not_sent", failure.reason);
    Again(failure.reason, false);
    return;
  }
  OnBroken(failure.reason, first);
}

void StreamExchange::AddDetails(nlohmann::ordered_json* line) const {
  (*line)["first_event_ms"] = m_first_event.count();
  (*line)["longest_pause_ms"] = m_longest_pause.count();
  (*line)["path_changes"] = m_repaths;
  (*line)["queued"] = m_context->queue->Size();
  (*line)["starts_per_s"] = m_context->queue->StartsPerS(Now());
  (*line)["load_of_others_known"] = m_context->assumed_instances == 0;
}

PathQuery StreamExchange::Query() const {
  PathQuery query;
  query.service = m_service;
  query.profile = m_profile;
  query.tokens = m_tokens;
  query.failure_domain = m_context->settings.failure_domain;
  query.excluded = m_excluded;
  query.now = Now();
  query.assumed_instances = m_context->assumed_instances;
  query.cost_jitter = PathCostJitter(m_context->instances, m_context->assumed_instances == 0);
  return query;
}

void StreamExchange::StartAttempt(EnginePath path) {
  m_path = std::move(path);
  m_streaming = false;
  m_scanner.Clear();
  m_examinations = 0;
  m_resumed = m_head_sent;
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->Reserve(hop.id, Reservation(hop));
  }
  const PathHop& first = m_path.hops.front();
  nlohmann::ordered_json hops = nlohmann::ordered_json::array();
  for (const PathHop& hop : m_path.hops) {
    hops.push_back(hop.id + "=" + std::to_string(hop.layers.first) + "-" +
                   std::to_string(hop.layers.last));
  }
  m_context->log->Write("stream_attempt",
                        {{"request_id", m_caller.id},
                         {"path", std::move(hops)},
                         {"peak_load", m_path.peak_load},
                         {"cost_ms", m_path.cost_ms},
                         {"tokens", m_tokens},
                         {"resume_after", m_last_sent_id.value_or("")},
                         {"sends", m_sends},
                         {"queued", m_context->queue->Size()}},
                        m_sends > 0);
  HttpCallOptions options;
  // The path comes from the fleet as it is now, so the engine is listed.
  options.endpoint = *UpstreamEndpoint(*m_context->fleet, first.id);
  options.connect_timeout = kConnectTimeout;
  options.max_idle = MayRetry() ? kMaxIdle : Milliseconds(0);
  ++m_sends;
  m_context->queue->OnStarted(Now());
  m_attempt_started = Now();
  m_last_bytes = m_attempt_started;
  m_attempting = true;
  m_call = m_context->client->Start(
      options, ForwardedMessage(first.id, m_path.hops, m_resumed ? m_last_sent_id : std::nullopt),
      this);
  BeginMonitoring();
  WatchSilence();
}

void StreamExchange::BeginMonitoring() {
  std::vector<std::string> engines;
  for (const PathHop& hop : m_path.hops) {
    engines.push_back(hop.id);
  }
  m_context->monitor->Begin(this, engines, m_path.step_ms, Now());
}

bool StreamExchange::MayResend() const {
  // Whoever asks ends a running attempt, so the resume must not fail for want of budget.
  return MayRetry() && m_sends < Route().max_attempts && TimeLeft() >= kLeastTimeToMove &&
         m_context->budget->Allows(m_service, Now());
}

double StreamExchange::Reservation(const PathHop& hop) const {
  return m_tokens * (hop.layers.last - hop.layers.first);
}

void StreamExchange::EndAttempt() {
  if (!m_attempting) {
    return;
  }
  m_attempting = false;
  m_moving = false;
  ++m_generation;
  m_context->monitor->End(this);
  m_silence_timer.reset();
  m_call->Cancel();
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->Release(hop.id, Reservation(hop));
  }
}

void StreamExchange::PassOn(const std::string& events) {
  if (events.empty()) {
    return;
  }
  const TimePoint now = Now();
  if (!m_head_sent) {
    WatchSilence();  // From now on, a shorter silence is too long.
    m_head_sent = true;
    m_first_event = std::chrono::duration_cast<Milliseconds>(now - m_request.arrived);
    m_context->metrics->ObserveLatency("azuregw_first_event_ms", "",
                                       static_cast<double>(m_first_event.count()));
    m_responder->BeginStream(m_head);
  } else {
    m_longest_pause =
        std::max(m_longest_pause, std::chrono::duration_cast<Milliseconds>(now - m_last_passed_on));
  }
  m_last_passed_on = now;
  if (m_scanner.LastId()) {
    m_last_sent_id = m_scanner.LastId();
  }
  m_responder->SendChunk(events);
}

void StreamExchange::OnRefusalOrFailure() {
  const int status = m_attempt_status;
  const std::string first = m_path.hops.front().id;
  const std::string reason = "status " + std::to_string(status);
  EndAttempt();
  if (m_answer.not_run) {
    --m_sends;
    std::string fault = first;
    if (!m_answer.fault_address.empty()) {
      if (const std::string* named = m_context->fleet->FindByAddress(m_answer.fault_address)) {
        fault = *named;
      }
    }
    LogAttempt("not_run", reason + " from " + fault);
    const Upstream* const upstream = m_context->fleet->Find(fault);
    if (upstream != nullptr && Now() - upstream->last_progress < kWorkedLately) {
      // It works, so it is short of memory or gives layers up; its streams need no help.
      m_excluded.insert(fault);
      m_context->fleet->MarkFull(fault, kFullFor, Now());
    } else {
      SuspectEngine(fault, kNamedFor, reason);
    }
    Again("engines refuse work: " + reason, true);
    return;
  }
  if (status >= 500) {
    // What an engine does to requests counts, not what it says of its health.
    SuspectEngine(first, kFailingFor, reason);
  }
  if (!m_head_sent && m_answer.sealed && !PromisesNotRun(status) &&
      (status < 500 || !MayRetry() || m_sends >= Route().max_attempts)) {
    Deliver(std::move(m_head), "the engine answered " + reason);
    return;
  }
  LogAttempt("failed", reason);
  m_excluded.insert(first);
  Again(reason, true);
}

void StreamExchange::OnBroken(const std::string& reason, const std::string& engine) {
  EndAttempt();
  LogAttempt("broken", reason);
  if (!engine.empty()) {
    SuspectEngine(engine, kBrokenFor, reason);
    m_excluded.insert(engine);
  }
  Again(reason, true);
}

void StreamExchange::Again(const std::string& reason, bool counted) {
  const bool proved_not_run = m_sends == 0;
  const bool may =
      proved_not_run ? ++m_not_run <= kMaxNotRun : MayRetry() && m_sends < Route().max_attempts;
  if (!may || TimeLeft() < kLeastTimeToMove ||
      (counted && !m_context->budget->Take(m_service, Now()))) {
    GiveUp(reason);
    return;
  }
  if (!TryStart()) {
    WaitForPath();
  }
  Freed();
}

void StreamExchange::WaitForPath() {
  std::optional<Milliseconds> wait;
  if (m_sends > 0) {
    wait = std::min(kResumeWait, TimeLeft());
  } else if (!m_waited) {
    wait = AllowedWait(WaitInputsNow());
  }
  if (!wait) {
    RefuseForLoad();
    return;
  }
  m_waited = true;
  m_context->queue->Enqueue(
      {this, m_request.arrived, m_request.arrived + Route().target_latency, Priority()});
  m_wait_timer = m_context->loop->After(*wait, [this] {
    m_context->queue->Remove(this);
    if (m_sends > 0) {
      GiveUp("no path to go on");
    } else {
      RefuseForLoad();
    }
  });
}

WaitInputs StreamExchange::WaitInputsNow() const {
  WaitInputs inputs;
  inputs.target_latency = Route().target_latency;
  inputs.time_left = TimeLeft();
  // A first try has nearly the whole time of its route.
  inputs.is_retry =
      Route().timeout.count() > 0 && m_caller.deadline &&
      *m_caller.deadline < Route().timeout - std::min(Route().timeout / 8, Milliseconds(500));
  inputs.queued_ahead = m_context->queue->Size();
  inputs.starts_per_s = m_context->queue->StartsPerS(Now());
  return inputs;
}

int StreamExchange::Priority() const {
  return m_match.workspace != nullptr && m_match.workspace->priority ? *m_match.workspace->priority
                                                                     : Route().priority;
}

void StreamExchange::RefuseForLoad() {
  const bool no_cover = m_path_problem == PathError::kLayersNotCovered;
  const WaitInputs inputs = WaitInputsNow();
  Refuse(
      no_cover ? ResultCode::kNoChain : ResultCode::kOverloaded,
      no_cover ? "the usable engines do not hold all layers" : "no path has memory for the request",
      RetryAfter(inputs, m_context->random->Unit()));
}

void StreamExchange::GiveUp(const std::string& reason) {
  if (Closed()) {
    return;
  }
  if (m_head_sent) {
    Close(200, "broken_off", reason);
    m_responder->AbortStream();
  } else if (m_sends > 0) {
    Fail(ResultCode::kUpstreamProtocol, reason);
  } else {
    Refuse(ResultCode::kOverloaded, reason, RetryAfter(WaitInputsNow(), m_context->random->Unit()));
  }
}

void StreamExchange::OnDeadline() {
  m_context->queue->Remove(this);
  EndAttempt();
  if (m_head_sent) {
    Close(200, "broken_off", "the deadline has passed");
    m_responder->AbortStream();
  } else if (m_sends > 0) {
    Fail(ResultCode::kUpstreamTimeout, "no event before the deadline");
  } else {
    Refuse(ResultCode::kDeadlineUnreachable, "no path was free before the deadline", std::nullopt);
  }
  Freed();
}

void StreamExchange::LogAttempt(const char* outcome, const std::string& reason) {
  const auto took = std::chrono::duration_cast<Milliseconds>(Now() - m_attempt_started);
  m_context->log->Write("attempt_ended",
                        {{"request_id", m_caller.id},
                         {"upstream", m_path.hops.front().id},
                         {"outcome", outcome},
                         {"reason", reason},
                         {"last_event", m_last_sent_id.value_or("")},
                         {"sends", m_sends},
                         {"took_ms", took.count()}},
                        true);
}

std::unique_ptr<ForwardExchange> MakeStreamExchange(ForwardContext* context,
                                                    IncomingRequest request, CallerRequest caller,
                                                    RouteMatch match, CallerResponder* responder) {
  return std::make_unique<StreamExchange>(context, std::move(request), std::move(caller),
                                          std::move(match), responder);
}

}  // namespace azuregw
