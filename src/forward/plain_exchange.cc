// Exchange for a request with a buffered response, from a service without engines.

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>
#include <vector>

#include "azuregw/fleet/upstream_picker.h"
#include "azuregw/forward/transfer_limits.h"
#include "forward/exchange_base.h"

namespace azuregw {
namespace {

// Limit of retries of a request that provably did not run.
constexpr int kMaxRefusals = 3;
// Upstreams accept connections within 2 ms; one behind a network partition does not respond.
constexpr Milliseconds kConnectTimeout{250};
// Longest idle time of a reused connection. Upstreams close idle connections without notice, and an
// order sent on a connection that is being closed has an unknown outcome.
constexpr Milliseconds kOrderMaxIdle{0};
constexpr Milliseconds kRepeatableMaxIdle{3000};
// A hedged request is sent after this share of the latency target.
constexpr double kHedgeLatencyShare = 0.8;
constexpr Milliseconds kMinHedgeDelay{60};
// Time for which an upstream is suspect after a connection to it failed.
constexpr Milliseconds kUnreachableSuspectTime{1500};
// Time for which an upstream is suspect after kFailuresInARow consecutive failures.
constexpr Milliseconds kFailureSuspectTime{1000};
constexpr int kFailuresInARow = 3;

// Returns the stated length of a response's body; nullopt if it is chunked or ends with its
// connection.
std::optional<uint64_t> ContentLength(const HttpResponseHead& head) {
  const auto text = head[boost::beast::http::field::content_length];
  uint64_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  const bool valid = !text.empty() && error == std::errc() && end == text.data() + text.size() &&
                     head.count(boost::beast::http::field::transfer_encoding) == 0;
  return valid ? std::optional<uint64_t>(length) : std::nullopt;
}

class PlainExchange;

// Request to one upstream.
class Attempt final : public HttpCallHandler {
 public:
  Attempt(PlainExchange* exchange, UpstreamProcess process)
      : m_exchange(exchange), m_process(std::move(process)), m_id(m_process.id) {}

  bool OnHead(const HttpResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFailed(const HttpFailure& failure) override;

  PlainExchange* const m_exchange;
  const UpstreamProcess m_process;
  const std::string m_id;  // ID of the upstream.
  std::shared_ptr<ClientCall> m_call;
  bool m_ended = false;  // The call is cancelled and the reservation released.
  TimePoint m_sent_at;
  BufferedResponse m_reply;
  UpstreamResponse m_response_info;
  bool m_framed = false;             // The response states where it ends.
  std::optional<uint64_t> m_length;  // Length of its body, if stated.
};

// Sends a request that may run once again only while it is proved that no upstream ran it. For a
// repeatable request, sends a hedged request to a second upstream if the first one fails or is
// slow; the first good response wins.
//
// A response of up to kHeldResponseBytes is held until it is complete, so that a broken one can be
// replaced. A longer one is passed on as it arrives, while its upstream waits for the caller.
class PlainExchange final : public ExchangeBase {
 public:
  using ExchangeBase::ExchangeBase;

  ~PlainExchange() override {
    CloseIfCallerGone();
    for (const auto& attempt : m_attempts) {
      End(attempt.get());
    }
  }

  void Start() override {
    StartDeadline();
    if (const auto block = Block()) {
      Refuse(ResultCode::kPromptQuarantined, "the request crashes upstreams", block->retry_after);
      return;
    }
    if (!StartNextAttempt()) {
      const bool limited = m_context->fleet->StartDelay(m_service, Now()).count() > 0;
      Refuse(limited ? ResultCode::kOverloaded : ResultCode::kNoChain,
             limited ? "the upstreams accept no further requests at present"
                     : "the service has no upstream",
             RetryAfterTime());
    }
  }

  // ---- Called by attempts ----

  UpstreamResponse ReadResponse(int status, const HttpFields& fields) const {
    return m_context->wire->ReadResponse(status, fields);
  }
  // Returns whether the response is for this request. One that names none may have been written
  // again for an earlier request, if the connection has served one.
  bool MatchesRequest(const UpstreamResponse& answer, const ClientCall& call) const {
    return answer.request_id == m_caller.id || (answer.request_id.empty() && !call.Reused());
  }

