// Path selection, queueing, attempts and responses of a streamed exchange.

#include "forward/stream_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "azuregw/forward/transfer_limits.h"

namespace azuregw {
namespace {

// Load limit of engines for new streams. The rest of the memory stays free, because responses may
// be longer than expected and an engine without memory preempts its newest request.
constexpr double kMaxLoadNew = 0.95;
// Utilization limit of links between failure domains for new streams. Above it the queueing delay
// of the link exceeds the pause that callers accept.
constexpr double kMaxLinkLoadNew = 0.7;
// Used with kMaxLoadSlow if there is no path without slow engines. Slow engines get little load:
// their queue grows faster than their memory fills, and their streams are late.
constexpr double kAnySlowdown = 1e9;
constexpr double kMaxLoadSlow = 0.4;
// Share of the expected response that is reserved. Less than 1, since memory fills as the response
// grows.
constexpr double kReservedAnswerShare = 0.7;
// Limit of retries of a request that provably did not run.
constexpr int kMaxRefusals = 4;
// Engines accept connections within 2 ms; one behind a network partition does not respond.
constexpr Milliseconds kConnectTimeout{150};
// Longest idle time of a reused connection. Engines may close idle connections without notice.
constexpr Milliseconds kMaxConnectionIdle{1500};
// Time for which an engine is suspect after its connection broke.
constexpr Milliseconds kBrokenSuspectTime{1500};
// Time for which an engine is suspect after it refused a request or a refusal named it as the
// cause.
constexpr Milliseconds kRefusalSuspectTime{1000};
// An engine whose streams made progress within this window is healthy even if it refuses requests.
// Progress reported by other instances is up to two report intervals old.
constexpr Milliseconds kRecentProgressWindow{600};
// Time for which an engine counts as full. It has memory again when one of its streams ends, about
// 20 times per second; the other instances learn of it about 100 ms later.
constexpr Milliseconds kFullDuration{200};
// Initial time for which an engine is suspect after an error response. Short, since healthy engines
// also fail occasionally.
constexpr Milliseconds kErrorSuspectTime{500};
// A stream is not retried when less time is left before its deadline.
constexpr Milliseconds kMinTimeToRetry{300};
// Longest time for which a broken stream waits for a path with memory.
constexpr Milliseconds kMaxResumeWait{1200};
// Jitter of the time to come back when engines want requests again, as a share of it.
constexpr double kOpenDelayJitter = 0.1;

}  // namespace

StreamExchange::StreamExchange(ForwardContext* context, IncomingRequest request,
                               CallerRequest caller, RouteMatch match, CallerResponder* responder)
    : ExchangeBase(context, std::move(request), std::move(caller), std::move(match), responder) {
  for (const std::string& part : m_caller.shared_parts) {
    m_parts.push_back(MakePartId(m_service, part));
  }
  m_parts.push_back(RequestPart());
  const auto service = m_match.config->services.find(m_service);
  if (service != m_match.config->services.end() && service->second.engine) {
    m_profile = &*service->second.engine;
    const double usual_tokens = m_profile->usual_answer_tokens;
    const double max_tokens =
        m_caller.max_answer_tokens > 0 ? m_caller.max_answer_tokens : usual_tokens;
    const double expected_tokens =
        std::min(max_tokens, m_caller.expected_answer_tokens.value_or(usual_tokens));
    m_reserved_tokens = m_caller.prompt_tokens + kReservedAnswerShare * expected_tokens;
  }
}

StreamExchange::~StreamExchange() {
  CloseIfCallerGone();
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
  if (const auto block = m_context->quarantine->Check(m_parts, m_crashed, Now())) {
    EndBlocked(*block);
    return true;
  }
  PathQuery query = BuildPathQuery();
  query.max_load = m_head_sent ? kMaxLoadResumed : kMaxLoadNew;
  query.max_link_load = m_head_sent ? kMaxLinkLoadResumed : kMaxLinkLoadNew;
  query.max_slowdown = kMaxSlowdown;
  std::optional<EnginePath> path =
      m_context->paths->Choose(*m_context->fleet, query, &m_path_error);
  if (!path) {
    query.max_slowdown = kAnySlowdown;
    query.max_load = kMaxLoadSlow;
    path = m_context->paths->Choose(*m_context->fleet, query, &m_path_error);
  }
  if (!path && m_path_error == PathError::kLayersNotCovered) {
    // Doubtful engines are better than no path: all holders of some layers may be under suspicion,
    // for example because they lose a part of their responses.
    query.allow_suspects = true;
    path = m_context->paths->Choose(*m_context->fleet, query, &m_path_error);
  }
  if (!path) {
    if (!m_excluded_engines.empty()) {
      // The engines that refused this request may have memory at the next try.
      m_excluded_engines.clear();
      m_path_error = PathError::kNoCapacity;
    }
    return false;
  }
  m_wait_timer.reset();
  StartAttempt(std::move(*path));
  return true;
}

bool StreamExchange::OnHead(const HttpResponseHead& head) {
  const int status = static_cast<int>(head.result_int());
  m_response_info = m_context->wire->ReadResponse(status, head);
  // A response without an ID may have been written again for an earlier request.
  const std::string& id = m_response_info.request_id;
  if (id.empty() ? m_call->Reused() : id != m_caller.id) {
    return false;
  }
  RecordStatements(m_path.hops.front().id, m_response_info, m_attempt_started);
  m_attempt_status = status;
  m_framed = head.count(boost::beast::http::field::transfer_encoding) > 0 ||
             head.count(boost::beast::http::field::content_length) > 0;
  m_streaming = status == 200 && m_response_info.sealed && !m_response_info.not_run;
  m_last_bytes = Now();
  if (!m_head_sent) {
    m_response.status = status;
    m_response.fields = EndToEndFields(head);
    m_response.body.clear();
  }
  return true;
}

void StreamExchange::OnBody(std::string_view bytes) {
  const TimePoint now = Now();
  if (!m_streaming) {
    m_last_bytes = now;
    m_error_body_bytes += bytes.size();
    if (m_error_body_bytes > kMaxErrorResponseBytes) {
      RejectBytes("error_response", "the error response is too large");
    } else if (!m_head_sent) {
      m_response.body.append(bytes);
    }
    return;
  }
  const size_t pending = m_scanner.PendingBytes();
  m_scanner.Push(bytes);
  const std::string events =
      m_scanner.TakeCompleteEvents(m_resumed ? ParseEventNumber(m_last_sent_id) : std::nullopt);
  if (m_scanner.Invalid()) {
    // The complete events before it count.
    ForwardEvents(events);
    RejectBytes("event_id", "an event ID is invalid");
    return;
  }
  if (m_scanner.PendingBytes() == pending + bytes.size()) {
    // Bytes that complete no event are no progress; the engine may send them without end.
    if (m_scanner.PendingBytes() > kMaxEventBytes) {
      RejectBytes("event", "an event is too large");
    }
    return;
  }
  m_last_bytes = now;
  if (m_scanner.Events() >= PromptQuarantine::kProofEvents) {
    RecordAnswer();
  }
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->OnProgress(hop.id, now);
  }
  m_context->monitor->OnEvent(this, now);
  ForwardEvents(events);
}

