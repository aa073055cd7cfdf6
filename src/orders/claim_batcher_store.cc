// Store replies and generations of the group commit.

#include <algorithm>
#include <cassert>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "azuregw/base/rendezvous.h"
#include "azuregw/orders/claim_batcher.h"

namespace azuregw {
namespace {

// Returns the name of a generation. It contains a hash of the content, so that a retried write
// cannot replace a different generation.
std::string GenerationName(size_t number, const std::string& text) {
  char hash[17];
  std::snprintf(hash, sizeof(hash), "%016" PRIx64, StableHash(text));
  return std::to_string(number) + "-" + hash;
}

// Returns the sorted hashes of the keys in a record.
std::vector<uint64_t> KeyFilter(const ClaimRecord& record) {
  std::vector<uint64_t> hashes;
  hashes.reserve(record.Size());
  for (const auto& [key_hash, claim] : record.Claims()) {
    hashes.push_back(StableHash(key_hash));
  }
  std::sort(hashes.begin(), hashes.end());
  return hashes;
}

}  // namespace

void ClaimBatcher::OnReply(const StoreReply& reply, TimePoint now, int64_t wall_ms) {
  const Call call = std::exchange(m_call, Call::kNone);
  assert(call != Call::kNone);
  if (reply.code == ResultCode::kKvUnavailable) {
    ++m_counters.unavailable;
    if (call == Call::kSwap) {
      RequeueBatch(false);
    }
    BackOff(now);
    return;
  }
  m_backoff = Milliseconds(0);
  switch (call) {
    case Call::kReadRecord:
      OnRecordRead(reply, now, wall_ms);
      break;
    case Call::kReadGeneration:
      OnGenerationRead(reply, now);
      break;
    case Call::kReadBody:
      OnBodyRead(reply);
      break;
    case Call::kWriteBody:
      // An unknown result leads to another write, which conflicts if the first one took effect.
      if (reply.code != ResultCode::kKvOutcomeUnknown) {
        OnBodyWritten();
      }
      break;
    case Call::kWriteGeneration:
      // A conflict means that the same content is stored already.
      m_new_generation->written =
          reply.code == ResultCode::kOk || reply.code == ResultCode::kKvConflict;
      break;
    case Call::kSwap:
      OnSwapped(reply, now, wall_ms);
      break;
    case Call::kReadObsolete:
      OnObsoleteRead(reply);
      break;
    case Call::kDelete:
      m_obsolete_entry.reset();
      break;
    case Call::kNone:
      break;
  }
  DropFinished();
}

void ClaimBatcher::BackOff(TimePoint now) {
  m_backoff = std::clamp(2 * m_backoff, m_options.first_backoff, m_options.max_backoff);
  m_not_before = now + m_backoff;
}

void ClaimBatcher::OnRecordRead(const StoreReply& reply, TimePoint now, int64_t wall_ms) {
  ClaimRecord record;
  uint64_t revision = 0;
  size_t bytes = 0;
  if (reply.entry) {
    Result<ClaimRecord> decoded = ClaimRecord::Decode(reply.entry->value);
    if (!decoded) {
      // An unreadable record must not be replaced, because its claims would be lost.
      m_loaded = false;
      BackOff(now);
      return;
    }
    record = std::move(decoded.value());
    revision = reply.entry->revision;
    bytes = reply.entry->value.size();
  }
  SetRecord(std::move(record), revision, bytes, wall_ms);
}

void ClaimBatcher::SetRecord(ClaimRecord record, uint64_t revision, size_t bytes, int64_t wall_ms) {
  const auto same_name = [](const GenerationRef& a, const GenerationRef& b) {
    return a.name == b.name;
  };
  const auto& before = m_record.Generations();
  const auto& after = record.Generations();
  if (!std::equal(before.begin(), before.end(), after.begin(), after.end(), same_name)) {
    m_sealed_claims.clear();
    m_misses.clear();
    m_lookup_key.clear();
  }
  m_record = std::move(record);
  m_revision = revision;
  m_record_bytes = bytes;
  m_loaded = true;
  m_confirmed_sequence = m_call_sequence;
  DropUnlistedFilters();
  if (bytes > m_options.seal_bytes && !m_new_generation) {
    StartNewGeneration(wall_ms);
  }
}

void ClaimBatcher::DropUnlistedFilters() {
  if (m_filters.size() <= m_record.Generations().size()) {
    return;
  }
  std::map<std::string, std::vector<uint64_t>> kept;
  for (const GenerationRef& generation : m_record.Generations()) {
    if (auto node = m_filters.extract(generation.name)) {
      kept.insert(std::move(node));
    }
  }
  m_filters = std::move(kept);
}

void ClaimBatcher::StartNewGeneration(int64_t wall_ms) {
  NewGeneration new_generation;
  new_generation.content = m_record.Settled(wall_ms);
  new_generation.text = new_generation.content.Encode();
  if (new_generation.text.size() < m_options.seal_bytes / 2) {
    return;  // Most of the record is pending; sealing would barely shrink it.
  }
  for (const auto& [key_hash, claim] : new_generation.content.Claims()) {
    new_generation.ref.newest_ms = std::max(new_generation.ref.newest_ms, claim.created_ms);
  }
  new_generation.ref.name = GenerationName(m_record.Generations().size() + 1, new_generation.text);
  m_new_generation = std::move(new_generation);
}

std::optional<StoreCall> ClaimBatcher::ChooseGenerationRead() {
  const auto& generations = m_record.Generations();
  for (const GenerationRef& generation : generations) {
    if (m_filters.count(generation.name) == 0) {
      m_lookup_key.clear();
      return Read(Call::kReadGeneration, m_prefix + "/" + generation.name);
    }
  }
  for (const PendingClaim& pending : m_claims) {
    const std::string& key_hash = pending.claim.key_hash;
    const Claim* current = m_record.Find(key_hash);
    const bool in_record = current != nullptr && current->state != ClaimState::kNotRun;
    if (!pending.done || in_record || m_sealed_claims.count(key_hash) > 0) {
      continue;
    }
    if (m_lookup_key != key_hash) {
      m_lookup_key = key_hash;
      m_misses.clear();
    }
    for (auto it = generations.rbegin(); it != generations.rend(); ++it) {
      if (FilterContains(it->name, key_hash) && m_misses.count(it->name) == 0) {
        return Read(Call::kReadGeneration, m_prefix + "/" + it->name);
      }
    }
    if (!m_misses.empty()) {
      m_sealed_claims[key_hash] = std::nullopt;
    }
  }
  return std::nullopt;
}

bool ClaimBatcher::FilterContains(const std::string& generation,
                                  const std::string& key_hash) const {
  const auto it = m_filters.find(generation);
  return it != m_filters.end() &&
         std::binary_search(it->second.begin(), it->second.end(), StableHash(key_hash));
}

const Claim* ClaimBatcher::FindSealedClaim(const std::string& key_hash) const {
  const auto it = m_sealed_claims.find(key_hash);
  return it == m_sealed_claims.end() || !it->second ? nullptr : &*it->second;
}

void ClaimBatcher::OnGenerationRead(const StoreReply& reply, TimePoint now) {
  // Claims wait until the generation can be read; without it, a used key would look free.
  if (!reply.entry) {
    m_loaded = false;
    BackOff(now);
    return;
  }
  const Result<ClaimRecord> decoded = ClaimRecord::Decode(reply.entry->value);
  if (!decoded) {
    BackOff(now);
    return;
  }
  const std::string name = m_call_key.substr(m_prefix.size() + 1);
  m_filters[name] = KeyFilter(decoded.value());
  if (m_lookup_key.empty()) {
    return;
  }
  constexpr size_t kMaxCachedLookups = 1000;
  if (m_sealed_claims.size() >= kMaxCachedLookups) {
    m_sealed_claims.clear();
  }
  if (const Claim* claim = decoded.value().Find(m_lookup_key)) {
    m_sealed_claims[m_lookup_key] = *claim;
  } else {
    m_misses.insert(name);
  }
}

void ClaimBatcher::OnBodyRead(const StoreReply& reply) {
  for (PendingClaim& pending : m_claims) {
    if (!pending.done || !pending.reading_body ||
        pending.existing->answer->body_key != m_call_key) {
      continue;
    }
    Claim claim = *pending.existing;
    claim.answer->body_key.clear();
    claim.answer->complete = reply.entry.has_value();
    claim.answer->body = reply.entry ? DecodeAnswerBody(reply.entry->value) : "";
    pending.reading_body = false;
    Finish(&pending, ClaimDecision::kAnswered, &claim);
  }
}

void ClaimBatcher::OnBodyWritten() {
  for (PendingOutcome& outcome : m_outcomes) {
    if (outcome.claim.answer && outcome.claim.answer->body_key == m_call_key) {
      outcome.body_value.clear();
    }
  }
}

void ClaimBatcher::OnSwapped(const StoreReply& reply, TimePoint now, int64_t wall_ms) {
  if (reply.code != ResultCode::kOk) {
    const bool unknown = reply.code == ResultCode::kKvOutcomeUnknown;
    ++(unknown ? m_counters.lost_replies : m_counters.conflicts);
    RequeueBatch(unknown);
    m_loaded = false;
    if (!unknown && reply.code != ResultCode::kKvConflict) {
      BackOff(now);
    }
    return;
  }
  if (m_links_new_generation) {
    m_filters[m_new_generation->ref.name] = KeyFilter(m_new_generation->content);
    m_new_generation.reset();
    ++m_counters.seals;
  }
  m_obsolete_keys.insert(m_obsolete_keys.end(), m_expired_keys.begin(), m_expired_keys.end());
  SetRecord(std::move(m_candidate), reply.revision, m_candidate_bytes, wall_ms);
  for (PendingClaim& pending : m_claims) {
    if (std::exchange(pending.in_batch, false) && pending.done) {
      const std::optional<Claim> existing = pending.existing;
      Finish(&pending, pending.decision, existing ? &*existing : nullptr);
    }
  }
  for (PendingOutcome& outcome : m_outcomes) {
    if (outcome.in_batch) {
      m_callbacks.push_back(std::move(outcome.done));
    }
  }
  m_outcomes.erase(std::remove_if(m_outcomes.begin(), m_outcomes.end(),
                                  [](const PendingOutcome& outcome) { return outcome.in_batch; }),
                   m_outcomes.end());
}

void ClaimBatcher::RequeueBatch(bool unknown) {
  for (PendingClaim& pending : m_claims) {
    const bool added =
        std::exchange(pending.in_batch, false) && pending.decision == ClaimDecision::kGranted;
    pending.maybe_written = pending.maybe_written || (unknown && added);
  }
  for (PendingOutcome& outcome : m_outcomes) {
    outcome.in_batch = false;
  }
}

void ClaimBatcher::OnObsoleteRead(const StoreReply& reply) {
  m_obsolete_keys.pop_front();
  m_obsolete_entry = reply.entry;
  if (!reply.entry) {
    return;
  }
  // The bodies of large answers are deleted together with their generation.
  const Result<ClaimRecord> generation = ClaimRecord::Decode(reply.entry->value);
  if (!generation) {
    return;
  }
  for (const auto& [key_hash, claim] : generation.value().Claims()) {
    if (claim.answer && !claim.answer->body_key.empty()) {
      m_obsolete_keys.push_back(claim.answer->body_key);
    }
  }
}

}  // namespace azuregw
