// Group commit of the claims and outcomes of one shard.

#ifndef AZUREGW_ORDERS_CLAIM_BATCHER_H_
#define AZUREGW_ORDERS_CLAIM_BATCHER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/orders/claim_record.h"

namespace azuregw {

// Result of a submitted claim.
struct ClaimReply {
  ClaimDecision decision = ClaimDecision::kUnavailable;
  // Effective claim of the key if it has another claim ID; also set for kAnswered.
  std::optional<Claim> existing;
  // True if the claim was not granted but is, or may become, pending in the record. The submitter
  // must then record not_run for it.
  bool maybe_written = false;
};

using ClaimCallback = std::function<void(ClaimReply)>;
using RecordCallback = std::function<void()>;

// Limits and intervals of a ClaimBatcher.
struct BatcherOptions {
  int64_t retention_ms = 86400000;         // Time for which a claim is kept after its creation.
  size_t seal_bytes = size_t{256} * 1024;  // Record size above which settled claims are sealed.
  size_t max_batch = 1000;                 // Maximum number of claims, and of outcomes, in a swap.
  size_t max_batch_bytes = size_t{256} * 1024;  // Maximum size of the items added by one swap.
  // Minimum interval between swaps that add claims; limits the write rate of a busy shard.
  Milliseconds swap_interval{0};
  Milliseconds outcome_linger{100};  // Time for which an outcome waits to share a swap with claims.
  // Delay after a call that finds the store unavailable; doubles with each consecutive failure.
  Milliseconds first_backoff{20};
  Milliseconds max_backoff{500};  // Upper limit of the doubled delay.
};

// Call to the key-value store that the owner of a batcher makes on its behalf.
struct StoreCall {
  enum class Kind { kRead, kWrite, kDelete };
  Kind kind = Kind::kRead;
  std::string key;
  uint64_t expected = 0;  // Expected revision for kWrite (0: key must be absent) and kDelete.
  std::string value;      // Value to write; only for kWrite.
};

// Reply to a StoreCall.
struct StoreReply {
  ResultCode code = ResultCode::kOk;
  std::optional<KvEntry> entry;  // Entry found by kRead; nullopt if the key is absent.
  uint64_t revision = 0;         // Revision created by kWrite.
};

// Totals since the batcher was created.
struct BatcherCounters {
  uint64_t swaps = 0;          // Writes of the current record, successful or not.
  uint64_t conflicts = 0;      // Swaps that failed because the record had changed.
  uint64_t lost_replies = 0;   // Swaps whose result is unknown.
  uint64_t unavailable = 0;    // Calls that found the store unavailable.
  uint64_t calls = 0;          // Store calls of any kind.
  uint64_t written_bytes = 0;  // Total size of the written values.
  uint64_t seals = 0;          // New generations that a swap added to the record's list.
};

// Batches the claims and outcomes of one shard into compare-and-swaps of its record.
//
// One store call is in progress at a time. Claims and outcomes that arrive meanwhile share the next
// swap. The class performs no I/O: its owner asks for the next store call, makes it and passes the
// reply back. Not thread-safe; the owner serializes all calls.
//
// - After a swap conflicts, the record is read and the claims are evaluated again.
// - After the reply to a swap is lost, the record is read and searched for the claim IDs.
// - While the store is unavailable, claims wait until their deadline and are then refused.
//
// A refused claim may still take effect in the store. Only its submitter may record not_run for it,
// because only the submitter knows that it will never be dispatched.
class ClaimBatcher {
 public:
  // `prefix` is the key of the shard's record, such as "azuregw/orders/17".
  ClaimBatcher(std::string prefix, BatcherOptions options);

  // Queues a claim. `done` runs exactly once, no later than `deadline` if Expire is called then.
  void Submit(Claim claim, TimePoint deadline, TimePoint now, ClaimCallback done);

  // Queues an outcome and retries it until it is written; then `done` runs.
  void Record(Claim outcome, TimePoint now, RecordCallback done);

  // Returns the store call to make now; nullopt if nothing is queued, a call is in progress, or
  // nothing is due before NextWake.
  std::optional<StoreCall> NextCall(TimePoint now, int64_t wall_ms);

  // Processes the reply to the last call that NextCall returned.
  void OnReply(const StoreReply& reply, TimePoint now, int64_t wall_ms);

  // Refuses claims whose deadline has passed, even while a call is in progress.
  void Expire(TimePoint now, int64_t wall_ms);

  // Returns and removes the callbacks that are due. The owner runs them without holding its lock.
  std::vector<std::function<void()>> TakeCallbacks();

  // Returns when the next deadline, linger or backoff ends; nullopt if nothing is queued.
  std::optional<TimePoint> NextWake() const;

  // Makes current and later outcomes due immediately, without waiting for claims.
  void FlushOutcomes() { m_flushing = true; }
  void SetRetention(int64_t retention_ms) { m_options.retention_ms = retention_ms; }

  bool Idle() const { return m_claims.empty() && m_outcomes.empty() && m_call == Call::kNone; }
  size_t UnwrittenOutcomes() const { return m_outcomes.size(); }
  const BatcherCounters& Counters() const { return m_counters; }