void StreamExchange::RejectBytes(std::string_view limit, const std::string& reason) {
  const std::string first = m_path.hops.front().id;
  m_context->peer_faults->OnRejected(PeerKind::kUpstream, first, limit, reason);
  // A caller that left with the events before has ended the attempt.
  if (!Closed() && m_attempt_active) {
    OnAttemptBroken(reason, first);
  }
}

void StreamExchange::OnDone() {
  if (!m_streaming) {
    OnNonStreamResponse();
    return;
  }
  if (m_scanner.HasPartialEvent()) {
    OnConnectionEnded("the stream ended within an event");
    return;
  }
  if (m_framed) {
    CompleteStream();
    return;
  }
  if (m_scanner.Events() == 0) {
    OnConnectionEnded("the connection ended without an event");
    return;
  }
  EndAttempt();
  m_context->exits->CheckWhole(m_process, [this, alive = std::weak_ptr<int>(m_alive)](bool whole) {
    if (alive.expired() || Closed()) {
      return;
    }
    if (whole) {
      CompleteStream();
    } else {
      OnConnectionEnded("the stream without an end is not proved whole");
    }
  });
}

void StreamExchange::CompleteStream() {
  RecordAnswer();
  EndAttempt();
  if (!m_head_sent) {
    m_head_sent = true;
    m_responder->BeginStream(m_response, std::nullopt);
  }
  m_context->metrics->ObserveLatency("azuregw_longest_pause_ms", "",
                                     static_cast<double>(m_longest_pause.count()));
  Close(200, "delivered", "last event " + m_last_sent_id.value_or("none"));
  m_responder->EndStream();
  StartQueuedStreams();
}

