// A request with one whole answer, from a plain service.
//
// A request that may run once is sent again only while it is proved that no upstream has run it. A
// repeatable one gets a second upstream when the first fails or is slow; the first good answer
// wins.

#include <algorithm>
#include <utility>
#include <vector>

#include "azuregw/fleet/upstream_picker.h"
#include "forward/exchange_base.h"

namespace azuregw {
namespace {

// Refusals of upstreams that are answered by trying another one.
constexpr int kMaxNotRun = 3;
// An upstream at the other end of a partition does not answer; other ones answer within 2 ms.
constexpr Milliseconds kConnectTimeout{250};
// Upstreams close idle connections without notice, and an order that meets the close has an unknown
// outcome.
constexpr Milliseconds kOrderMaxIdle{0};
constexpr Milliseconds kRepeatableMaxIdle{3000};
// A second upstream is asked when the first has taken this share of the latency target.
constexpr double kHedgeShare = 0.8;
constexpr Milliseconds kLeastHedgeDelay{60};
// An upstream that cannot be connected to gets no work for this long.
constexpr Milliseconds kUnreachable{1500};
// One that failed several times in a row.
constexpr Milliseconds kFailing{1000};
constexpr int kFailuresInARow = 3;
// Answers are held until they are whole, so that a broken one can be replaced.
constexpr size_t kMaxAnswerBytes = size_t{8} << 20;

class PlainExchange;

// One send to one upstream.
class Attempt final : public HttpCallHandler {
 public:
  Attempt(PlainExchange* exchange, std::string id) : m_exchange(exchange), m_id(std::move(id)) {}

  bool OnHead(const HttpResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFailed(const HttpFailure& failure) override;

  PlainExchange* const m_exchange;
  const std::string m_id;  // Of the upstream.
  std::shared_ptr<ClientCall> m_call;
  bool m_ended = false;
  BufferedResponse m_reply;
  UpstreamResponse m_answer;
};

class PlainExchange final : public ExchangeBase {
 public:
  using ExchangeBase::ExchangeBase;

  ~PlainExchange() override {
    CloseIfCallerLeft();
    for (const auto& attempt : m_attempts) {
      End(attempt.get());
    }
  }

  void Start() override {
    StartDeadline();
    if (!SendNext()) {
      Refuse(ResultCode::kNoChain, "the service has no upstream", RetryTime());
    }
  }

  // ---- Events of attempts ----

  UpstreamResponse ReadResponse(int status, const HttpFields& fields) const {
    return m_context->wire->ReadResponse(status, fields);
  }
  bool Ours(const UpstreamResponse& answer) const {
    return answer.request_id.empty() || answer.request_id == m_caller.id;
  }

  void OnAnswer(Attempt* attempt) {
    const UpstreamResponse answer = attempt->m_answer;
    const int status = attempt->m_reply.status;
    if (answer.load) {
      m_context->fleet->OnReportedLoad(attempt->m_id, *answer.load, Now());
    }
    if (answer.not_run) {
      End(attempt);
      --m_sends;
      LogAttempt(*attempt, "not_run", "status " + std::to_string(status));
      if (++m_not_run <= kMaxNotRun && TakeRepeat() && SendNext()) {
        return;
      }
      GiveUp("the upstreams refuse work");
      return;
    }
    if (!answer.sealed || PromisesNotRun(status)) {
      OnBroken(attempt, "answer without the upstream's mark, status " + std::to_string(status));
      return;
    }
    m_context->fleet->OnProgress(attempt->m_id, Now());
    if (status >= 500 && MayRetry()) {
      m_failure = std::move(attempt->m_reply);
      OnBroken(attempt, "status " + std::to_string(status));
      return;
    }
    End(attempt);
    StopAll();
    Deliver(std::move(attempt->m_reply), "answered by " + attempt->m_id);
  }

  void OnBroken(Attempt* attempt, const std::string& reason) {
    End(attempt);
    LogAttempt(*attempt, "broken", reason);
    NoteFailure(attempt->m_id);
    if (MayRetry() && m_sends < Route().max_attempts && TakeRepeat() && SendNext()) {
      return;
    }
    GiveUp(reason);
  }

  void OnNoAnswer(Attempt* attempt, const HttpFailure& failure) {
    if (failure.maybe_sent) {
      OnBroken(attempt, failure.reason);
      return;
    }
    End(attempt);
    --m_sends;
    LogAttempt(*attempt, "not_sent", failure.reason);
    m_context->fleet->Suspect(attempt->m_id, kUnreachable, Now());
    if (++m_not_run <= kMaxNotRun && SendNext()) {
      return;
    }
    GiveUp("no upstream can be reached");
  }