  // Handles a response that is complete, or longer than kHeldResponseBytes.
  void OnResponse(Attempt* attempt, bool complete) {
    const UpstreamResponse answer = attempt->m_response_info;
    const int status = attempt->m_reply.status;
    RecordStatements(attempt->m_id, answer, attempt->m_sent_at);
    if (answer.load) {
      m_context->fleet->OnReportedLoad(attempt->m_id, *answer.load, Now());
    }
    if (answer.not_run) {
      End(attempt);
      --m_sends;
      LogAttempt(*attempt, "not_run", "status " + std::to_string(status));
      if (++m_refusals <= kMaxRefusals && !Block() && TakeRetry() && StartNextAttempt()) {
        return;
      }
      GiveUp("the upstreams refuse work");
      return;
    }
    if (!answer.sealed || ImpliesNotRun(status)) {
      OnAttemptBroken(attempt,
                      "response without the upstream's seal, status " + std::to_string(status));
      return;
    }
    m_context->fleet->OnProgress(attempt->m_id, Now());
    m_context->quarantine->OnAnswer(m_parts, Now());
    // A long error response is replaced only while another attempt is allowed.
    const bool replaceable = complete || m_sends < Route().max_attempts;
    if (status >= 500 && MayRetry() && replaceable) {
      if (complete) {
        m_failed_response = std::move(attempt->m_reply);
      }
      OnAttemptBroken(attempt, "status " + std::to_string(status));
      return;
    }
    if (!complete) {
      PassOn(attempt);
      return;
    }
    End(attempt);
    EndAllAttempts();
    Deliver(std::move(attempt->m_reply), "answered by " + attempt->m_id);
  }

  // Handles more bytes of the response that is passed on.
  void OnMoreBytes(Attempt* attempt, std::string_view bytes) {
    m_responder->SendChunk(bytes);
    if (!Closed() && m_responder->Backlogged()) {
      attempt->m_call->Pause();
    }
  }
  bool IsPassedOn(const Attempt* attempt) const { return m_passed_on == attempt; }

  void OnCallerReads() override {
    if (m_passed_on != nullptr && !Closed()) {
      m_passed_on->m_call->Resume();
    }
  }

  // Handles the end of a response.
  void OnComplete(Attempt* attempt) {
    if (IsPassedOn(attempt)) {
      End(attempt);
      Close(attempt->m_reply.status, "delivered", "answered by " + attempt->m_id);
      m_responder->EndStream();
    } else {
      OnResponse(attempt, true);
    }
  }

  // Handles a response that ended with its connection.
  void OnUnframedResponse(Attempt* attempt) {
    m_context->exits->CheckWhole(
        attempt->m_process, [this, attempt, alive = std::weak_ptr<int>(m_alive)](bool whole) {
          if (alive.expired() || Closed() || attempt->m_ended) {
            return;
          }
          if (whole) {
            OnComplete(attempt);
          } else {
            OnConnectionEnded(attempt, "the response without an end is not proved whole");
          }
        });
  }

  void OnAttemptBroken(Attempt* attempt, const std::string& reason) {
    End(attempt);
    LogAttempt(*attempt, "broken", reason);
    RecordFailure(attempt->m_id);
    RetryOrGiveUp(reason);
  }

  // Handles the end of the connection before the response was complete. Before a retry, it must be
  // known whether the upstream exited.
  void OnConnectionEnded(Attempt* attempt, const std::string& reason) {
    const TimePoint ended_at = Now();
    End(attempt);
    LogAttempt(*attempt, "broken", reason);
    RecordFailure(attempt->m_id);
    // The crash counts even if the caller leaves before it is known.
    const auto record = [context = m_context, id = m_caller.id, parts = m_parts,
                         process = attempt->m_process, ended_at] {
      context->quarantine->OnCrash(parts, MakeProcessId(process.id, process.started_ms), ended_at,
                                   context->loop->Now());
      context->log->Write("engine_exited_under_request",
                          {{"request_id", id},
                           {"upstream", process.id},
                           {"started_ms", process.started_ms},
                           {"request", PartName(parts.front())}},
                          true);
    };
    m_context->exits->CheckCrash(
        attempt->m_process,
        [this, record, reason, alive = std::weak_ptr<int>(m_alive)](bool crashed) {
          if (crashed) {
            record();
          }
          if (alive.expired() || Closed()) {
            return;
          }
          m_crashed |= crashed;
          if (MayRetry()) {
            RetryOrGiveUp(reason);
          }
        });
    if (!MayRetry()) {
      GiveUp(reason);
    }
  }

  void OnAttemptFailed(Attempt* attempt, const HttpFailure& failure) {
    if (failure.protocol_error) {
      m_context->peer_faults->OnRejected(PeerKind::kUpstream, attempt->m_id, "protocol",
                                         failure.reason);
    }
    if (failure.maybe_sent) {
      OnConnectionEnded(attempt, failure.reason);
      return;
    }
    End(attempt);
    --m_sends;
    LogAttempt(*attempt, "not_sent", failure.reason);
    m_context->fleet->Suspect(attempt->m_id, kUnreachableSuspectTime, Now());
    if (++m_refusals <= kMaxRefusals && !Block() && StartNextAttempt()) {
      return;
    }
    GiveUp("no upstream can be reached");
  }

