// Store replies and sealed generations of the group commit.

#include <algorithm>
#include <cassert>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "azuregw/base/rendezvous.h"
#include "azuregw/orders/claim_batcher.h"

namespace azuregw {
namespace {

// The name depends on the content, so that a repeated write of it cannot replace another one.
std::string GenerationName(size_t number, const std::string& text) {
  char hash[17];
  std::snprintf(hash, sizeof(hash), "%016" PRIx64, StableHash(text));
  return std::to_string(number) + "-" + hash;
}

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
      ReturnBatch(false);
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
      // Unknown: written again, which conflicts if the first write took effect.
      if (reply.code != ResultCode::kKvOutcomeUnknown) {
        OnBodyWritten();
      }
      break;
    case Call::kWriteGeneration:
      // A conflict means that the same content stands there already.
      m_seal->written = reply.code == ResultCode::kOk || reply.code == ResultCode::kKvConflict;
      break;
    case Call::kSwap:
      OnSwapped(reply, now, wall_ms);
      break;
    case Call::kReadDoomed:
      OnDoomedRead(reply);
      break;
    case Call::kDelete:
      m_doomed_entry.reset();
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
      // A record that cannot be read must not be replaced: its claims would be forgotten.
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
    m_sealed.clear();
    m_misses.clear();
    m_lookup_key.clear();
  }
  m_record = std::move(record);
  m_revision = revision;
  m_record_bytes = bytes;
  m_loaded = true;
  m_confirmed = m_call_sequence;
  DropUnlistedFilters();
  if (bytes > m_options.seal_bytes && !m_seal) {
    StartSeal(wall_ms);
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

void ClaimBatcher::StartSeal(int64_t wall_ms) {
  Seal seal;
  seal.content = m_record.Settled(wall_ms);
  seal.text = seal.content.Encode();
  if (seal.text.size() < m_options.seal_bytes / 2) {
    return;  // Most of the record is pending; sealing would not make it much smaller.
  }
  for (const auto& [key_hash, claim] : seal.content.Claims()) {
    seal.ref.newest_ms = std::max(seal.ref.newest_ms, claim.created_ms);
  }
  seal.ref.name = GenerationName(m_record.Generations().size() + 1, seal.text);
  m_seal = std::move(seal);
}

std::optional<StoreCall> ClaimBatcher::ChooseGenerationRead() {
  const auto& generations = m_record.Generations();
  for (const GenerationRef& generation : generations) {
    if (m_filters.count(generation.name) == 0) {
      m_lookup_key.clear();
      return Read(Call::kReadGeneration, m_prefix + "/" + generation.name);
    }
  }
  for (const Waiting& waiting : m_claims) {
    const std::string& key_hash = waiting.claim.key_hash;
    const Claim* current = m_record.Find(key_hash);
    const bool shown = current != nullptr && current->state != ClaimState::kNotRun;
    if (!waiting.done || shown || m_sealed.count(key_hash) > 0) {
      continue;
    }
    if (m_lookup_key != key_hash) {
      m_lookup_key = key_hash;
      m_misses.clear();
    }
    for (auto it = generations.rbegin(); it != generations.rend(); ++it) {
      if (InFilter(it->name, key_hash) && m_misses.count(it->name) == 0) {
        return Read(Call::kReadGeneration, m_prefix + "/" + it->name);
      }
    }
    if (!m_misses.empty()) {
      m_sealed[key_hash] = std::nullopt;
    }
  }
  return std::nullopt;
}

bool ClaimBatcher::InFilter(const std::string& generation, const std::string& key_hash) const {
  const auto it = m_filters.find(generation);
  return it != m_filters.end() &&
         std::binary_search(it->second.begin(), it->second.end(), StableHash(key_hash));
}

const Claim* ClaimBatcher::Sealed(const std::string& key_hash) const {
  const auto it = m_sealed.find(key_hash);
  return it == m_sealed.end() || !it->second ? nullptr : &*it->second;
}

void ClaimBatcher::OnGenerationRead(const StoreReply& reply, TimePoint now) {
  // Without the generation a used key would look free, so claims wait until it can be read.
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
  constexpr size_t kMaxLookups = 1000;
  if (m_sealed.size() >= kMaxLookups) {
    m_sealed.clear();
  }
  if (const Claim* claim = decoded.value().Find(m_lookup_key)) {
    m_sealed[m_lookup_key] = *claim;
  } else {
    m_misses.insert(name);
  }
}

void ClaimBatcher::OnBodyRead(const StoreReply& reply) {
  for (Waiting& waiting : m_claims) {
    if (!waiting.done || !waiting.reads_body || waiting.existing->answer->body_key != m_call_key) {
      continue;
    }
    Claim claim = *waiting.existing;
    claim.answer->body_key.clear();
    claim.answer->complete = reply.entry.has_value();
    claim.answer->body = reply.entry ? DecodeAnswerBody(reply.entry->value) : "";
    waiting.reads_body = false;
    Finish(&waiting, ClaimDecision::kAnswered, &claim);
  }
}

void ClaimBatcher::OnBodyWritten() {
  for (Outcome& outcome : m_outcomes) {
    if (outcome.claim.answer && outcome.claim.answer->body_key == m_call_key) {
      outcome.body_value.clear();
    }
  }
}

void ClaimBatcher::OnSwapped(const StoreReply& reply, TimePoint now, int64_t wall_ms) {
  if (reply.code != ResultCode::kOk) {
    const bool unknown = reply.code == ResultCode::kKvOutcomeUnknown;
    ++(unknown ? m_counters.lost_replies : m_counters.conflicts);
    ReturnBatch(unknown);
    m_loaded = false;
    if (!unknown && reply.code != ResultCode::kKvConflict) {
      BackOff(now);
    }
    return;
  }
  if (m_links_seal) {
    m_filters[m_seal->ref.name] = KeyFilter(m_seal->content);
    m_seal.reset();
    ++m_counters.seals;
  }
  m_doomed.insert(m_doomed.end(), m_expired_keys.begin(), m_expired_keys.end());
  SetRecord(std::move(m_candidate), reply.revision, m_candidate_bytes, wall_ms);
  for (Waiting& waiting : m_claims) {
    if (std::exchange(waiting.in_batch, false) && waiting.done) {
      const std::optional<Claim> existing = waiting.existing;
      Finish(&waiting, waiting.decision, existing ? &*existing : nullptr);
    }
  }
  for (Outcome& outcome : m_outcomes) {
    if (outcome.in_batch) {
      m_callbacks.push_back(std::move(outcome.done));
    }
  }
  m_outcomes.erase(std::remove_if(m_outcomes.begin(), m_outcomes.end(),
                                  [](const Outcome& outcome) { return outcome.in_batch; }),
                   m_outcomes.end());
}

void ClaimBatcher::ReturnBatch(bool unknown) {
  for (Waiting& waiting : m_claims) {
    const bool added =
        std::exchange(waiting.in_batch, false) && waiting.decision == ClaimDecision::kGranted;
    waiting.maybe_written = waiting.maybe_written || (unknown && added);
  }
  for (Outcome& outcome : m_outcomes) {
    outcome.in_batch = false;
  }
}

void ClaimBatcher::OnDoomedRead(const StoreReply& reply) {
  m_doomed.pop_front();
  m_doomed_entry = reply.entry;
  if (!reply.entry) {
    return;
  }
  // A generation takes the bodies of its large answers with it.
  const Result<ClaimRecord> generation = ClaimRecord::Decode(reply.entry->value);
  if (!generation) {
    return;
  }
  for (const auto& [key_hash, claim] : generation.value().Claims()) {
    if (claim.answer && !claim.answer->body_key.empty()) {
      m_doomed.push_back(claim.answer->body_key);
    }
  }
}

}  // namespace azuregw