void StreamExchange::OnFailed(const HttpFailure& failure) {
  const std::string first = m_path.hops.front().id;
  if (failure.protocol_error) {
    m_context->peer_faults->OnRejected(PeerKind::kUpstream, first, "protocol", failure.reason);
  }
  if (!failure.maybe_sent) {
    --m_sends;
    SuspectEngine(first, kBrokenSuspectTime, failure.reason);
    EndAttempt();
    LogAttempt("not_sent", failure.reason);
    Retry(failure.reason, false);
    return;
  }
  OnConnectionEnded(failure.reason);
}

void StreamExchange::AddDetails(nlohmann::ordered_json* line) const {
  (*line)["first_event_ms"] = m_first_event_delay.count();
  (*line)["longest_pause_ms"] = m_longest_pause.count();
  (*line)["path_changes"] = m_reroutes;
  (*line)["queued"] = m_context->queue->Size();
  (*line)["starts_per_s"] = m_context->queue->StartsPerS(Now());
  (*line)["load_of_others_known"] = m_context->assumed_instances == 0;
}

PathQuery StreamExchange::BuildPathQuery() const {
  PathQuery query;
  query.service = m_service;
  query.profile = m_profile;
  query.tokens = m_reserved_tokens;
  query.prompt_tokens = m_caller.prompt_tokens;
  query.failure_domain = m_context->settings.failure_domain;
  query.excluded = m_excluded_engines;
  query.now = Now();
  query.assumed_instances = m_context->assumed_instances;
  query.unseen_streams = m_context->queue->StartsPerS(query.now) * m_context->instances *
                         std::chrono::duration<double>(m_context->load_age).count();
  query.cost_jitter = PathCostJitter(m_context->instances, m_context->assumed_instances == 0);
  return query;
}

void StreamExchange::StartAttempt(EnginePath path) {
  m_path = std::move(path);
  m_streaming = false;
  m_answer_recorded = false;
  m_error_body_bytes = 0;
  m_scanner.Clear();
  m_silence_checks = 0;
  m_resumed = m_head_sent;
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->Reserve(hop.id, Reservation(hop));
  }
  RecordTransfers();
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
                         {"crossings", m_path.links.size()},
                         {"link_load", m_path.peak_link_load},
                         {"tokens", m_reserved_tokens},
                         {"resume_after", m_last_sent_id.value_or("")},
                         {"sends", m_sends},
                         {"queued", m_context->queue->Size()}},
                        m_sends > 0);
  HttpCallOptions options;
  // The path was chosen from the current fleet, so the engine is listed.
  options.endpoint = *UpstreamEndpoint(*m_context->fleet, first.id);
  options.connect_timeout = kConnectTimeout;
  // An engine that refused this request may write the refusal again, under the same ID.
  const bool may_reuse = MayRetry() && m_refused_by.count(first.id) == 0;
  options.max_idle = may_reuse ? kMaxConnectionIdle : Milliseconds(0);
  options.shared_body = m_body;
  m_process = ListedProcess(*m_context->fleet, first.id);
  ++m_sends;
  m_context->quarantine->OnSent(m_parts, Now());
  m_context->queue->OnStarted(Now());
  m_context->fleet->OnStart(first.id, Now());
  m_context->fleet->BeginPath(first.id);
  m_attempt_started = Now();
  m_last_bytes = m_attempt_started;
  m_attempt_active = true;
  m_call = m_context->client->Start(
      options, ForwardedMessage(first.id, m_path.hops, m_resumed ? m_last_sent_id : std::nullopt),
      this);
  BeginMonitoring();
  StartSilenceTimer();
}

