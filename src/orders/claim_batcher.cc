// Queues and claim decisions of the group commit.

#include "azuregw/orders/claim_batcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace azuregw {
namespace {

// Returns whether no later change of the record can alter the decision.
bool IsFinal(ClaimDecision decision) {
  return decision == ClaimDecision::kAnswered || decision == ClaimDecision::kAbandoned;
}

// Record size at which no more claims are added. The store limits values to 1 MB.
constexpr size_t kMaxRecordBytes = size_t{900} * 1024;

// Returns the estimated size of a claim in the record.
size_t EncodedBytes(const Claim& claim) {
  constexpr size_t kFixedBytes = 128;
  return kFixedBytes + (claim.answer ? claim.answer->body.size() : 0);
}

// Moves a large body out of the answer and returns its encoded form, to be stored under its own
// key. Returns an empty string if the body stays inline or is dropped because of its size.
std::string SplitAnswer(const std::string& prefix, Claim* outcome) {
  if (!outcome->answer || outcome->answer->body.size() <= kInlineAnswerBytes) {
    return "";
  }
  RecordedAnswer& answer = *outcome->answer;
  std::string value = EncodeAnswerBody(answer.body);
  answer.body.clear();
  if (value.size() > kMaxAnswerBytes) {
    answer.complete = false;
    return "";
  }
  answer.body_key = prefix + "/answers/" + outcome->claim_id;
  return value;
}

}  // namespace

ClaimBatcher::ClaimBatcher(std::string prefix, BatcherOptions options)
    : m_prefix(std::move(prefix)), m_options(options) {}

void ClaimBatcher::Submit(Claim claim, TimePoint deadline, TimePoint now, ClaimCallback done) {
  PendingClaim pending;
  pending.claim = std::move(claim);
  pending.deadline = deadline;
  pending.arrived = now;
  pending.sequence = ++m_sequence;
  pending.done = std::move(done);
  m_claims.push_back(std::move(pending));
}

void ClaimBatcher::Record(Claim outcome, TimePoint now, RecordCallback done) {
  assert(outcome.state != ClaimState::kPending);
  PendingOutcome queued;
  queued.claim = std::move(outcome);
  queued.arrived = now;
  queued.sequence = ++m_sequence;
  queued.done = std::move(done);
  queued.body_value = SplitAnswer(m_prefix, &queued.claim);
  m_outcomes.push_back(std::move(queued));
}

std::optional<StoreCall> ClaimBatcher::NextCall(TimePoint now, int64_t wall_ms) {
  if (m_call != Call::kNone || now < m_not_before) {
    return std::nullopt;
  }
  Expire(now, wall_ms);
  std::optional<StoreCall> call = ChooseCall(now, wall_ms);
  DropFinished();
  if (call) {
    ++m_counters.calls;
    m_call_key = call->key;
    m_call_sequence = m_sequence;
  }
  return call;
}

std::optional<StoreCall> ClaimBatcher::ChooseCall(TimePoint now, int64_t wall_ms) {
  for (const PendingClaim& pending : m_claims) {
    if (pending.reading_body && pending.done) {
      return Read(Call::kReadBody, pending.existing->answer->body_key);
    }
  }
  for (const PendingOutcome& outcome : m_outcomes) {
    if (!outcome.body_value.empty()) {
      return Write(Call::kWriteBody, outcome.claim.answer->body_key, 0, outcome.body_value);
    }
  }
  if (m_loaded) {
    AnswerFromRecord(wall_ms);  // Recorded answers need no swap.
  }
  const bool claims_due = ClaimsDue(now);
  if (claims_due || OutcomesDue(now)) {
    if (!m_loaded) {
      return Read(Call::kReadRecord, m_prefix);
    }
    if (m_new_generation && !m_new_generation->written) {
      return Write(Call::kWriteGeneration, m_prefix + "/" + m_new_generation->ref.name, 0,
                   m_new_generation->text);
    }
    if (claims_due) {
      if (auto call = ChooseGenerationRead()) {
        return call;
      }
      AnswerFromRecord(wall_ms);
    }
    if (auto call = BuildSwap(now, wall_ms)) {
      return call;
    }
    if (NeedsConfirmation()) {
      return Read(Call::kReadRecord, m_prefix);
    }
    FinishConfirmedOutcomes();
  }
  if (m_obsolete_entry) {
    m_call = Call::kDelete;
    return StoreCall{StoreCall::Kind::kDelete, m_obsolete_entry->key, m_obsolete_entry->revision,
                     ""};
  }
  if (!m_obsolete_keys.empty()) {
    return Read(Call::kReadObsolete, m_obsolete_keys.front());
  }
  return std::nullopt;
}

