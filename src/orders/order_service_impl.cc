// Dispatch of service calls, with claims for calls that must run at most once.

#include "orders/order_service_impl.h"

#include <glog/logging.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace azuregw {
namespace {

// Delay after which a caller may retry a refused call.
constexpr Milliseconds kRetryAfter{1000};

// Returns the first `bytes` bytes of a SHA-256 digest of `parts` in Base64; a multiple of 3 avoids
// padding. The input includes the lengths, so that lists with the same concatenation differ.
std::string Digest(std::initializer_list<std::string_view> parts, int bytes) {
  std::string input;
  for (const std::string_view part : parts) {
    input += std::to_string(part.size()) + ":";
    input.append(part);
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash;
  SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), hash.data());
  std::string text(static_cast<size_t>(4 * ((bytes + 2) / 3) + 1), '\0');
  text.resize(static_cast<size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), hash.data(), bytes)));
  return text;
}

// Returns the part of the remaining time that is reserved for the dispatch and not used for
// claiming. A dispatch too short to be answered would turn a certain not_run into unknown.
Milliseconds DispatchReserve(Milliseconds remaining) {
  constexpr Milliseconds kMaxReserve{1000};
  return std::min(kMaxReserve, remaining / 4);
}

Milliseconds Remaining(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

// Returns `error` with a time after which the caller may retry.
Error Retryable(Error error) {
  error.retry_after = kRetryAfter;
  return error;
}

bool HasService(const Preset& preset, const std::string& service) {
  const auto& upstreams = preset.service_upstreams;
  return preset.services.count(service) > 0 ||
         std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const auto& entry) { return entry.second.service == service; });
}

OperationSpec OperationOf(const Preset& preset, const ServiceCall& call) {
  const auto it = preset.services.find(call.service);
  const ServiceSpec spec = it == preset.services.end() ? ServiceSpec{} : it->second;
  return FindOperation(spec, call.method, call.path.substr(0, call.path.find('?')));
}

}  // namespace

OrderDispatcher::OrderDispatcher(OrderServiceDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_picker(std::move(m_dependencies.random)) {}

void OrderDispatcher::Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
                          std::function<void(Result<ServiceAnswer>)> done) {
  if (snapshot->preset == nullptr) {
    done(Retryable(NotRun(ResultCode::kNoPreset, "no preset is known yet")));
    return;
  }
  if (!HasService(*snapshot->preset, call.service)) {
    done(NotRun(ResultCode::kUnknownService, "no service '" + call.service + "' in the preset"));
    return;
  }
  const OperationSpec operation = OperationOf(*snapshot->preset, call);
  if (operation.key_required && call.idempotency_key.empty()) {
    done(NotRun(ResultCode::kMissingIdempotencyKey, "this operation needs an Idempotency-Key"));
    return;
  }
  auto context = std::make_shared<OrderContext>();
  context->snapshot = std::move(snapshot);
  context->call = std::move(call);
  context->done = std::move(done);
  const bool keyed = !context->call.idempotency_key.empty();
  context->mode = operation.repeatable ? CallMode::kRepeatable
                  : keyed              ? CallMode::kClaimed
                                       : CallMode::kSentOnce;
  if (context->mode == CallMode::kClaimed) {
    StartClaim(context);
  } else {
    Dispatch(context, NotRun(ResultCode::kUpstreamUnreachable, "no upstream of the service"));
  }
}

void OrderDispatcher::StartClaim(const ContextPtr& context) {
  const ServiceCall& call = context->call;
  const TimePoint now = m_dependencies.clock->Now();
  const Milliseconds remaining = Remaining(call.deadline, now);
  Claim& claim = context->claim;
  claim.key_hash = Digest({call.workspace, call.service, call.idempotency_key}, 18);
  claim.fingerprint = Digest({call.method, call.path, call.content_type, call.body}, 12);
  claim.claim_id = MakeUniqueId();
  claim.created_ms = m_dependencies.clock->WallMs();
  claim.deadline_ms = claim.created_ms + remaining.count();
  m_dependencies.forwarder->Submit(*context->snapshot, claim,
                                   call.deadline - DispatchReserve(remaining),
                                   [self = shared_from_this(), context](const ClaimReply& reply) {
                                     self->OnClaim(context, reply);
                                   });
}