void StreamExchange::BeginMonitoring() {
  std::vector<std::string> engines;
  for (const PathHop& hop : m_path.hops) {
    engines.push_back(hop.id);
  }
  m_context->monitor->Begin(this, engines, m_path.step_ms, Now());
}

bool StreamExchange::MayResend() const {
  // The caller of this function ends a running attempt, which could not resume without budget.
  return MayRetry() && m_sends < Route().max_attempts && TimeLeft() >= kMinTimeToRetry &&
         m_context->budget->Allows(m_service, Now()) && !Blocked();
}

void StreamExchange::RecordTransfers() {
  for (const LinkId link : m_path.links) {
    m_context->fleet->Links().OnTransfer(link, m_caller.prompt_tokens, Now());
  }
}

double StreamExchange::Reservation(const PathHop& hop) const {
  return m_reserved_tokens * (hop.layers.last - hop.layers.first);
}

void StreamExchange::EndAttempt() {
  if (!m_attempt_active) {
    return;
  }
  m_attempt_active = false;
  m_rerouting = false;
  m_paused = false;
  ++m_query_generation;
  m_context->monitor->End(this);
  m_silence_timer.reset();
  m_call->Cancel();
  m_context->quarantine->OnEnded(m_parts);
  m_context->fleet->EndPath(m_path.hops.front().id);
  for (const PathHop& hop : m_path.hops) {
    m_context->fleet->Release(hop.id, Reservation(hop));
  }
}

void StreamExchange::ForwardEvents(const std::string& events) {
  if (events.empty()) {
    return;
  }
  const TimePoint now = Now();
  if (!m_head_sent) {
    StartSilenceTimer();  // The silence limit is shorter after the first event.
    m_head_sent = true;
    m_first_event_delay = std::chrono::duration_cast<Milliseconds>(now - m_request.arrived);
    m_context->metrics->ObserveLatency("azuregw_first_event_ms", "",
                                       static_cast<double>(m_first_event_delay.count()));
    m_responder->BeginStream(m_response, std::nullopt);
  } else {
    m_longest_pause =
        std::max(m_longest_pause, std::chrono::duration_cast<Milliseconds>(now - m_last_sent_time));
  }
  m_last_sent_time = now;
  if (m_scanner.LastId()) {
    m_last_sent_id = m_scanner.LastId();
  }
  m_responder->SendChunk(events);
  if (!Closed() && m_attempt_active && m_responder->Backlogged()) {
    m_paused = true;
    m_call->Pause();
    // The silence that follows is the caller's.
    m_context->monitor->End(this);
    m_silence_timer.reset();
  }
}

void StreamExchange::OnCallerReads() {
  if (!m_paused || !m_attempt_active) {
    return;
  }
  m_paused = false;
  m_last_bytes = Now();
  m_silence_checks = 0;
  BeginMonitoring();
  StartSilenceTimer();
  m_call->Resume();
}

