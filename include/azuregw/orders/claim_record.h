// Record of the order claims of one shard: its state transitions and its JSON form.

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

// Delay after its deadline until a claim without an outcome counts as unknown. Covers clock
// differences between instances and the time that a live holder needs to write its outcome.
constexpr int64_t kClaimMarginMs = 10000;

// Maximum body size of an answer kept in the record; larger bodies are stored under their own key.
constexpr size_t kInlineAnswerBytes = 2048;

// Maximum encoded size of a stored body; larger ones are dropped. The store limits values to 1 MB.
constexpr size_t kMaxAnswerBytes = size_t{700} * 1024;

// State of a claim. The numbers are stored in the record.
enum class ClaimState { kPending = 0, kRun = 1, kNotRun = 2, kUnknown = 3 };

// Answer of a service that is replayed to requests with the same idempotency key.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;      // Empty if `body_key` is set.
  std::string body_key;  // Store key of the body; empty if the body is inline.
  bool complete = true;  // False if the body was too large to keep.
};

// Claim of an order's idempotency key, or the outcome of the order. The pair (key_hash, claim_id)
// identifies one order dispatched by one process.
struct Claim {
  std::string key_hash;     // Hash of workspace, service and idempotency key.
  std::string fingerprint;  // Hash of method, path, content type and body.
  std::string claim_id;     // Unique ID of one request in one process.
  int64_t created_ms = 0;   // Wall-clock time of creation.
  int64_t deadline_ms = 0;  // Wall-clock time after which the holder starts no dispatch.
  ClaimState state = ClaimState::kPending;
  std::optional<RecordedAnswer> answer;  // Set only in state kRun.
};

bool operator==(const Claim& a, const Claim& b);

// Result of evaluating a claim against the record.
enum class ClaimDecision {
  kGranted,      // This claim ID holds the key and has no outcome yet.
  kInProgress,   // Another claim holds the key and may still run.
  kAnswered,     // The order ran, and its answer is recorded.
  kUnknown,      // The order may have run; its holder left no outcome.
  kKeyReused,    // The key was used with a different request.
  kAbandoned,    // This claim ID was abandoned and must not be dispatched.
  kUnavailable,  // No claim could be made before the deadline.
};

// Returns the decision for `request` when `existing` (null: none) is the effective claim of its
// key. kGranted with a null or not_run `existing` means that the claim may be added.
ClaimDecision EvaluateClaim(const Claim* existing, const Claim& request, int64_t now_ms);

// Returns the effective claim of a key, given its claims in the current record and in the newest
// generation that holds the key (null: none). A not_run tombstone does not hide a sealed claim with
// another ID; otherwise the order could run again.
const Claim* EffectiveClaim(const Claim* current, const Claim* sealed);

// Reference to a sealed generation.
struct GenerationRef {
  std::string name;       // Last component of the generation's store key.
  int64_t newest_ms = 0;  // Wall-clock creation time of the newest claim in it.
};

// Claims of one shard.
//
// The current record of a shard is one value in the key-value store and changes only by
// compare-and-swap. Settled claims move from it into sealed generations, which never change.
class ClaimRecord {
 public:
  // Parses the JSON form. Errors: kMalformedJson.
  static Result<ClaimRecord> Decode(std::string_view text);
  std::string Encode() const;

  // Returns the claim of a key in this record; null if there is none.
  const Claim* Find(const std::string& key_hash) const;
  size_t Size() const { return m_claims.size(); }
  const std::vector<GenerationRef>& Generations() const { return m_generations; }
  const std::map<std::string, Claim>& Claims() const { return m_claims; }

  // Adds `request` if the key is free and returns the decision for it. `sealed` is the key's claim
  // in the newest generation that holds the key (null: none).
  ClaimDecision Apply(const Claim& request, const Claim* sealed, int64_t now_ms);

  // Applies an outcome if its claim ID holds the key. For a key without a claim, adds the outcome:
  // not_run then is a tombstone that keeps a delayed swap from making the claim pending. Returns
  // whether the record changed.
  bool ApplyOutcome(const Claim& outcome);

  // Drops claims older than the retention, and not_run tombstones that no swap in progress can
  // need. Removes expired generations from the list and returns them.
  std::vector<GenerationRef> Expire(int64_t now_ms, int64_t retention_ms);

  // Returns a record of the settled claims only; overdue pending claims become unknown.
  ClaimRecord Settled(int64_t now_ms) const;

  // Lists the generation and drops the claims that it holds. Returns false without a change if one
  // of the claims is missing here because another process has sealed it.
  bool LinkGeneration(const GenerationRef& generation, const ClaimRecord& sealed, int64_t now_ms);

 private:
  std::map<std::string, Claim> m_claims;     // Claims by key hash.
  std::vector<GenerationRef> m_generations;  // Listed generations, oldest first.
};

// Converts an answer body to and from the form stored under its own key. Store values are UTF-8.
std::string EncodeAnswerBody(const std::string& body);
std::string DecodeAnswerBody(const std::string& value);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_RECORD_H_
