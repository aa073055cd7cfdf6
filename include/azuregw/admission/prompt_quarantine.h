// Finds the prompt parts and the whole requests that crash upstreams, and blocks them.
//
// Decision module: no I/O, single-threaded. Load patterns: requests that share one part of their
// prompts reach all instances, and each engine that begins an answer to one of them exits; or one
// request, of any kind, comes again with the same caller, target and body, and each upstream that
// begins to run it exits. The crash also aborts the unrelated requests of that upstream, so a
// single one identifies nothing. In the following, a request is one more part of itself.
//
// Evidence: a crash counts against all shared parts of the requests that had just begun at the
// engine. It counts until an answer to a prompt with the same part is written. Crashes that one
// quarantined part explains do not count against others. The evidence of all instances is merged
// (PromptEvidence); merging is idempotent and does not depend on the order, so any instance can
// relay it and a new leader rebuilds it from the followers. A part that one instance quarantines is
// quarantined by all.
//
// Whole requests differ in three ways. They come alone and seldom, so fewer crashes must suffice,
// however often upstreams exit otherwise. Those that crashed the same upstreams cannot be told
// apart and are all quarantined; this costs their callers only. And one under which an upstream has
// exited is sent to one upstream at a time.

#ifndef AZUREGW_ADMISSION_PROMPT_QUARANTINE_H_
#define AZUREGW_ADMISSION_PROMPT_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Identifies a prompt part of one service: a truncated SHA-256, because callers choose the names.
using PartId = uint64_t;
PartId MakePartId(std::string_view service, std::string_view part);
// Identifies a whole request, whichever instance receives it: its service, the key of its caller,
// method, target and body.
PartId MakeRequestPartId(std::string_view service, std::string_view key, std::string_view method,
                         std::string_view target, std::string_view body);
// Returns whether the ID was made by MakeRequestPartId().
bool IsRequestPart(PartId part);
// Returns the ID as 16 hexadecimal digits, for logs.
std::string PartName(PartId part);

// Identifies one run of an engine process; changes with each restart.
using ProcessId = uint64_t;
ProcessId MakeProcessId(std::string_view upstream, int64_t started_ms);

// An engine process that exited while it began an answer to a prompt with `part`.
struct CrashReport {
  PartId part = 0;
  ProcessId process = 0;
  Milliseconds age{0};
};

// The last answer that was written to a prompt with `part`.
struct AnswerReport {
  PartId part = 0;
  Milliseconds age{0};
};

// Evidence as exchanged between instances.
struct PromptEvidence {
  std::vector<CrashReport> crashes;
  std::vector<AnswerReport> answers;
  std::vector<PartId> quarantined;  // Parts that any instance has quarantined.
};

// Evidence of all instances as known to this one, and the parts that follow from it.
class PromptQuarantine {
 public:
  // Limits of the consecutive crashes after which a part is quarantined. While engines exit often,
  // more are needed, so that the probability that they hit a sound part is at most kFalseBlame. The
  // upper limit also holds for parts with a recent answer.
  static constexpr int kMinCrashes = 3;
  static constexpr int kMaxCrashes = 5;
  static constexpr double kFalseBlame = 3e-4;
  // Crashes from which on a part is suspected.
  static constexpr int kMinSuspectCrashes = 2;
  // An answer proves its parts for this long.
  static constexpr Milliseconds kProofTtl{30000};
  // Crashes within this time count once: engines that exit together have a cause of their own, such
  // as the loss of a failure domain.
  static constexpr Milliseconds kMinCrashInterval{20};
  // Lifetime of a crash, and of the record of the last answer.
  static constexpr Milliseconds kEvidenceTtl{1800000};
  static constexpr Milliseconds kAnswerTtl{60000};
  // Delay from the last crash to the first trial of a quarantined part. It grows fourfold with each
  // failed trial, up to kMaxTrialDelay.
  static constexpr Milliseconds kTrialDelay{20000};
  // The same for a part that had a recent answer before its first crash.
  static constexpr Milliseconds kTrialDelayProven{2000};
  static constexpr Milliseconds kMaxTrialDelay{600000};
  // A trial without a result allows the next one after this time.
  static constexpr Milliseconds kTrialTimeout{30000};
  // Crashes of a whole request beyond kMinCrashes, trials included, after which it is not tried
  // again until its evidence expires or is lifted.
  static constexpr int kMaxRequestTrials = 3;
  // A whole request under which an upstream has exited blocks its repetitions here for this long,
  // or until it ends.
  static constexpr Milliseconds kProbeTimeout{3000};
  // A crash counts against prompts whose answers had at most this many events.
  static constexpr int kMaxEventsAtCrash = 1;
  // An answer with this many events, or a complete one, proves the parts of its prompt.
  static constexpr int kProofEvents = 4;

  // A quarantined part that blocks a request.
  struct Block {
    PartId part = 0;
    Milliseconds retry_after{0};  // Time until the next trial.
  };

  // Records that an answer to a prompt with `parts` reached kProofEvents or its end.
  void OnAnswer(gsl::span<const PartId> parts, TimePoint now);
  // Records that `process` exited at `when` while it began an answer to a prompt with `parts`.
  void OnCrash(gsl::span<const PartId> parts, ProcessId process, TimePoint when, TimePoint now);
  // Returns the part that blocks a request with `parts`; nullopt if it may be sent. `crashed`: an
  // engine has already exited under this request; it is blocked one crash earlier.
  std::optional<Block> Check(gsl::span<const PartId> parts, bool crashed, TimePoint now);
  // Records that a request with `parts` is sent. If one is quarantined, this is its trial.
  void OnSent(gsl::span<const PartId> parts, TimePoint now);
  // Records that a request with `parts` has ended at an upstream, in whatever way.
  void OnEnded(gsl::span<const PartId> parts);
  // Returns whether each part has a recent answer and no crash since, so that a crash under a
  // request with `parts` hardly has to do with its prompt.
  bool Proven(gsl::span<const PartId> parts, TimePoint now) const;