bool ClaimBatcher::ClaimsDue(TimePoint now) const {
  const auto awaits_record = [](const PendingClaim& pending) {
    return pending.done && !pending.reading_body;
  };
  return now >= NextSwapTime() && std::any_of(m_claims.begin(), m_claims.end(), awaits_record);
}

bool ClaimBatcher::OutcomesDue(TimePoint now) const {
  return !m_outcomes.empty() &&
         (m_flushing ||
          now >= std::max(NextSwapTime(), m_outcomes.front().arrived + m_options.outcome_linger));
}

void ClaimBatcher::AnswerFromRecord(int64_t wall_ms) {
  for (PendingClaim& pending : m_claims) {
    if (!pending.done || pending.reading_body) {
      continue;
    }
    const Claim* current = m_record.Find(pending.claim.key_hash);
    const Claim* existing = EffectiveClaim(current, FindSealedClaim(pending.claim.key_hash));
    const ClaimDecision decision = EvaluateClaim(existing, pending.claim, wall_ms);
    const bool holds_key = existing != nullptr && existing->claim_id == pending.claim.claim_id;
    // A claim that is not in the record yet is decided by a swap. A refusal that a later change of
    // the record could alter needs a record that was confirmed after the claim arrived.
    const bool decided = decision == ClaimDecision::kGranted
                             ? holds_key
                             : IsFinal(decision) || pending.sequence <= m_confirmed_sequence;
    if (decided) {
      Finish(&pending, decision, existing);
    }
  }
}

std::optional<StoreCall> ClaimBatcher::BuildSwap(TimePoint now, int64_t wall_ms) {
  m_candidate = m_record;
  m_links_new_generation = false;
  m_expired_keys.clear();
  size_t bytes = 0;
  const bool outcomes_changed = ApplyOutcomes(&bytes);
  const bool claims_changed = ClaimsDue(now) && ApplyClaims(wall_ms, bytes);
  if (!outcomes_changed && !claims_changed && !m_new_generation) {
    RequeueBatch(false);
    return std::nullopt;
  }
  LinkNewGeneration(wall_ms);
  for (const auto& [key_hash, claim] : m_candidate.Claims()) {
    const bool expired = wall_ms >= claim.created_ms + m_options.retention_ms;
    if (expired && claim.answer && !claim.answer->body_key.empty()) {
      m_expired_keys.push_back(claim.answer->body_key);
    }
  }
  for (const GenerationRef& generation : m_candidate.Expire(wall_ms, m_options.retention_ms)) {
    m_expired_keys.push_back(m_prefix + "/" + generation.name);
  }
  std::string text = m_candidate.Encode();
  m_candidate_bytes = text.size();
  ++m_counters.swaps;
  if (claims_changed) {
    m_last_swap = now;
  }
  return Write(Call::kSwap, m_prefix, m_revision, std::move(text));
}

bool ClaimBatcher::ApplyOutcomes(size_t* bytes) {
  bool changed = false;
  m_applied_outcomes = 0;
  for (PendingOutcome& outcome : m_outcomes) {
    if (m_applied_outcomes >= m_options.max_batch || *bytes >= m_options.max_batch_bytes) {
      break;
    }
    ++m_applied_outcomes;
    outcome.in_batch = true;
    *bytes += EncodedBytes(outcome.claim);
    changed = m_candidate.ApplyOutcome(outcome.claim) || changed;
  }
  return changed;
}

bool ClaimBatcher::ApplyClaims(int64_t wall_ms, size_t bytes) {
  bool changed = false;
  size_t count = 0;
  for (PendingClaim& pending : m_claims) {
    if (!pending.done || pending.reading_body) {
      continue;
    }
    if (count++ >= m_options.max_batch || bytes >= m_options.max_batch_bytes ||
        m_record_bytes + bytes >= kMaxRecordBytes) {
      break;
    }
    const Claim* sealed = FindSealedClaim(pending.claim.key_hash);
    const Claim* existing = EffectiveClaim(m_candidate.Find(pending.claim.key_hash), sealed);
    pending.existing = existing == nullptr ? std::nullopt : std::optional<Claim>(*existing);
    pending.decision = m_candidate.Apply(pending.claim, sealed, wall_ms);
    pending.in_batch = true;
    bytes += EncodedBytes(pending.claim);
    changed = changed || pending.decision == ClaimDecision::kGranted;
  }
  return changed;
}

void ClaimBatcher::LinkNewGeneration(int64_t wall_ms) {
  if (!m_new_generation) {
    return;
  }
  assert(m_new_generation->written);
  m_links_new_generation =
      m_candidate.LinkGeneration(m_new_generation->ref, m_new_generation->content, wall_ms);
  if (!m_links_new_generation) {
    // Another process has sealed some of these claims, so the generation is not listed.
    m_obsolete_keys.push_back(m_prefix + "/" + m_new_generation->ref.name);
    m_new_generation.reset();
  }
}