void OrderDispatcher::OnClaim(const ContextPtr& context, const ClaimReply& reply) {
  if (m_stopped || context->claim_decided.exchange(true)) {
    return;
  }
  if (reply.decision == ClaimDecision::kGranted) {
    Dispatch(context, NotRun(ResultCode::kUpstreamUnreachable, "no upstream of the service"));
    return;
  }
  if (reply.maybe_written) {
    RecordOutcome(context, ClaimState::kNotRun, nullptr);
  }
  switch (reply.decision) {
    case ClaimDecision::kGranted:
      break;
    case ClaimDecision::kAnswered:
      Replay(context, *reply.existing);
      break;
    case ClaimDecision::kInProgress:
      Fail(context, Retryable(Unknown(ResultCode::kOrderInProgress,
                                      "an earlier request with this key is in progress")));
      break;
    case ClaimDecision::kUnknown:
      Fail(context, Unknown(ResultCode::kOrderOutcomeUnknown,
                            "an earlier request with this key may have run"));
      break;
    case ClaimDecision::kKeyReused:
      Fail(context, NotRun(ResultCode::kIdempotencyKeyReused,
                           "the key was used with another request; this one was not sent"));
      break;
    case ClaimDecision::kAbandoned:
      Fail(context, Retryable(NotRun(ResultCode::kOrderClaimLost, "the claim was abandoned")));
      break;
    case ClaimDecision::kUnavailable:
      Fail(context, Retryable(NotRun(ResultCode::kOrderClaimUnavailable,
                                     "the key could not be claimed; this request was not sent")));
      break;
  }
}

void OrderDispatcher::Dispatch(const ContextPtr& context, const Error& last_error) {
  const TimePoint now = m_dependencies.clock->Now();
  const ServiceUpstreamSpec* upstream = nullptr;
  Error error = last_error;
  if (now >= context->call.deadline) {
    // This also covers a holder that was paused after its claim was granted.
    error.code = context->mode == CallMode::kClaimed ? ResultCode::kOrderClaimLost
                                                     : ResultCode::kUpstreamTimeout;
    error.message = "the deadline passed before the request was sent";
  } else {
    upstream = m_picker.Start(*context->snapshot, context->call.service, context->tried_upstreams);
  }
  if (upstream == nullptr) {
    if (context->mode == CallMode::kClaimed) {
      RecordOutcome(context, ClaimState::kNotRun, nullptr);
    }
    Fail(context, Retryable(error));
    return;
  }
  context->tried_upstreams.insert(upstream->name);
  const ServiceCall& call = context->call;
  ServiceRequest request;
  request.address = upstream->address;
  request.method = call.method;
  request.path = call.path;
  request.content_type = call.content_type;
  request.body = call.body;
  request.request_id = call.request_id;
  request.idempotency_key = call.idempotency_key;
  request.timeout = std::max(Milliseconds(1), Remaining(call.deadline, now));
  m_dependencies.client->Call(
      std::move(request),
      [self = shared_from_this(), context, name = upstream->name](Result<ServiceReply> result) {
        self->m_picker.End(name);
        self->OnReply(context, std::move(result));
      });
}

void OrderDispatcher::OnReply(const ContextPtr& context, Result<ServiceReply> result) {
  if (result) {
    Succeed(context, std::move(result.value()));
    return;
  }
  const Error& error = result.error();
  if (!m_stopped && MayRetry(*context, error)) {
    Dispatch(context, error);
    return;
  }
  if (context->mode == CallMode::kClaimed) {
    const bool not_run = error.outcome == RunOutcome::kNotRun;
    RecordOutcome(context, not_run ? ClaimState::kNotRun : ClaimState::kUnknown, nullptr);
  }
  Fail(context, error.outcome == RunOutcome::kNotRun ? Retryable(error) : error);
}