 private:
  void OnDeadline() override {
    const bool run = m_sends > 0;
    for (const auto& attempt : m_attempts) {
      if (!attempt->m_ended) {
        RecordFailure(attempt->m_id);
      }
    }
    EndAllAttempts();
    if (m_passed_on != nullptr) {
      BreakOff("the deadline has passed");
    } else if (run) {
      Fail(ResultCode::kUpstreamTimeout, "no answer before the deadline");
    } else {
      Refuse(ResultCode::kDeadlineUnreachable, "no upstream took the request in time",
             RetryAfterDeadline());
    }
  }

  // Sends the request to an upstream that was not tried yet; returns false if there is none.
  bool StartNextAttempt() {
    PickQuery query;
    query.service = m_service;
    query.failure_domain = m_context->settings.failure_domain;
    query.now = Now();
    for (const auto& attempt : m_attempts) {
      query.excluded.insert(attempt->m_id);
    }
    const std::string id = PickUpstream(*m_context->fleet, query, m_context->random);
    const auto endpoint = UpstreamEndpoint(*m_context->fleet, id);
    if (!endpoint) {
      return false;
    }
    auto attempt = std::make_unique<Attempt>(this, ListedProcess(*m_context->fleet, id));
    attempt->m_sent_at = Now();
    HttpCallOptions options;
    options.endpoint = *endpoint;
    options.connect_timeout = kConnectTimeout;
    options.max_idle = MayRetry() ? kRepeatableMaxIdle : kOrderMaxIdle;
    options.shared_body = m_body;
    ++m_sends;
    m_context->quarantine->OnSent(m_parts, Now());
    m_context->fleet->Reserve(id, 0);
    m_context->fleet->OnStart(id, Now());
    const Upstream* const upstream = m_context->fleet->Find(id);
    m_context->log->Write("plain_attempt",
                          {{"request_id", m_caller.id},
                           {"upstream", id},
                           {"running_here", upstream->own_load.requests},
                           {"running_elsewhere", upstream->others_load.requests},
                           {"failures", upstream->failures},
                           {"sends", m_sends}},
                          !m_attempts.empty());
    attempt->m_call =
        m_context->client->Start(options, ForwardedMessage(id, {}, std::nullopt), attempt.get());
    m_attempts.push_back(std::move(attempt));
    if (MayRetry() && m_sends < Route().max_attempts) {
      const auto share = Milliseconds(static_cast<int64_t>(
          kHedgeLatencyShare * static_cast<double>(Route().target_latency.count())));
      m_hedge_timer = m_context->loop->After(std::max(kMinHedgeDelay, share), [this] { Hedge(); });
    }
    return true;
  }

  // Sends a hedged request if the budget allows it.
  void Hedge() {
    if (Closed() || m_sends >= Route().max_attempts || Block() || !TakeRetry()) {
      return;
    }
    for (const auto& attempt : m_attempts) {
      if (!attempt->m_ended) {
        RecordFailure(attempt->m_id);
      }
    }
    StartNextAttempt();
  }

  // Returns the quarantine that forbids another send, if any.
  std::optional<PromptQuarantine::Block> Block() const {
    return m_context->quarantine->Check(m_parts, m_crashed, Now());
  }

  void RetryOrGiveUp(const std::string& reason) {
    if (m_passed_on == nullptr && MayRetry() && m_sends < Route().max_attempts && !Block() &&
        TakeRetry() && StartNextAttempt()) {
      return;
    }
    GiveUp(reason);
  }

  bool TakeRetry() { return m_context->budget->Take(m_service, Now()); }

  bool HasRunningAttempt() const {
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const auto& attempt) { return !attempt->m_ended; });
  }

  // Ends the exchange unless another attempt may still produce a response.
  void GiveUp(const std::string& reason) {
    if (Closed() || HasRunningAttempt()) {
      return;
    }
    if (m_passed_on != nullptr) {
      BreakOff(reason);
    } else if (m_failed_response) {
      Deliver(std::move(*m_failed_response), "the upstream failed: " + reason);
    } else if (m_sends > 0) {
      Fail(ResultCode::kUpstreamProtocol, reason);
    } else {
      Refuse(ResultCode::kOverloaded, reason, RetryAfterTime());
    }
  }

