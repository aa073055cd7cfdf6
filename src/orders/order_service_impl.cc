// Order service over claims, upstream choice and the service client.

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

constexpr Milliseconds kRetryAfter{1000};

// Digest of the parts, cut to `bytes` (a multiple of 3 avoids padding), in Base64. The lengths are
// part of the input, so that two lists with the same concatenation differ.
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

// Time kept back from claiming for the dispatch itself. A dispatch without time to answer would
// turn a sure not_run into an unknown.
Milliseconds DispatchReserve(Milliseconds remaining) {
  constexpr Milliseconds kMaxReserve{1000};
  return std::min(kMaxReserve, remaining / 4);
}

Milliseconds Remaining(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

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

OrderDispatcher::OrderDispatcher(OrderServiceDependencies parts)
    : m_parts(std::move(parts)), m_picker(std::move(m_parts.random)) {}

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
  auto flight = std::make_shared<OrderFlight>();
  flight->snapshot = std::move(snapshot);
  flight->call = std::move(call);
  flight->done = std::move(done);
  const bool keyed = !flight->call.idempotency_key.empty();
  flight->mode = operation.repeatable ? CallMode::kRepeatable
                 : keyed              ? CallMode::kClaimed
                                      : CallMode::kSentOnce;
  if (flight->mode == CallMode::kClaimed) {
    StartClaim(flight);
  } else {
    Dispatch(flight, NotRun(ResultCode::kUpstreamUnreachable, "no upstream of the service"));
  }
}

void OrderDispatcher::StartClaim(const Flight& flight) {
  const ServiceCall& call = flight->call;
  const TimePoint now = m_parts.clock->Now();
  const Milliseconds remaining = Remaining(call.deadline, now);
  Claim& claim = flight->claim;
  claim.key_hash = Digest({call.workspace, call.service, call.idempotency_key}, 18);
  claim.fingerprint = Digest({call.method, call.path, call.content_type, call.body}, 12);
  claim.claim_id = MakeUniqueId();
  claim.created_ms = m_parts.clock->WallMs();
  claim.deadline_ms = claim.created_ms + remaining.count();
  m_parts.forwarder->Submit(*flight->snapshot, claim, call.deadline - DispatchReserve(remaining),
                            [self = shared_from_this(), flight](const ClaimReply& reply) {
                              self->OnClaim(flight, reply);
                            });
}

void OrderDispatcher::OnClaim(const Flight& flight, const ClaimReply& reply) {
  if (m_stopped || flight->decided.exchange(true)) {
    return;
  }
  if (reply.decision == ClaimDecision::kGranted) {
    Dispatch(flight, NotRun(ResultCode::kUpstreamUnreachable, "no upstream of the service"));
    return;
  }
  if (reply.maybe_written) {
    RecordOutcome(flight, ClaimState::kNotRun, nullptr);
  }
  switch (reply.decision) {
    case ClaimDecision::kGranted:
      break;
    case ClaimDecision::kAnswered:
      Replay(flight, *reply.existing);
      break;
    case ClaimDecision::kInProgress:
      Fail(flight, Retryable(Unknown(ResultCode::kOrderInProgress,
                                     "an earlier request with this key is in progress")));
      break;
    case ClaimDecision::kUnknown:
      Fail(flight, Unknown(ResultCode::kOrderOutcomeUnknown,
                           "an earlier request with this key may have run"));
      break;
    case ClaimDecision::kKeyReused:
      Fail(flight, NotRun(ResultCode::kIdempotencyKeyReused,
                          "the key was used with another request; this one was not sent"));
      break;
    case ClaimDecision::kAbandoned:
      Fail(flight, Retryable(NotRun(ResultCode::kOrderClaimLost, "the claim was given up")));
      break;
    case ClaimDecision::kUnavailable:
      Fail(flight, Retryable(NotRun(ResultCode::kOrderClaimUnavailable,
                                    "the key could not be claimed; this request was not sent")));
      break;
  }
}

void OrderDispatcher::Dispatch(const Flight& flight, const Error& last_error) {
  const TimePoint now = m_parts.clock->Now();
  const ServiceUpstreamSpec* upstream = nullptr;
  Error error = last_error;
  if (now >= flight->call.deadline) {
    // Also reached by a holder that was paused after its claim had succeeded.
    error.code = flight->mode == CallMode::kClaimed ? ResultCode::kOrderClaimLost
                                                    : ResultCode::kUpstreamTimeout;
    error.message = "the deadline passed before the request was sent";
  } else {
    upstream = m_picker.Start(*flight->snapshot, flight->call.service, flight->tried);
  }
  if (upstream == nullptr) {
    if (flight->mode == CallMode::kClaimed) {
      RecordOutcome(flight, ClaimState::kNotRun, nullptr);
    }
    Fail(flight, Retryable(error));
    return;
  }
  flight->tried.insert(upstream->name);
  const ServiceCall& call = flight->call;
  ServiceRequest request;
  request.address = upstream->address;
  request.method = call.method;
  request.path = call.path;
  request.content_type = call.content_type;
  request.body = call.body;
  request.request_id = call.request_id;
  request.idempotency_key = call.idempotency_key;
  request.timeout = std::max(Milliseconds(1), Remaining(call.deadline, now));
  m_parts.client->Call(std::move(request), [self = shared_from_this(), flight,
                                            name = upstream->name](Result<ServiceReply> result) {
    self->m_picker.End(name);
    self->OnReply(flight, std::move(result));
  });
}