void StreamExchange::OnNonStreamResponse() {
  const int status = m_attempt_status;
  const std::string first = m_path.hops.front().id;
  const std::string reason = "status " + std::to_string(status);
  EndAttempt();
  if (m_response_info.not_run) {
    --m_sends;
    m_refused_by.insert(first);
    std::string faulty_engine = first;
    if (!m_response_info.fault_address.empty()) {
      if (const std::string* named =
              m_context->fleet->FindByAddress(m_response_info.fault_address)) {
        faulty_engine = *named;
      }
    }
    LogAttempt("not_run", reason + " from " + faulty_engine);
    const Upstream* const upstream = m_context->fleet->Find(faulty_engine);
    if (m_response_info.retry_after && faulty_engine == first) {
      // The engine has stated itself for how long it wants no requests.
    } else if (upstream != nullptr && Now() - upstream->last_progress < kRecentProgressWindow) {
      // The engine is healthy but short of memory or giving up layers; its streams can continue.
      m_excluded_engines.insert(faulty_engine);
      m_context->fleet->MarkFull(faulty_engine, kFullDuration, Now());
    } else {
      SuspectEngine(faulty_engine, kRefusalSuspectTime, reason);
    }
    Retry("engines refuse work: " + reason, true);
    return;
  }
  if (status >= 500) {
    // Errors count as evidence even if the engine reports itself as healthy.
    SuspectEngine(first, kErrorSuspectTime, reason);
  }
  if (!m_head_sent && m_response_info.sealed && !ImpliesNotRun(status) &&
      (status < 500 || !MayRetry() || m_sends >= Route().max_attempts)) {
    Deliver(std::move(m_response), "the engine answered " + reason);
    return;
  }
  LogAttempt("failed", reason);
  m_excluded_engines.insert(first);
  Retry(reason, true);
}

void StreamExchange::OnAttemptBroken(const std::string& reason, const std::string& engine) {
  EndAttempt();
  LogAttempt("broken", reason);
  if (!engine.empty()) {
    SuspectEngine(engine, kBrokenSuspectTime, reason);
    m_excluded_engines.insert(engine);
  }
  Retry(reason, true);
}

void StreamExchange::OnConnectionEnded(const std::string& reason) {
  const std::string first = m_path.hops.front().id;
  // An engine that accepted the request after another one exited did not exit together with it.
  const TimePoint ended_at =
      m_crashed ? std::max(Now(), m_crashed_at + PromptQuarantine::kMinCrashInterval) : Now();
  const bool beginning = m_scanner.Events() <= PromptQuarantine::kMaxEventsAtCrash;
  const bool await_check = beginning && !m_context->quarantine->Proven(m_parts, ended_at);
  EndAttempt();
  LogAttempt("broken", reason);
  SuspectEngine(first, kBrokenSuspectTime, reason);
  m_excluded_engines.insert(first);
  // The crash counts even if the caller leaves before it is known.
  const auto record = [context = m_context, id = m_caller.id, names = m_caller.shared_parts,
                       parts = m_parts, events = m_scanner.Events(), process = m_process, ended_at,
                       beginning] {
    if (beginning) {
      context->quarantine->OnCrash(parts, MakeProcessId(process.id, process.started_ms), ended_at,
                                   context->loop->Now());
    }
    context->log->Write("engine_exited_under_request",
                        {{"request_id", id},
                         {"upstream", process.id},
                         {"started_ms", process.started_ms},
                         {"events", events},
                         {"parts", names},
                         {"request", PartName(parts.back())}},
                        true);
  };
  m_context->exits->CheckCrash(m_process, [this, record, ended_at, beginning, await_check, reason,
                                           alive = std::weak_ptr<int>(m_alive)](bool crashed) {
    if (crashed) {
      record();
    }
    if (alive.expired() || Closed()) {
      return;
    }
    if (crashed && beginning) {
      m_crashed = true;
      m_crashed_at = ended_at;
    }
    if (await_check) {
      Retry(reason, true);
    }
  });
  if (!await_check && !Closed()) {
    Retry(reason, true);
  }
}

