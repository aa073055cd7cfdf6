// Queues and decisions of the group commit.

#include "azuregw/orders/claim_batcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace azuregw {
namespace {

// Verdicts that no later change of the record can revise.
bool IsFinal(ClaimDecision decision) {
  return decision == ClaimDecision::kAnswered || decision == ClaimDecision::kAbandoned;
}

// The store refuses values above 1 MB. A record that is full of pending claims accepts no more.
constexpr size_t kMaxRecordBytes = size_t{900} * 1024;

// Estimated size of a claim in the record.
size_t EncodedBytes(const Claim& claim) {
  constexpr size_t kFixedBytes = 128;
  return kFixedBytes + (claim.answer ? claim.answer->body.size() : 0);
}

// Keeps a large answer out of the record: returns the value for its own key, or an empty string.
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
  Waiting waiting;
  waiting.claim = std::move(claim);
  waiting.deadline = deadline;
  waiting.arrived = now;
  waiting.sequence = ++m_sequence;
  waiting.done = std::move(done);
  m_claims.push_back(std::move(waiting));
}

void ClaimBatcher::Record(Claim outcome, TimePoint now, RecordCallback done) {
  assert(outcome.state != ClaimState::kPending);
  Outcome queued;
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
  std::optional<StoreCall> call = Choose(now, wall_ms);
  DropFinished();
  if (call) {
    ++m_counters.calls;
    m_call_key = call->key;
    m_call_sequence = m_sequence;
  }
  return call;
}

