// Group commit of the claims and outcomes of one shard.
//
// One store call is in progress at a time. Claims and outcomes that arrive meanwhile go together
// into the next swap. The class performs no I/O: its owner asks for the next store call, makes it
// and hands back the reply. Not thread-safe; calls of one object are serialized by its owner.
//
// - A swap that conflicts is followed by a read, and the claims are judged again.
// - A swap whose reply is lost is followed by a read that looks for the claim ids.
// - While the store is unavailable, claims wait until their deadline and are then refused.
//
// A refused claim may still take effect in the store. Only its submitter may record not_run for it,
// because only the submitter knows that it will never be dispatched.

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

struct ClaimReply {
  ClaimDecision decision = ClaimDecision::kUnavailable;
  std::optional<Claim> existing;  // The claim that stands for the key, when it is not ours.
  // For a verdict other than kGranted: the claim may be, or become, pending in the record. The
  // submitter then records not_run for it.
  bool maybe_written = false;
};

using ClaimCallback = std::function<void(ClaimReply)>;
using RecordCallback = std::function<void()>;

struct BatcherOptions {
  int64_t retention_ms = 86400000;
  size_t seal_bytes = size_t{256} * 1024;       // Size above which settled claims are sealed.
  size_t max_batch = 1000;                      // Claims and outcomes in one swap.
  size_t max_batch_bytes = size_t{256} * 1024;  // Of claims and outcomes in one swap.
  Milliseconds swap_interval{0};  // Between swaps with claims; bounds the writes of a busy shard.
  Milliseconds outcome_linger{100};  // Time for which an outcome waits for a claim to go with.
  Milliseconds first_backoff{20};    // After a call that found the store unavailable; doubles.
  Milliseconds max_backoff{500};
};

struct StoreCall {
  enum class Kind { kRead, kWrite, kDelete };
  Kind kind = Kind::kRead;
  std::string key;
  uint64_t expected = 0;  // For kWrite (0: the key must be absent) and kDelete.
  std::string value;      // For kWrite.
};

struct StoreReply {
  ResultCode code = ResultCode::kOk;
  std::optional<KvEntry> entry;  // For kRead; nullopt: absent.
  uint64_t revision = 0;         // For kWrite.
};

struct BatcherCounters {
  uint64_t swaps = 0;  // Writes of the current record, successful or not.
  uint64_t conflicts = 0;
  uint64_t lost_replies = 0;
  uint64_t unavailable = 0;
  uint64_t calls = 0;  // Store calls of any kind.
  uint64_t written_bytes = 0;
  uint64_t seals = 0;
};

class ClaimBatcher {
 public:
  // `prefix` is the shard's key, such as "azuregw/orders/17".
  ClaimBatcher(std::string prefix, BatcherOptions options);

  // Queues a claim. `done` runs exactly once, at `deadline` at the latest provided that Expire is
  // called then.
  void Submit(Claim claim, TimePoint deadline, TimePoint now, ClaimCallback done);

  // Queues an outcome, which is retried until it is written; then `done` runs.
  void Record(Claim outcome, TimePoint now, RecordCallback done);

  // The store call to be made now. Nullopt: nothing to do, a call in progress, or waiting until
  // NextWake.
  std::optional<StoreCall> NextCall(TimePoint now, int64_t wall_ms);

  // The reply of the call that NextCall returned last.
  void OnReply(const StoreReply& reply, TimePoint now, int64_t wall_ms);

  // Refuses claims whose deadline has passed, also while a call is in progress.
  void Expire(TimePoint now, int64_t wall_ms);

  // Callbacks that are due. The owner runs them without holding its lock.
  std::vector<std::function<void()>> TakeCallbacks();

  // Time of the next deadline, linger or back-off; nullopt when nothing waits.
  std::optional<TimePoint> NextWake() const;

  // Writes queued outcomes without waiting for claims from now on.
  void FlushOutcomes() { m_flushing = true; }
  void SetRetention(int64_t retention_ms) { m_options.retention_ms = retention_ms; }

  bool Idle() const { return m_claims.empty() && m_outcomes.empty() && m_call == Call::kNone; }
  size_t UnwrittenOutcomes() const { return m_outcomes.size(); }
  const BatcherCounters& Counters() const { return m_counters; }

 private:
  struct Waiting {
    Claim claim;
    TimePoint deadline;
    TimePoint arrived;
    uint64_t sequence = 0;
    ClaimCallback done;          // Null after the reply.
    bool maybe_written = false;  // The reply of a swap that adds the claim was lost.
    bool in_batch = false;
    ClaimDecision decision = ClaimDecision::kUnavailable;  // In the batch in progress.
    std::optional<Claim> existing;                         // Belongs to `verdict`.
    bool reads_body = false;  // The verdict is final, and the body of the answer is being read.
  };

