// Conversion between claims and FlatBuffers messages.

#include "orders/claim_wire.h"

#include <memory>
#include <utility>

namespace azuregw {
namespace {

wire::OrderState ToWire(ClaimState state) {
  switch (state) {
    case ClaimState::kPending:
      return wire::OrderState::InProgress;
    case ClaimState::kRun:
      return wire::OrderState::Run;
    case ClaimState::kNotRun:
      return wire::OrderState::NotRun;
    case ClaimState::kUnknown:
      break;
  }
  return wire::OrderState::Unknown;
}

ClaimState FromWire(wire::OrderState state) {
  switch (state) {
    case wire::OrderState::InProgress:
      return ClaimState::kPending;
    case wire::OrderState::Run:
      return ClaimState::kRun;
    case wire::OrderState::NotRun:
      return ClaimState::kNotRun;
    case wire::OrderState::Unknown:
      break;
  }
  return ClaimState::kUnknown;
}

// Returns the decision on `claim` that an Exists reply stands for. `holder` is the claim in the
// reply, which already holds the key.
ClaimDecision DecisionOf(const Claim& holder, const Claim& claim) {
  if (holder.state == ClaimState::kNotRun) {
    return ClaimDecision::kAbandoned;
  }
  if (holder.fingerprint != claim.fingerprint) {
    return ClaimDecision::kKeyReused;
  }
  if (holder.state == ClaimState::kPending) {
    return ClaimDecision::kInProgress;
  }
  // A claim that has run can be replayed only if the message contains the answer.
  return holder.state == ClaimState::kRun && holder.answer ? ClaimDecision::kAnswered
                                                           : ClaimDecision::kUnknown;
}

// Returns the claim that already holds the key, for the message. Its state is set to the one that
// the decision implies.
Claim ExistingClaimOf(const ClaimReply& reply) {
  Claim holder = reply.existing.value_or(Claim{});
  if (reply.decision == ClaimDecision::kUnknown) {
    holder.state = ClaimState::kUnknown;
    holder.answer.reset();
  } else if (reply.decision == ClaimDecision::kAbandoned) {
    holder.state = ClaimState::kNotRun;
  }
  return holder;
}

}  // namespace

wire::EnvelopeT ToClaimRequest(const Claim& claim, int shard, Milliseconds wait) {
  wire::ClaimRequestT request;
  request.shard = static_cast<uint32_t>(shard);
  request.key_hash = claim.key_hash;
  request.body_fingerprint = claim.fingerprint;
  request.claim_id = claim.claim_id;
  request.wait_ms = static_cast<uint32_t>(wait.count());
  request.created_wall_ms = claim.created_ms;
  request.deadline_wall_ms = claim.deadline_ms;
  wire::EnvelopeT envelope;
  envelope.body.Set(std::move(request));
  return envelope;
}

Claim FromClaimRequest(const wire::ClaimRequestT& request) {
  Claim claim;
  claim.key_hash = request.key_hash;
  claim.fingerprint = request.body_fingerprint;
  claim.claim_id = request.claim_id;
  claim.created_ms = request.created_wall_ms;
  claim.deadline_ms = request.deadline_wall_ms;
  return claim;
}

wire::EnvelopeT ToClaimReply(const ClaimReply& reply) {
  wire::ClaimReplyT message;
  message.maybe_written = reply.maybe_written;
  if (reply.decision == ClaimDecision::kGranted) {
    message.status = wire::ClaimStatus::Granted;
  } else if (reply.decision == ClaimDecision::kUnavailable) {
    message.status = wire::ClaimStatus::Unavailable;
    message.code = static_cast<int32_t>(ResultCode::kOrderClaimUnavailable);
  } else {
    message.status = wire::ClaimStatus::Exists;
    message.outcome =
        std::make_unique<wire::OutcomeRecordT>(ToOutcomeRecord(ExistingClaimOf(reply), 0));
  }
  wire::EnvelopeT envelope;
  envelope.body.Set(std::move(message));
  return envelope;
}

ClaimReply FromClaimReply(const wire::ClaimReplyT& message, const Claim& claim) {
  ClaimReply reply;
  reply.maybe_written = message.maybe_written;
  if (message.status == wire::ClaimStatus::Granted) {
    reply.decision = ClaimDecision::kGranted;
  } else if (message.status == wire::ClaimStatus::Exists && message.outcome) {
    reply.existing = FromOutcomeRecord(*message.outcome);
    reply.decision = DecisionOf(*reply.existing, claim);
  } else {
    // Covers statuses added by later versions.
    reply.decision = ClaimDecision::kUnavailable;
    reply.maybe_written = message.maybe_written || message.status != wire::ClaimStatus::Unavailable;
  }
  return reply;
}

wire::OutcomeRecordT ToOutcomeRecord(const Claim& claim, int shard) {
  wire::OutcomeRecordT record;
  record.shard = static_cast<uint32_t>(shard);
  record.key_hash = claim.key_hash;
  record.claim_id = claim.claim_id;
  record.body_fingerprint = claim.fingerprint;
  record.state = ToWire(claim.state);
  record.created_wall_ms = claim.created_ms;
  record.deadline_wall_ms = claim.deadline_ms;
  if (claim.answer) {
    record.status = static_cast<uint16_t>(claim.answer->status);
    record.content_type = claim.answer->content_type;
    record.body.assign(claim.answer->body.begin(), claim.answer->body.end());
    record.answer_dropped = !claim.answer->complete;
  }
  return record;
}

Claim FromOutcomeRecord(const wire::OutcomeRecordT& record) {
  Claim claim;
  claim.key_hash = record.key_hash;
  claim.fingerprint = record.body_fingerprint;
  claim.claim_id = record.claim_id;
  claim.created_ms = record.created_wall_ms;
  claim.deadline_ms = record.deadline_wall_ms;
  claim.state = FromWire(record.state);
  if (claim.state == ClaimState::kRun && record.status != 0) {
    RecordedAnswer answer;
    answer.status = record.status;
    answer.content_type = record.content_type;
    answer.body.assign(record.body.begin(), record.body.end());
    answer.complete = !record.answer_dropped;
    claim.answer = std::move(answer);
  }
  return claim;
}

}  // namespace azuregw