  // Begins the response to the caller with that of `attempt`, whose rest follows as it arrives.
  void PassOn(Attempt* attempt) {
    m_passed_on = attempt;
    m_hedge_timer.reset();
    for (const auto& other : m_attempts) {
      if (other.get() != attempt) {
        End(other.get());
      }
    }
    m_context->metrics->Add("azuregw_long_responses_total", "", 1);
    const std::string begin = std::move(attempt->m_reply.body);
    m_responder->BeginStream(attempt->m_reply, attempt->m_length);
    OnMoreBytes(attempt, begin);
  }

  // Ends a response that is partly sent so that it cannot look complete.
  void BreakOff(const std::string& reason) {
    Close(m_passed_on->m_reply.status, "broken_off", reason);
    m_responder->AbortStream();
  }

  std::optional<Milliseconds> RetryAfterTime() const {
    // Callers accept at most a third of the time left.
    return std::max(std::min(TimeLeft() / 4, Milliseconds(500)),
                    m_context->fleet->StartDelay(m_service, Now()));
  }

  // Counts a failure; marks the upstream as suspect after several in a row.
  void RecordFailure(const std::string& id) {
    if (Upstream* const upstream = m_context->fleet->Find(id)) {
      if (++upstream->failures >= kFailuresInARow &&
          m_context->fleet->Suspect(id, kFailureSuspectTime, Now())) {
        m_context->log->Write("upstream_suspect",
                              {{"upstream", id},
                               {"failures", upstream->failures},
                               {"for_ms", kFailureSuspectTime.count()},
                               {"request_id", m_caller.id}},
                              true);
      }
    }
  }

  void End(Attempt* attempt) {
    if (!attempt->m_ended) {
      attempt->m_ended = true;
      m_context->fleet->Release(attempt->m_id, 0);
      m_context->quarantine->OnEnded(m_parts);
      attempt->m_call->Cancel();
    }
  }

  void EndAllAttempts() {
    m_hedge_timer.reset();
    for (const auto& attempt : m_attempts) {
      End(attempt.get());
    }
  }

  void LogAttempt(const Attempt& attempt, const char* outcome, const std::string& reason) {
    m_context->log->Write("attempt_ended",
                          {{"request_id", m_caller.id},
                           {"upstream", attempt.m_id},
                           {"outcome", outcome},
                           {"reason", reason},
                           {"sends", m_sends}},
                          true);
  }

  const std::vector<PartId> m_parts{RequestPart()};
  bool m_crashed = false;  // An upstream exited under this request.
  const std::shared_ptr<int> m_alive = std::make_shared<int>(0);  // Expires with the exchange.
  std::vector<std::unique_ptr<Attempt>> m_attempts;
  std::optional<BufferedResponse> m_failed_response;  // Delivered if no attempt succeeds.
  Attempt* m_passed_on = nullptr;  // Its response is sent to the caller as it arrives.
  int m_refusals = 0;              // Number of sends that provably did not run.
  std::unique_ptr<Timer> m_hedge_timer;
};

bool Attempt::OnHead(const HttpResponseHead& head) {
  m_response_info = m_exchange->ReadResponse(static_cast<int>(head.result_int()), head);
  if (!m_exchange->MatchesRequest(m_response_info, *m_call)) {
    return false;
  }
  m_framed = head.count(boost::beast::http::field::transfer_encoding) > 0 ||
             head.count(boost::beast::http::field::content_length) > 0;
  m_length = ContentLength(head);
  m_reply.status = static_cast<int>(head.result_int());
  m_reply.fields = EndToEndFields(head);
  return true;
}

void Attempt::OnBody(std::string_view bytes) {
  if (m_exchange->IsPassedOn(this)) {
    m_exchange->OnMoreBytes(this, bytes);
    return;
  }
  m_reply.body.append(bytes);
  if (m_reply.body.size() > kHeldResponseBytes) {
    m_exchange->OnResponse(this, false);
  }
}

void Attempt::OnDone() {
  if (m_framed) {
    m_exchange->OnComplete(this);
  } else {
    m_exchange->OnUnframedResponse(this);
  }
}

void Attempt::OnFailed(const HttpFailure& failure) { m_exchange->OnAttemptFailed(this, failure); }

}  // namespace

std::unique_ptr<ForwardExchange> MakePlainExchange(ForwardContext* context, IncomingRequest request,
                                                   CallerRequest caller, RouteMatch match,
                                                   CallerResponder* responder) {
  return std::make_unique<PlainExchange>(context, std::move(request), std::move(caller),
                                         std::move(match), responder);
}

}  // namespace azuregw