  struct Outcome {
    Claim claim;
    TimePoint arrived;
    uint64_t sequence = 0;
    RecordCallback done;
    std::string body_value;  // Not yet stored body of a large answer.
    bool in_batch = false;
  };

  // Settled claims on their way into a generation.
  struct Seal {
    ClaimRecord content;
    std::string text;
    GenerationRef ref;
    bool written = false;
  };

  enum class Call {
    kNone,
    kReadRecord,
    kReadGeneration,
    kReadBody,
    kWriteBody,
    kWriteGeneration,
    kSwap,
    kReadDoomed,
    kDelete
  };

  // claim_batcher.cc: queues and decisions.
  std::optional<StoreCall> Choose(TimePoint now, int64_t wall_ms);
  bool ClaimsDue(TimePoint now) const;
  bool OutcomesDue(TimePoint now) const;
  TimePoint NextSwap() const { return m_last_swap + m_options.swap_interval; }
  void AnswerFromRecord(int64_t wall_ms);
  std::optional<StoreCall> BuildSwap(TimePoint now, int64_t wall_ms);
  bool ApplyOutcomes(size_t* bytes);
  bool ApplyClaims(int64_t wall_ms, size_t bytes);
  bool MayBeWritten(const Waiting& waiting) const;
  void LinkSeal(int64_t wall_ms);
  bool NeedsConfirmation() const;
  void FinishConfirmedOutcomes();
  void Finish(Waiting* waiting, ClaimDecision decision, const Claim* existing);
  void DropFinished();
  StoreCall Read(Call call, std::string key);
  StoreCall Write(Call call, std::string key, uint64_t expected, std::string value);

  // claim_batcher_store.cc: store replies and generations.
  std::optional<StoreCall> ChooseGenerationRead();
  const Claim* Sealed(const std::string& key_hash) const;
  bool InFilter(const std::string& generation, const std::string& key_hash) const;
  void DropUnlistedFilters();
  void StartSeal(int64_t wall_ms);
  void OnRecordRead(const StoreReply& reply, TimePoint now, int64_t wall_ms);
  void SetRecord(ClaimRecord record, uint64_t revision, size_t bytes, int64_t wall_ms);
  void OnGenerationRead(const StoreReply& reply, TimePoint now);
  void OnBodyRead(const StoreReply& reply);
  void OnBodyWritten();
  void OnSwapped(const StoreReply& reply, TimePoint now, int64_t wall_ms);
  void ReturnBatch(bool unknown);
  void OnDoomedRead(const StoreReply& reply);
  void BackOff(TimePoint now);

  const std::string m_prefix;
  BatcherOptions m_options;
  BatcherCounters m_counters;

  std::deque<Waiting> m_claims;
  std::deque<Outcome> m_outcomes;
  std::vector<std::function<void()>> m_callbacks;
  uint64_t m_sequence = 0;  // Of the last claim or outcome that was queued.

  // Committed content of the current record; only replaced by a read or a confirmed swap.
  ClaimRecord m_record;
  uint64_t m_revision = 0;
  size_t m_record_bytes = 0;
  bool m_loaded = false;
  uint64_t m_confirmed = 0;  // Items up to this sequence arrived before m_record was confirmed.

  // Sorted hashes of the keys in each listed generation that has been read.
  std::map<std::string, std::vector<uint64_t>> m_filters;
  // Keys whose hash is in a filter and that were looked up; nullopt: in no generation after all.
  // Cleared when the list of generations changes.
  std::map<std::string, std::optional<Claim>> m_sealed;
  std::string m_lookup_key;        // Key for which generations are being read.
  std::set<std::string> m_misses;  // Generations that turned out not to hold m_lookup_key.

  Call m_call = Call::kNone;
  std::string m_call_key;
  uint64_t m_call_sequence = 0;  // Value of m_sequence when the call was made.
  ClaimRecord m_candidate;       // Content of the swap in progress.
  size_t m_candidate_bytes = 0;
  size_t m_applied_outcomes = 0;  // Outcomes that m_candidate includes, from the oldest.
  bool m_links_seal = false;
  std::vector<std::string> m_expired_keys;  // To be deleted when the swap has succeeded.

  std::optional<Seal> m_seal;
  std::deque<std::string> m_doomed;  // Keys to be deleted; a failed deletion is not repeated.
  std::optional<KvEntry> m_doomed_entry;
  TimePoint m_last_swap{};  // Start of the last swap with claims.
  TimePoint m_not_before{};
  Milliseconds m_backoff{0};
  bool m_flushing = false;
};

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_BATCHER_H_