  // Sets whether this instance may try quarantined parts. At most one instance may at a time.
  void SetTrialsAllowed(bool allowed) { m_trials_allowed = allowed; }
  // Removes all evidence against all parts, here and, by merging, at the other instances.
  void LiftAll(TimePoint now);

  // Returns the evidence that changed after `version` (see Version()); 0 for all.
  PromptEvidence EvidenceSince(uint64_t version, TimePoint now) const;
  // Returns the evidence that this instance contributed after `own_version` (see OwnVersion()).
  PromptEvidence OwnEvidenceSince(uint64_t own_version, TimePoint now) const;
  // Adds the evidence of another instance. Returns whether it was new.
  bool Merge(const PromptEvidence& evidence, TimePoint now);
  // Increases with each change of the evidence, other than of its ages.
  uint64_t Version() const { return m_version; }
  // Increases with each change that this instance contributed.
  uint64_t OwnVersion() const { return m_own_version; }
  // Sets the callback that runs when this instance has evidence that the others need immediately.
  void SetListener(std::function<void()> listener) { m_listener = std::move(listener); }

  // Returns the number of parts with evidence.
  size_t Size() const { return m_parts.size(); }
  // Returns the quarantined parts and their uncleared crashes.
  std::map<PartId, int> Quarantined(TimePoint now);
  // Returns all evidence against the parts with kMinSuspectCrashes or more, which is worth keeping.
  PromptEvidence EvidenceToKeep(TimePoint now);

 private:
  // Limits of the memory; callers choose the parts. Those with the fewest crashes are dropped
  // first, quarantined ones last.
  static constexpr size_t kMaxParts = 256;
  static constexpr size_t kMaxCrashesPerPart = 16;
  static constexpr size_t kMaxProofs = 2048;

  // Time constant of the share of crashed requests, and its value without requests.
  static constexpr std::chrono::duration<double> kShareWindow{10.0};
  static constexpr double kPriorCrashed = 0.4;
  static constexpr double kPriorBegun = 10;

  struct Part {
    std::map<ProcessId, TimePoint> crashes;  // All later than `answered`.
    std::optional<TimePoint> answered;
    bool quarantined = false;  // An instance has quarantined the part since `answered`.
    TimePoint changed;
    uint64_t version = 0;      // Version of the last change.
    uint64_t own_version = 0;  // Own version of the last change by this instance.
    TimePoint trial_until;     // A trial, or a probe of a whole request, runs until then.
  };

  // Crashes at least kMinCrashInterval apart (of a whole request: all), and the time of the first
  // and the last one.
  struct CrashCount {
    int count = 0;
    int isolated = 0;  // Crashes that came kTrialDelayProven or later after the last one: trials.
    TimePoint first;
    TimePoint last;
  };

  static CrashCount Count(PartId id, const Part& part, const std::set<ProcessId>& explained);
  static bool WasProven(const Part& part, const CrashCount& crashes);
  // Returns the number of crashes at which the part is quarantined.
  int Limit(PartId id, const Part& part, const CrashCount& crashes) const;
  // Returns the share of the requests here that an exit of their engine ended as they began.
  double CrashShare() const { return (m_crashed + kPriorCrashed) / (m_begun + kPriorBegun); }
  // Adds a request that began to the share.
  void CountRequest(bool crashed, TimePoint now);
  // Returns the delay from the last crash to the next trial.
  Milliseconds TrialDelay(PartId id, const Part& part, const CrashCount& crashes) const;
  // Returns the parts with the most crashes that none of `m_quarantined` explains, if these suffice
  // for a quarantine: one part, or all whole requests with as many.
  std::vector<PartId> FindWorst() const;
  // Add evidence; return whether it was new.
  bool AddCrash(PartId id, ProcessId process, TimePoint when, TimePoint now);
  bool AddAnswer(PartId id, TimePoint when, TimePoint now);
  // Record evidence of this instance, and notify the listener if it is new.
  void AddOwn(gsl::span<const PartId> changed);
  PromptEvidence Collect(TimePoint now,
                         const std::function<bool(PartId, const Part&)>& wanted) const;
  // Recomputes m_quarantined if the evidence changed, and drops expired evidence.
  void Update(TimePoint now);
  void DropWeakest();

  std::unordered_map<PartId, Part> m_parts;  // Parts with crashes, or answered after some.
  // Last answers written here, newest first. `m_proof_index` refers to all elements of the list.
  std::list<std::pair<PartId, TimePoint>> m_proofs;
  std::unordered_map<PartId, std::list<std::pair<PartId, TimePoint>>::iterator> m_proof_index;
  std::set<PartId> m_quarantined;   // Follows from m_parts at m_updated_version.
  std::set<ProcessId> m_explained;  // Crashes that m_quarantined explains.
  uint64_t m_version = 0;
  uint64_t m_own_version = 0;
  uint64_t m_updated_version = 0;
  TimePoint m_updated;
  double m_begun = 0;    // Decaying number of requests here that began.
  double m_crashed = 0;  // Part of `m_begun` that an exit of the engine ended.
  TimePoint m_counted;   // Time of the last decay.
  bool m_trials_allowed = false;
  std::function<void()> m_listener = [] {};
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_PROMPT_QUARANTINE_H_