void OrderDispatcher::OnReply(const Flight& flight, Result<ServiceReply> result) {
  if (result) {
    Succeed(flight, std::move(result.value()));
    return;
  }
  const Error& error = result.error();
  if (!m_stopped && MayRetry(*flight, error)) {
    Dispatch(flight, error);
    return;
  }
  if (flight->mode == CallMode::kClaimed) {
    const bool not_run = error.outcome == RunOutcome::kNotRun;
    RecordOutcome(flight, not_run ? ClaimState::kNotRun : ClaimState::kUnknown, nullptr);
  }
  Fail(flight, error.outcome == RunOutcome::kNotRun ? Retryable(error) : error);
}

bool OrderDispatcher::MayRetry(const OrderFlight& flight, const Error& error) const {
  const bool nothing_sent = error.code == ResultCode::kUpstreamUnreachable;
  const bool proved = error.outcome == RunOutcome::kNotRun;
  const bool allowed = flight.mode == CallMode::kRepeatable || (nothing_sent && proved) ||
                       (flight.mode == CallMode::kClaimed && proved);
  if (!allowed || m_parts.clock->Now() >= flight.call.deadline) {
    return false;
  }
  return !m_parts.take_retry || m_parts.take_retry("service/" + flight.call.service);
}

void OrderDispatcher::RecordOutcome(const Flight& flight, ClaimState state,
                                    const ServiceReply* reply) {
  Claim outcome = flight->claim;
  outcome.state = state;
  if (reply != nullptr) {
    RecordedAnswer answer;
    answer.status = reply->status;
    answer.content_type = reply->content_type;
    answer.body = reply->body;
    outcome.answer = std::move(answer);
  }
  ++m_unrecorded;
  m_parts.forwarder->Record(*flight->snapshot, std::move(outcome),
                            [self = shared_from_this()] { --self->m_unrecorded; });
}

void OrderDispatcher::Succeed(const Flight& flight, ServiceReply reply) {
  if (flight->mode == CallMode::kClaimed) {
    RecordOutcome(flight, ClaimState::kRun, &reply);
  }
  Count("run");
  if (!m_stopped) {
    flight->done(ServiceAnswer{std::move(reply), false});
  }
}

void OrderDispatcher::Replay(const Flight& flight, const Claim& claim) {
  const RecordedAnswer& answer = *claim.answer;
  if (!answer.complete) {
    Fail(flight, Error{ResultCode::kOrderOutcomeUnknown,
                       "the order ran, and its answer was too large to be recorded",
                       RunOutcome::kRun, std::nullopt});
    return;
  }
  Count("replayed");
  flight->done(ServiceAnswer{ServiceReply{answer.status, answer.content_type, answer.body}, true});
}

void OrderDispatcher::Fail(const Flight& flight, Error error) {
  Count(std::string(ResultCodeName(error.code)));
  if (m_parts.events != nullptr && error.outcome != RunOutcome::kNotRun) {
    m_parts.events->Record("orders", "order_unknown", flight->call.request_id, error.message,
                           error.code);
  }
  if (!m_stopped) {
    flight->done(std::move(error));
  }
}

void OrderDispatcher::Count(const std::string& result) {
  if (m_parts.metrics != nullptr) {
    m_parts.metrics->Add("azuregw_service_calls_total", "result=\"" + result + "\"", 1);
  }
}

int OrderDispatcher::Flush(TimePoint deadline) {
  constexpr Milliseconds kPoll{5};
  m_parts.forwarder->Flush();
  while (m_unrecorded > 0 && m_parts.clock->Now() < deadline) {
    std::this_thread::sleep_for(kPoll);
  }
  return m_unrecorded;
}

namespace {

class OrderServiceImpl final : public OrderService {
 public:
  explicit OrderServiceImpl(OrderServiceDependencies parts)
      : m_engine(std::make_shared<OrderDispatcher>(std::move(parts))) {}
  ~OrderServiceImpl() override { m_engine->Stop(); }

  void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
           std::function<void(Result<ServiceAnswer>)> done) override {
    m_engine->Run(std::move(snapshot), std::move(call), std::move(done));
  }

  int Flush(TimePoint deadline) override { return m_engine->Flush(deadline); }

 private:
  const std::shared_ptr<OrderDispatcher> m_engine;
};

}  // namespace

std::unique_ptr<OrderService> MakeOrderService(OrderServiceDependencies parts) {
  return std::make_unique<OrderServiceImpl>(std::move(parts));
}

}  // namespace azuregw