 private:
  void OnDeadline() override {
    const bool run = m_sends > 0;
    for (const auto& attempt : m_attempts) {
      if (!attempt->m_ended) {
        NoteFailure(attempt->m_id);
      }
    }
    StopAll();
    if (run) {
      Fail(ResultCode::kUpstreamTimeout, "no answer before the deadline");
    } else {
      Refuse(ResultCode::kDeadlineUnreachable, "no upstream took the request in time",
             std::nullopt);
    }
  }

  bool SendNext() {
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
    auto attempt = std::make_unique<Attempt>(this, id);
    HttpCallOptions options;
    options.endpoint = *endpoint;
    options.connect_timeout = kConnectTimeout;
    options.max_idle = MayRetry() ? kRepeatableMaxIdle : kOrderMaxIdle;
    ++m_sends;
    m_context->fleet->Reserve(id, 0);
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
      const auto share = Milliseconds(
          static_cast<int64_t>(kHedgeShare * static_cast<double>(Route().target_latency.count())));
      m_hedge_timer =
          m_context->loop->After(std::max(kLeastHedgeDelay, share), [this] { Hedge(); });
    }
    return true;
  }

  void Hedge() {
    if (Closed() || m_sends >= Route().max_attempts || !TakeRepeat()) {
      return;
    }
    for (const auto& attempt : m_attempts) {
      if (!attempt->m_ended) {
        NoteFailure(attempt->m_id);
      }
    }
    SendNext();
  }

  bool TakeRepeat() { return m_context->budget->Take(m_service, Now()); }

  bool Running() const {
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const auto& attempt) { return !attempt->m_ended; });
  }

  // Ends the exchange unless another attempt may still bring an answer.
  void GiveUp(const std::string& reason) {
    if (Closed() || Running()) {
      return;
    }
    if (m_failure) {
      Deliver(std::move(*m_failure), "the upstream failed: " + reason);
    } else if (m_sends > 0) {
      Fail(ResultCode::kUpstreamProtocol, reason);
    } else {
      Refuse(ResultCode::kOverloaded, reason, RetryTime());
    }
  }

  std::optional<Milliseconds> RetryTime() const {
    // A third of the time left is the longest that callers accept.
    return std::min(TimeLeft() / 4, Milliseconds(500));
  }

  void NoteFailure(const std::string& id) {
    if (Upstream* const upstream = m_context->fleet->Find(id)) {
      if (++upstream->failures >= kFailuresInARow &&
          m_context->fleet->Suspect(id, kFailing, Now())) {
        m_context->log->Write("upstream_suspect",
                              {{"upstream", id},
                               {"failures", upstream->failures},
                               {"for_ms", kFailing.count()},
                               {"request_id", m_caller.id}},
                              true);
      }
    }
  }

  void End(Attempt* attempt) {
    if (!attempt->m_ended) {
      attempt->m_ended = true;
      m_context->fleet->Release(attempt->m_id, 0);
      attempt->m_call->Cancel();
    }
  }

  void StopAll() {
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

  std::vector<std::unique_ptr<Attempt>> m_attempts;
  std::optional<BufferedResponse> m_failure;  // An upstream's own failure, if nothing better comes.
  int m_not_run = 0;
  std::unique_ptr<Timer> m_hedge_timer;
};

bool Attempt::OnHead(const HttpResponseHead& head) {
  m_answer = m_exchange->ReadResponse(static_cast<int>(head.result_int()), head);
  if (!m_exchange->Ours(m_answer)) {
    return false;
  }
  m_reply.status = static_cast<int>(head.result_int());
  m_reply.fields = EndToEndFields(head);
  return true;
}

void Attempt::OnBody(std::string_view bytes) {
  if (m_reply.body.size() + bytes.size() > kMaxAnswerBytes) {
    m_exchange->OnBroken(this, "the answer is too large");
    return;
  }
  m_reply.body.append(bytes);
}

void Attempt::OnDone() { m_exchange->OnAnswer(this); }

void Attempt::OnFailed(const HttpFailure& failure) { m_exchange->OnNoAnswer(this, failure); }

}  // namespace

std::unique_ptr<ForwardExchange> MakePlainExchange(ForwardContext* context, IncomingRequest request,
                                                   CallerRequest caller, RouteMatch match,
                                                   CallerResponder* responder) {
  return std::make_unique<PlainExchange>(context, std::move(request), std::move(caller),
                                         std::move(match), responder);
}

}  // namespace azuregw