 private:
  struct PendingClaim {
    Claim claim;
    TimePoint deadline;
    TimePoint arrived;
    uint64_t sequence = 0;       // Arrival number, shared with outcomes.
    ClaimCallback done;          // Null once the claim has been answered.
    bool maybe_written = false;  // True if the reply to a swap that adds the claim was lost.
    bool in_batch = false;       // True if the swap in progress includes the claim.
    ClaimDecision decision = ClaimDecision::kUnavailable;  // Result if the swap succeeds.
    std::optional<Claim> existing;                         // Claim that led to `decision`.
    bool reading_body = false;  // True while the body of the known answer is read.
  };

  struct PendingOutcome {
    Claim claim;
    TimePoint arrived;
    uint64_t sequence = 0;  // Arrival number, shared with claims.
    RecordCallback done;
    std::string body_value;  // Encoded body of a large answer; empty once it is stored.
    bool in_batch = false;   // True if the swap in progress includes the outcome.
  };

  // Generation of settled claims that the record does not list yet.
  struct NewGeneration {
    ClaimRecord content;
    std::string text;
    GenerationRef ref;
    bool written = false;  // True once the generation is stored under its own key.
  };

  enum class Call {
    kNone,
    kReadRecord,
    kReadGeneration,
    kReadBody,
    kWriteBody,
    kWriteGeneration,
    kSwap,
    kReadObsolete,
    kDelete
  };

  // Queues and decisions (claim_batcher.cc).
  std::optional<StoreCall> ChooseCall(TimePoint now, int64_t wall_ms);
  bool ClaimsDue(TimePoint now) const;
  bool OutcomesDue(TimePoint now) const;
  TimePoint NextSwapTime() const { return m_last_swap + m_options.swap_interval; }
  void AnswerFromRecord(int64_t wall_ms);
  std::optional<StoreCall> BuildSwap(TimePoint now, int64_t wall_ms);
  bool ApplyOutcomes(size_t* bytes);
  bool ApplyClaims(int64_t wall_ms, size_t bytes);
  bool MayBeWritten(const PendingClaim& pending) const;
  void LinkNewGeneration(int64_t wall_ms);
  bool NeedsConfirmation() const;
  void FinishConfirmedOutcomes();
  void Finish(PendingClaim* pending, ClaimDecision decision, const Claim* existing);
  void DropFinished();
  StoreCall Read(Call call, std::string key);
  StoreCall Write(Call call, std::string key, uint64_t expected, std::string value);

  // Store replies and generations (claim_batcher_store.cc).
  std::optional<StoreCall> ChooseGenerationRead();
  const Claim* FindSealedClaim(const std::string& key_hash) const;
  bool FilterContains(const std::string& generation, const std::string& key_hash) const;
  void DropUnlistedFilters();
  void StartNewGeneration(int64_t wall_ms);
  void OnRecordRead(const StoreReply& reply, TimePoint now, int64_t wall_ms);
  void SetRecord(ClaimRecord record, uint64_t revision, size_t bytes, int64_t wall_ms);
  void OnGenerationRead(const StoreReply& reply, TimePoint now);
  void OnBodyRead(const StoreReply& reply);
  void OnBodyWritten();
  void OnSwapped(const StoreReply& reply, TimePoint now, int64_t wall_ms);
  void RequeueBatch(bool unknown);
  void OnObsoleteRead(const StoreReply& reply);
  void BackOff(TimePoint now);

  const std::string m_prefix;
  BatcherOptions m_options;
  BatcherCounters m_counters;

  std::deque<PendingClaim> m_claims;
  std::deque<PendingOutcome> m_outcomes;
  std::vector<std::function<void()>> m_callbacks;
  uint64_t m_sequence = 0;  // Arrival number of the last queued claim or outcome.

  // Last known content of the current record; replaced only by a read or a successful swap.
  ClaimRecord m_record;
  uint64_t m_revision = 0;
  size_t m_record_bytes = 0;
  bool m_loaded = false;  // False if m_record must be read before the next swap.
  // Arrival number of the last item queued before the call that confirmed m_record.
  uint64_t m_confirmed_sequence = 0;

  // Sorted hashes of the keys in each listed generation, by its name; absent until it is read.
  std::map<std::string, std::vector<uint64_t>> m_filters;
  // Cached lookups of keys whose hash is in a filter; nullopt if no generation holds the key.
  // Cleared when the list of generations changes.
  std::map<std::string, std::optional<Claim>> m_sealed_claims;
  std::string m_lookup_key;        // Key hash being looked up in generations.
  std::set<std::string> m_misses;  // Generations that do not hold m_lookup_key.

  Call m_call = Call::kNone;     // Call in progress.
  std::string m_call_key;        // Store key of the last call.
  uint64_t m_call_sequence = 0;  // Value of m_sequence when the last call was made.
  ClaimRecord m_candidate;       // Record written by the swap in progress.
  size_t m_candidate_bytes = 0;
  size_t m_applied_outcomes = 0;        // Number of the oldest outcomes that m_candidate includes.
  bool m_links_new_generation = false;  // True if the swap in progress lists m_new_generation.
  std::vector<std::string> m_expired_keys;  // Keys to delete once the swap succeeds.

  std::optional<NewGeneration> m_new_generation;
  std::deque<std::string> m_obsolete_keys;  // Keys to delete; a failed deletion is not retried.
  std::optional<KvEntry> m_obsolete_entry;  // Entry read for deletion.
  TimePoint m_last_swap{};                  // Start of the last swap that added claims.
  TimePoint m_not_before{};   // End of the current backoff; no call is made before it.
  Milliseconds m_backoff{0};  // Length of the last backoff; 0 after a call that reached the store.
  bool m_flushing = false;    // True if outcomes are written without linger.
};

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_BATCHER_H_
