// State transitions of a shard record.

#include "azuregw/orders/claim_record.h"

#include <algorithm>
#include <tuple>

namespace azuregw {
namespace {

// Returns the state of a claim at `now_ms`: a pending claim whose holder is overdue is unknown.
ClaimState StateAt(const Claim& claim, int64_t now_ms) {
  const bool overdue = now_ms >= claim.deadline_ms + kClaimMarginMs;
  return claim.state == ClaimState::kPending && overdue ? ClaimState::kUnknown : claim.state;
}

bool SameAnswer(const std::optional<RecordedAnswer>& a, const std::optional<RecordedAnswer>& b) {
  if (!a || !b) {
    return a.has_value() == b.has_value();
  }
  return std::tie(a->status, a->content_type, a->body, a->body_key, a->complete) ==
         std::tie(b->status, b->content_type, b->body, b->body_key, b->complete);
}

}  // namespace

bool operator==(const Claim& a, const Claim& b) {
  return std::tie(a.key_hash, a.fingerprint, a.claim_id, a.created_ms, a.deadline_ms, a.state) ==
             std::tie(b.key_hash, b.fingerprint, b.claim_id, b.created_ms, b.deadline_ms,
                      b.state) &&
         SameAnswer(a.answer, b.answer);
}

ClaimDecision EvaluateClaim(const Claim* existing, const Claim& request, int64_t now_ms) {
  if (existing == nullptr) {
    return ClaimDecision::kGranted;
  }
  const bool same_claim = existing->claim_id == request.claim_id;
  if (existing->state == ClaimState::kNotRun) {
    return same_claim ? ClaimDecision::kAbandoned : ClaimDecision::kGranted;
  }
  if (same_claim && existing->state == ClaimState::kPending) {
    return ClaimDecision::kGranted;
  }
  if (existing->fingerprint != request.fingerprint) {
    return ClaimDecision::kKeyReused;
  }
  switch (StateAt(*existing, now_ms)) {
    case ClaimState::kPending:
      return ClaimDecision::kInProgress;
    case ClaimState::kRun:
      return ClaimDecision::kAnswered;
    case ClaimState::kNotRun:
    case ClaimState::kUnknown:
      break;
  }
  return ClaimDecision::kUnknown;
}

const Claim* ClaimRecord::Find(const std::string& key_hash) const {
  const auto it = m_claims.find(key_hash);
  return it == m_claims.end() ? nullptr : &it->second;
}

const Claim* EffectiveClaim(const Claim* current, const Claim* sealed) {
  if (current == nullptr || sealed == nullptr) {
    return current == nullptr ? sealed : current;
  }
  const bool hides = current->state == ClaimState::kNotRun && current->claim_id != sealed->claim_id;
  return hides ? sealed : current;
}

ClaimDecision ClaimRecord::Apply(const Claim& request, const Claim* sealed, int64_t now_ms) {
  const Claim* existing = EffectiveClaim(Find(request.key_hash), sealed);
  const ClaimDecision decision = EvaluateClaim(existing, request, now_ms);
  const bool free = existing == nullptr || existing->state == ClaimState::kNotRun;
  if (decision == ClaimDecision::kGranted && free) {
    m_claims[request.key_hash] = request;
  }
  return decision;
}

bool ClaimRecord::ApplyOutcome(const Claim& outcome) {
  const auto it = m_claims.find(outcome.key_hash);
  if (it == m_claims.end()) {
    m_claims[outcome.key_hash] = outcome;
    return true;
  }
  Claim& claim = it->second;
  if (claim.claim_id != outcome.claim_id || claim.state == ClaimState::kRun) {
    return false;
  }
  const bool settles =
      claim.state == ClaimState::kPending ||
      (claim.state == ClaimState::kUnknown && outcome.state != ClaimState::kUnknown);
  if (!settles) {
    return false;
  }
  claim.state = outcome.state;
  claim.answer = outcome.answer;
  return true;
}

std::vector<GenerationRef> ClaimRecord::Expire(int64_t now_ms, int64_t retention_ms) {
  for (auto it = m_claims.begin(); it != m_claims.end();) {
    const Claim& claim = it->second;
    const bool tombstone_expired =
        claim.state == ClaimState::kNotRun && now_ms >= claim.deadline_ms + kClaimMarginMs;
    const bool claim_expired =
        now_ms >= claim.created_ms + retention_ms && StateAt(claim, now_ms) != ClaimState::kPending;
    it = tombstone_expired || claim_expired ? m_claims.erase(it) : std::next(it);
  }
  std::vector<GenerationRef> expired;
  const auto is_expired = [&](const GenerationRef& generation) {
    return now_ms >= generation.newest_ms + retention_ms;
  };
  std::copy_if(m_generations.begin(), m_generations.end(), std::back_inserter(expired), is_expired);
  m_generations.erase(std::remove_if(m_generations.begin(), m_generations.end(), is_expired),
                      m_generations.end());
  return expired;
}

ClaimRecord ClaimRecord::Settled(int64_t now_ms) const {
  ClaimRecord settled;
  for (const auto& [key_hash, claim] : m_claims) {
    const ClaimState state = StateAt(claim, now_ms);
    if (state == ClaimState::kRun || state == ClaimState::kUnknown) {
      Claim copy = claim;
      copy.state = state;
      settled.m_claims.emplace(key_hash, std::move(copy));
    }
  }
  return settled;
}

bool ClaimRecord::LinkGeneration(const GenerationRef& generation, const ClaimRecord& sealed,
                                 int64_t now_ms) {
  for (const auto& [key_hash, claim] : sealed.m_claims) {
    const Claim* current = Find(key_hash);
    if (current == nullptr || current->claim_id != claim.claim_id) {
      return false;
    }
  }
  for (const auto& [key_hash, claim] : sealed.m_claims) {
    const auto it = m_claims.find(key_hash);
    Claim current = it->second;
    current.state = StateAt(current, now_ms);
    // A claim whose outcome changed after the sealing stays here and takes precedence.
    if (current == claim) {
      m_claims.erase(it);
    }
  }
  m_generations.push_back(generation);
  return true;
}

}  // namespace azuregw