bool ClaimBatcher::NeedsConfirmation() const {
  const auto unconfirmed = [this](const auto& item) {
    return item.sequence > m_confirmed_sequence;
  };
  return std::any_of(m_outcomes.begin(), m_outcomes.end(), unconfirmed) ||
         std::any_of(m_claims.begin(), m_claims.end(), [&](const PendingClaim& pending) {
           return pending.done && !pending.reading_body && unconfirmed(pending);
         });
}

void ClaimBatcher::FinishConfirmedOutcomes() {
  // No applied outcome changes the confirmed record: each is recorded already, or its claim ID no
  // longer holds the key.
  for (; m_applied_outcomes > 0; --m_applied_outcomes) {
    m_callbacks.push_back(std::move(m_outcomes.front().done));
    m_outcomes.pop_front();
  }
}

bool ClaimBatcher::MayBeWritten(const PendingClaim& pending) const {
  const Claim* current = m_record.Find(pending.claim.key_hash);
  const bool present = current != nullptr && current->claim_id == pending.claim.claim_id;
  const bool in_swap = pending.in_batch && pending.decision == ClaimDecision::kGranted;
  return pending.maybe_written || present || in_swap;
}

void ClaimBatcher::Finish(PendingClaim* pending, ClaimDecision decision, const Claim* existing) {
  const bool held_by_other = existing != nullptr && existing->claim_id != pending->claim.claim_id;
  if (decision == ClaimDecision::kAnswered && !existing->answer->body_key.empty()) {
    pending->existing = *existing;
    pending->reading_body = true;
    return;
  }
  ClaimReply reply;
  reply.decision = decision;
  if (held_by_other || decision == ClaimDecision::kAnswered) {
    reply.existing = *existing;
  }
  reply.maybe_written = decision != ClaimDecision::kGranted && MayBeWritten(*pending);
  m_callbacks.push_back(
      [done = std::move(pending->done), reply = std::move(reply)]() { done(reply); });
  pending->done = nullptr;
}

void ClaimBatcher::Expire(TimePoint now, int64_t wall_ms) {
  for (PendingClaim& pending : m_claims) {
    if (!pending.done || now < pending.deadline) {
      continue;
    }
    const Claim* current = m_record.Find(pending.claim.key_hash);
    const Claim* existing = EffectiveClaim(current, FindSealedClaim(pending.claim.key_hash));
    const ClaimDecision decision = EvaluateClaim(existing, pending.claim, wall_ms);
    pending.reading_body = false;
    // If the last known record holds another claim of the key, kUnavailable would wrongly tell the
    // caller that nothing ran under the key.
    const bool held = decision == ClaimDecision::kInProgress ||
                      decision == ClaimDecision::kUnknown || decision == ClaimDecision::kKeyReused;
    const bool answered = decision == ClaimDecision::kAnswered;
    Finish(&pending,
           held       ? decision
           : answered ? ClaimDecision::kUnknown
                      : ClaimDecision::kUnavailable,
           existing);
  }
  if (m_call == Call::kNone) {
    DropFinished();
  }
}

void ClaimBatcher::DropFinished() {
  m_claims.erase(std::remove_if(m_claims.begin(), m_claims.end(),
                                [](const PendingClaim& pending) {
                                  return !pending.done && !pending.in_batch;
                                }),
                 m_claims.end());
}

std::vector<std::function<void()>> ClaimBatcher::TakeCallbacks() {
  return std::exchange(m_callbacks, {});
}

std::optional<TimePoint> ClaimBatcher::NextWake() const {
  std::optional<TimePoint> wake;
  const auto consider_time = [&](TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
  for (const PendingClaim& pending : m_claims) {
    if (pending.done) {
      consider_time(pending.deadline);
      if (m_call == Call::kNone) {
        consider_time(std::max({m_not_before, pending.arrived, NextSwapTime()}));
      }
    }
  }
  if (m_call == Call::kNone && !m_outcomes.empty()) {
    const TimePoint due =
        std::max(NextSwapTime(), m_outcomes.front().arrived + m_options.outcome_linger);
    consider_time(m_flushing ? m_not_before : std::max(m_not_before, due));
  }
  return wake;
}

StoreCall ClaimBatcher::Read(Call call, std::string key) {
  m_call = call;
  return StoreCall{StoreCall::Kind::kRead, std::move(key), 0, ""};
}

StoreCall ClaimBatcher::Write(Call call, std::string key, uint64_t expected, std::string value) {
  m_call = call;
  m_counters.written_bytes += value.size();
  return StoreCall{StoreCall::Kind::kWrite, std::move(key), expected, std::move(value)};
}

}  // namespace azuregw