void StreamExchange::RecordAnswer() {
  if (!m_answer_recorded) {
    m_answer_recorded = true;
    m_context->quarantine->OnAnswer(m_parts, Now());
  }
}

void StreamExchange::EndBlocked(const PromptQuarantine::Block& block) {
  m_context->queue->Remove(this);
  m_wait_timer.reset();
  std::string reason = "the request crashes engines";
  if (!IsRequestPart(block.part)) {
    const auto part = std::find(m_parts.begin(), m_parts.end(), block.part) - m_parts.begin();
    reason = "part " + m_caller.shared_parts[static_cast<size_t>(part)] +
             " of the prompt crashes engines";
  }
  if (m_sends > 0) {
    GiveUp(reason);
  } else {
    Refuse(ResultCode::kPromptQuarantined, reason, block.retry_after);
  }
}

void StreamExchange::Retry(const std::string& reason, bool counted) {
  const bool proved_not_run = m_sends == 0;
  const bool may_retry =
      proved_not_run ? ++m_refusals <= kMaxRefusals : MayRetry() && m_sends < Route().max_attempts;
  if (!may_retry || TimeLeft() < kMinTimeToRetry ||
      (counted && !m_context->budget->Take(m_service, Now()))) {
    GiveUp(reason);
    return;
  }
  if (!TryStart()) {
    WaitForPath();
  }
  StartQueuedStreams();
}

void StreamExchange::WaitForPath() {
  std::optional<Milliseconds> wait;
  if (m_sends > 0) {
    wait = std::min(kMaxResumeWait, TimeLeft());
  } else if (!m_was_queued && m_path_error == PathError::kNoCapacity) {
    wait = AllowedWait(CurrentWaitInputs());
  }
  if (!wait) {
    RefuseForLoad();
    return;
  }
  m_was_queued = true;
  m_context->queue->Enqueue(
      {this, m_request.arrived, m_request.arrived + Route().target_latency, Priority()});
  m_wait_timer = m_context->loop->After(*wait, [this] {
    m_context->queue->Remove(this);
    if (m_sends > 0) {
      GiveUp("no path to resume on");
    } else {
      RefuseForLoad();
    }
  });
}

WaitInputs StreamExchange::CurrentWaitInputs() const {
  WaitInputs inputs;
  inputs.target_latency = Route().target_latency;
  inputs.time_left = TimeLeft();
  // The deadline of a first request is nearly the whole timeout of its route.
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
  const bool no_cover = m_path_error == PathError::kLayersNotCovered;
  Refuse(no_cover ? ResultCode::kNoChain : ResultCode::kOverloaded,
         no_cover ? "the usable engines do not hold all layers"
                  : "no path has capacity for the request",
         RetryAfterTime());
}

Milliseconds StreamExchange::RetryAfterTime() const {
  const Milliseconds open = m_context->fleet->OpenDelay(m_service, Now());
  if (open.count() > 0) {
    const double spread = 1 + kOpenDelayJitter * m_context->random->Unit();
    return Milliseconds(static_cast<int64_t>(spread * static_cast<double>(open.count())));
  }
  return std::max(RetryAfter(CurrentWaitInputs(), m_context->random->Unit()),
                  m_context->fleet->StartDelay(m_service, Now()));
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
    Refuse(ResultCode::kOverloaded, reason, RetryAfterTime());
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
    Refuse(ResultCode::kDeadlineUnreachable, "no path was free before the deadline",
           RetryAfterDeadline());
  }
  StartQueuedStreams();
}

void StreamExchange::LogAttempt(const char* outcome, const std::string& reason) {
  const auto took = std::chrono::duration_cast<Milliseconds>(Now() - m_attempt_started);
  m_context->log->Write("attempt_ended",
                        {{"request_id", m_caller.id},
                         {"upstream", m_path.hops.front().id},
                         {"outcome", outcome},
                         {"reason", reason},
                         {"last_event", m_last_sent_id.value_or("")},
                         {"attempt_events", m_scanner.Events()},
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
