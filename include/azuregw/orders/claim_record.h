// The record of one shard of order claims, its JSON form and its rules.
//
// The current record of a shard is one value of the key-value service, changed by compare-and-swap
// only. Settled claims move from it into sealed generations, which never change.

#ifndef AZUREGW_ORDERS_CLAIM_RECORD_H_
#define AZUREGW_ORDERS_CLAIM_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

// Time after a claim's deadline at which a claim without outcome is reported as unknown. It covers
// clock differences between instances and the time in which a live holder writes its outcome.
constexpr int64_t kClaimMarginMs = 10000;

// Answers up to this size are kept in the record; larger ones have their own key.
constexpr size_t kInlineAnswerBytes = 2048;

// An answer whose stored form is larger is not kept; values of the store end at 1 MB.
constexpr size_t kMaxAnswerBytes = size_t{700} * 1024;

enum class ClaimState { kPending = 0, kRun = 1, kNotRun = 2, kUnknown = 3 };

struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;      // Empty when `body_key` is set.
  std::string body_key;  // Key of the value that holds the body; empty: inline.
  bool complete = true;  // False when the body was too large to be kept.
};

// A claim of one order, or its outcome. The pair (key_hash, claim_id) names one dispatch.
struct Claim {
  std::string key_hash;     // Over workspace, service and idempotency key.
  std::string fingerprint;  // Over method, path, content type and body.
  std::string claim_id;     // Unique for one dispatch in one process.
  int64_t created_ms = 0;   // Wall time.
  int64_t deadline_ms = 0;  // Wall time; the holder starts no dispatch after it.
  ClaimState state = ClaimState::kPending;
  std::optional<RecordedAnswer> answer;  // Only for kRun.
};

bool operator==(const Claim& a, const Claim& b);

enum class ClaimDecision {
  kGranted,      // This claim id holds the key and has no outcome yet.
  kInProgress,   // Another claim holds the key and may still run.
  kAnswered,     // The key ran; the answer is recorded.
  kUnknown,      // The key may have run; its holder left no outcome.
  kKeyReused,    // The key was used with another request.
  kAbandoned,    // This claim id was given up and must not be dispatched.
  kUnavailable,  // No claim could be made in time.
};

// What a request that brings `request` gets when `existing` (null: none) stands for its key.
// kGranted with a null or not_run `existing` means that the claim may be added.
ClaimDecision EvaluateClaim(const Claim* existing, const Claim& request, int64_t now_ms);

// The claim that stands for a key, of the one in the current record and the one in the newest
// generation that has it (null: none). A not_run mark must not hide another claim that was sealed,
// else the key could run again.
const Claim* EffectiveClaim(const Claim* current, const Claim* sealed);

// Reference to a sealed generation.
struct GenerationRef {
  std::string name;       // Last part of its key.
  int64_t newest_ms = 0;  // Creation time of its newest claim.
};

class ClaimRecord {
 public:
  // Errors: kMalformedJson.
  static Result<ClaimRecord> Decode(std::string_view text);
  std::string Encode() const;

  // Null when the key has no claim here.
  const Claim* Find(const std::string& key_hash) const;
  size_t Size() const { return m_claims.size(); }
  const std::vector<GenerationRef>& Generations() const { return m_generations; }
  const std::map<std::string, Claim>& Claims() const { return m_claims; }

  // Adds `request` when the key is free; returns the verdict for it. `sealed` is the key's claim in
  // the newest generation that has it (null: none).
  ClaimDecision Apply(const Claim& request, const Claim* sealed, int64_t now_ms);

  // Enters an outcome of the claim id that holds the key; keeps not_run of an absent claim as a
  // mark, so that a delayed swap cannot make it pending. Returns whether the record changed.
  bool ApplyOutcome(const Claim& outcome);

  // Drops claims older than the retention and not_run marks that no swap in progress can need.
  // Returns the generations that have expired and are no longer listed.
  std::vector<GenerationRef> Expire(int64_t now_ms, int64_t retention_ms);

  // The settled claims as a record of their own; abandoned pending claims become unknown.
  ClaimRecord Settled(int64_t now_ms) const;

  // Lists the generation and drops the claims that it holds. Returns false and changes nothing when
  // one of them is no longer here, because another process has sealed it.
  bool LinkGeneration(const GenerationRef& generation, const ClaimRecord& sealed, int64_t now_ms);

 private:
  std::map<std::string, Claim> m_claims;     // By key hash.
  std::vector<GenerationRef> m_generations;  // Oldest first.
};

// Form of an answer body under its own key; values of the store must be UTF-8.
std::string EncodeAnswerBody(const std::string& body);
std::string DecodeAnswerBody(const std::string& value);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_RECORD_H_