std::optional<StoreCall> ClaimBatcher::Choose(TimePoint now, int64_t wall_ms) {
  for (const Waiting& waiting : m_claims) {
    if (waiting.reads_body && waiting.done) {
      return Read(Call::kReadBody, waiting.existing->answer->body_key);
    }
  }
  for (const Outcome& outcome : m_outcomes) {
    if (!outcome.body_value.empty()) {
      return Write(Call::kWriteBody, outcome.claim.answer->body_key, 0, outcome.body_value);
    }
  }
  if (m_loaded) {
    AnswerFromRecord(wall_ms);  // Recorded answers do not wait for a swap.
  }
  const bool claims_due = ClaimsDue(now);
  if (claims_due || OutcomesDue(now)) {
    if (!m_loaded) {
      return Read(Call::kReadRecord, m_prefix);
    }
    if (m_seal && !m_seal->written) {
      return Write(Call::kWriteGeneration, m_prefix + "/" + m_seal->ref.name, 0, m_seal->text);
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
  if (m_doomed_entry) {
    m_call = Call::kDelete;
    return StoreCall{StoreCall::Kind::kDelete, m_doomed_entry->key, m_doomed_entry->revision, ""};
  }
  if (!m_doomed.empty()) {
    return Read(Call::kReadDoomed, m_doomed.front());
  }
  return std::nullopt;
}

bool ClaimBatcher::ClaimsDue(TimePoint now) const {
  const auto waits = [](const Waiting& waiting) { return waiting.done && !waiting.reads_body; };
  return now >= NextSwap() && std::any_of(m_claims.begin(), m_claims.end(), waits);
}

bool ClaimBatcher::OutcomesDue(TimePoint now) const {
  return !m_outcomes.empty() &&
         (m_flushing ||
          now >= std::max(NextSwap(), m_outcomes.front().arrived + m_options.outcome_linger));
}

void ClaimBatcher::AnswerFromRecord(int64_t wall_ms) {
  for (Waiting& waiting : m_claims) {
    if (!waiting.done || waiting.reads_body) {
      continue;
    }
    const Claim* current = m_record.Find(waiting.claim.key_hash);
    const Claim* existing = EffectiveClaim(current, Sealed(waiting.claim.key_hash));
    const ClaimDecision decision = EvaluateClaim(existing, waiting.claim, wall_ms);
    const bool own = existing != nullptr && existing->claim_id == waiting.claim.claim_id;
    // A claim that has yet to be added is decided by a swap. A refusal that a later change of the
    // record could revise needs a record that was confirmed after the claim arrived.
    const bool decided = decision == ClaimDecision::kGranted
                             ? own
                             : IsFinal(decision) || waiting.sequence <= m_confirmed;
    if (decided) {
      Finish(&waiting, decision, existing);
    }
  }
}

std::optional<StoreCall> ClaimBatcher::BuildSwap(TimePoint now, int64_t wall_ms) {
  m_candidate = m_record;
  m_links_seal = false;
  m_expired_keys.clear();
  size_t bytes = 0;
  const bool outcomes_changed = ApplyOutcomes(&bytes);
  const bool claims_changed = ClaimsDue(now) && ApplyClaims(wall_ms, bytes);
  if (!outcomes_changed && !claims_changed && !m_seal) {
    ReturnBatch(false);
    return std::nullopt;
  }
  LinkSeal(wall_ms);
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
  for (Outcome& outcome : m_outcomes) {
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
  for (Waiting& waiting : m_claims) {
    if (!waiting.done || waiting.reads_body) {
      continue;
    }
    if (count++ >= m_options.max_batch || bytes >= m_options.max_batch_bytes ||
        m_record_bytes + bytes >= kMaxRecordBytes) {
      break;
    }
    const Claim* sealed = Sealed(waiting.claim.key_hash);
    const Claim* existing = EffectiveClaim(m_candidate.Find(waiting.claim.key_hash), sealed);
    waiting.existing = existing == nullptr ? std::nullopt : std::optional<Claim>(*existing);
    waiting.decision = m_candidate.Apply(waiting.claim, sealed, wall_ms);
    waiting.in_batch = true;
    bytes += EncodedBytes(waiting.claim);
    changed = changed || waiting.decision == ClaimDecision::kGranted;
  }
  return changed;
}

void ClaimBatcher::LinkSeal(int64_t wall_ms) {
  if (!m_seal) {
    return;
  }
  assert(m_seal->written);
  m_links_seal = m_candidate.LinkGeneration(m_seal->ref, m_seal->content, wall_ms);
  if (!m_links_seal) {
    // Another process has sealed some of these claims; the generation stays without reference.
    m_doomed.push_back(m_prefix + "/" + m_seal->ref.name);
    m_seal.reset();
  }
}

bool ClaimBatcher::NeedsConfirmation() const {
  const auto unconfirmed = [this](const auto& item) { return item.sequence > m_confirmed; };
  return std::any_of(m_outcomes.begin(), m_outcomes.end(), unconfirmed) ||
         std::any_of(m_claims.begin(), m_claims.end(), [&](const Waiting& waiting) {
           return waiting.done && !waiting.reads_body && unconfirmed(waiting);
         });
}

void ClaimBatcher::FinishConfirmedOutcomes() {
  // Reached when no applied outcome changes the confirmed record: each is recorded already, or its
  // claim id no longer holds the key.
  for (; m_applied_outcomes > 0; --m_applied_outcomes) {
    m_callbacks.push_back(std::move(m_outcomes.front().done));
    m_outcomes.pop_front();
  }
}

bool ClaimBatcher::MayBeWritten(const Waiting& waiting) const {
  const Claim* current = m_record.Find(waiting.claim.key_hash);
  const bool present = current != nullptr && current->claim_id == waiting.claim.claim_id;
  const bool in_swap = waiting.in_batch && waiting.decision == ClaimDecision::kGranted;
  return waiting.maybe_written || present || in_swap;
}

void ClaimBatcher::Finish(Waiting* waiting, ClaimDecision decision, const Claim* existing) {
  const bool other = existing != nullptr && existing->claim_id != waiting->claim.claim_id;
  if (decision == ClaimDecision::kAnswered && !existing->answer->body_key.empty()) {
    waiting->existing = *existing;
    waiting->reads_body = true;
    return;
  }
  ClaimReply reply;
  reply.decision = decision;
  if (other || decision == ClaimDecision::kAnswered) {
    reply.existing = *existing;
  }
  reply.maybe_written = decision != ClaimDecision::kGranted && MayBeWritten(*waiting);
  m_callbacks.push_back(
      [done = std::move(waiting->done), reply = std::move(reply)]() { done(reply); });
  waiting->done = nullptr;
}

void ClaimBatcher::Expire(TimePoint now, int64_t wall_ms) {
  for (Waiting& waiting : m_claims) {
    if (!waiting.done || now < waiting.deadline) {
      continue;
    }
    const Claim* current = m_record.Find(waiting.claim.key_hash);
    const Claim* existing = EffectiveClaim(current, Sealed(waiting.claim.key_hash));
    const ClaimDecision decision = EvaluateClaim(existing, waiting.claim, wall_ms);
    waiting.reads_body = false;
    // The last known record may hold another claim of the key. Then "unavailable", which tells the
    // caller that nothing ran, would mislead about the key.
    const bool held = decision == ClaimDecision::kInProgress ||
                      decision == ClaimDecision::kUnknown || decision == ClaimDecision::kKeyReused;
    const bool answered = decision == ClaimDecision::kAnswered;
    Finish(&waiting,
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
  m_claims.erase(
      std::remove_if(m_claims.begin(), m_claims.end(),
                     [](const Waiting& waiting) { return !waiting.done && !waiting.in_batch; }),
      m_claims.end());
}

std::vector<std::function<void()>> ClaimBatcher::TakeCallbacks() {
  return std::exchange(m_callbacks, {});
}

std::optional<TimePoint> ClaimBatcher::NextWake() const {
  std::optional<TimePoint> wake;
  const auto consider = [&](TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
  for (const Waiting& waiting : m_claims) {
    if (waiting.done) {
      consider(waiting.deadline);
      if (m_call == Call::kNone) {
        consider(std::max({m_not_before, waiting.arrived, NextSwap()}));
      }
    }
  }
  if (m_call == Call::kNone && !m_outcomes.empty()) {
    const TimePoint due =
        std::max(NextSwap(), m_outcomes.front().arrived + m_options.outcome_linger);
    consider(m_flushing ? m_not_before : std::max(m_not_before, due));
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