bool OrderDispatcher::MayRetry(const OrderContext& context, const Error& error) const {
  const bool nothing_sent = error.code == ResultCode::kUpstreamUnreachable;
  const bool proven = error.outcome == RunOutcome::kNotRun;
  const bool allowed = context.mode == CallMode::kRepeatable || (nothing_sent && proven) ||
                       (context.mode == CallMode::kClaimed && proven);
  if (!allowed || m_dependencies.clock->Now() >= context.call.deadline) {
    return false;
  }
  return !m_dependencies.take_retry || m_dependencies.take_retry("service/" + context.call.service);
}

void OrderDispatcher::RecordOutcome(const ContextPtr& context, ClaimState state,
                                    const ServiceReply* reply) {
  Claim outcome = context->claim;
  outcome.state = state;
  if (reply != nullptr) {
    RecordedAnswer answer;
    answer.status = reply->status;
    answer.content_type = reply->content_type;
    answer.body = reply->body;
    outcome.answer = std::move(answer);
  }
  ++m_unrecorded_outcomes;
  m_dependencies.forwarder->Record(*context->snapshot, std::move(outcome),
                                   [self = shared_from_this()] { --self->m_unrecorded_outcomes; });
}

void OrderDispatcher::Succeed(const ContextPtr& context, ServiceReply reply) {
  if (context->mode == CallMode::kClaimed) {
    RecordOutcome(context, ClaimState::kRun, &reply);
  }
  CountResult("run");
  if (!m_stopped) {
    context->done(ServiceAnswer{std::move(reply), false});
  }
}

void OrderDispatcher::Replay(const ContextPtr& context, const Claim& claim) {
  const RecordedAnswer& answer = *claim.answer;
  if (!answer.complete) {
    Fail(context, Error{ResultCode::kOrderOutcomeUnknown,
                        "the order ran, and its answer was too large to be recorded",
                        RunOutcome::kRun, std::nullopt});
    return;
  }
  CountResult("replayed");
  context->done(ServiceAnswer{ServiceReply{answer.status, answer.content_type, answer.body}, true});
}

void OrderDispatcher::Fail(const ContextPtr& context, Error error) {
  CountResult(std::string(ResultCodeName(error.code)));
  if (m_dependencies.events != nullptr && error.outcome != RunOutcome::kNotRun) {
    m_dependencies.events->Record("orders", "order_unknown", context->call.request_id,
                                  error.message, error.code);
  }
  if (!m_stopped) {
    context->done(std::move(error));
  }
}

void OrderDispatcher::CountResult(const std::string& result) {
  if (m_dependencies.metrics != nullptr) {
    m_dependencies.metrics->Add("azuregw_service_calls_total", "result=\"" + result + "\"", 1);
  }
}

int OrderDispatcher::Flush(TimePoint deadline) {
  constexpr Milliseconds kPollInterval{5};
  m_dependencies.forwarder->Flush();
  while (m_unrecorded_outcomes > 0 && m_dependencies.clock->Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return m_unrecorded_outcomes;
}

namespace {

class OrderServiceImpl final : public OrderService {
 public:
  explicit OrderServiceImpl(OrderServiceDependencies dependencies)
      : m_dispatcher(std::make_shared<OrderDispatcher>(std::move(dependencies))) {}
  ~OrderServiceImpl() override { m_dispatcher->Stop(); }

  void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
           std::function<void(Result<ServiceAnswer>)> done) override {
    m_dispatcher->Run(std::move(snapshot), std::move(call), std::move(done));
  }

  int Flush(TimePoint deadline) override { return m_dispatcher->Flush(deadline); }

 private:
  const std::shared_ptr<OrderDispatcher> m_dispatcher;
};

}  // namespace

std::unique_ptr<OrderService> MakeOrderService(OrderServiceDependencies dependencies) {
  return std::make_unique<OrderServiceImpl>(std::move(dependencies));
}

}  // namespace azuregw
