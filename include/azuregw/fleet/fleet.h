// State of the upstreams as known to this instance: membership, held layers, load and health.
//
// Decision module: no I/O, single-threaded. The state is merged from three sources: the list of
// upstreams (lags), the outcome of this instance's own requests (exact but sparse) and the load
// reports of the other instances (recent).

#ifndef AZUREGW_FLEET_FLEET_H_
#define AZUREGW_FLEET_FLEET_H_

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/link_load.h"
#include "azuregw/fleet/rate_share.h"
#include "azuregw/fleet/upstream_statements.h"
#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Entry of the list of upstreams.
struct UpstreamRecord {
  std::string id;
  std::string service;
  std::string address;  // "IP:port".
  std::string failure_domain;
  int slots = 0;
  bool draining = false;
  int64_t warmup_left_ms = 0;
  int64_t started_ms = 0;  // Unix time of the process start; a restart may keep the ID.
  uint64_t order_sequence = 0;
  std::string accelerator;  // Empty for plain services.
  std::optional<LayerRange> layers;

  friend bool operator==(const UpstreamRecord& a, const UpstreamRecord& b) {
    return std::tie(a.id, a.service, a.address, a.failure_domain, a.slots, a.draining,
                    a.warmup_left_ms, a.started_ms, a.order_sequence, a.accelerator, a.layers) ==
           std::tie(b.id, b.service, b.address, b.failure_domain, b.slots, b.draining,
                    b.warmup_left_ms, b.started_ms, b.order_sequence, b.accelerator, b.layers);
  }
};

// Returns whether an entry of the list cannot be an engine of `profile`: its accelerator is of no
// known kind, or it holds layers that the model does not have or its memory cannot hold. Entries of
// other writers may state anything.
bool ContradictsProfile(const UpstreamRecord& record, const EngineProfile& profile);

// Reason why an upstream temporarily receives no new requests.
enum class SuspectKind : uint8_t {
  kFailing,  // Requests to it fail.
  kStopped,  // Unresponsive; streams through it are rerouted.
  kFull,     // Healthy, but out of KV memory.
};

// Requests in progress at an upstream.
struct UpstreamLoad {
  double token_layers = 0;  // KV memory reserved for the requests, in tokens x layers.
  int requests = 0;
};

// Record of an upstream together with its load and health state.
struct Upstream {
  UpstreamRecord record;
  UpstreamLoad own_load;     // Requests of this instance.
  UpstreamLoad others_load;  // Requests of the other instances, from their load reports.
  int own_begun = 0;         // Streams of this instance whose paths begin at the upstream.
  int others_begun = 0;      // The same of the other instances, from their load reports.
  TimePoint own_progress;   // Last response data received here from a request through the upstream.
  TimePoint last_progress;  // Last response data at any instance, as far as reported.
  TimePoint suspect_until;  // End of the suspicion, whoever raised it.
  TimePoint own_suspect_until;  // End of the suspicion raised by this instance.
  TimePoint stopped_until;      // End of the unresponsive state reported by any instance.
  TimePoint full_until;         // End of the out-of-memory state, whoever reported it.
  TimePoint own_full_until;     // End of the out-of-memory state found by this instance.
  TimePoint refused_at;         // Last out-of-memory refusal at any instance.
  int failures = 0;             // Consecutive failed calls.
  int suspicions = 0;     // Consecutive suspicions, each within kRelapseWindow of the previous one.
  int reported_load = 0;  // Self-reported number of running and queued requests.
  TimePoint reported_at;  // Time of `reported_load`.
  double slowdown = 1;    // Self-reported slowdown factor; 1 is normal speed.
  TimePoint slowdown_until;        // Expiry of `slowdown`.
  StartBucket start_bucket;        // Requests of this instance under the stated rate limit.
  bool pace_queried_here = false;  // `slowdown` was queried by this instance, not by another one.
  UpstreamStatements statements;   // Of the process that `record` describes.
  // The record contradicts the configuration; see ContradictsProfile().
  bool contradictory = false;
  // End of the retention of an entry that the list lacks; nullopt if the list contains it.
  std::optional<TimePoint> retained_until;

  // Returns whether the upstream exits soon, as the list or the upstream itself states.
  bool Leaving(TimePoint now) const { return record.draining || statements.Leaving(now); }
  // Returns whether the upstream wants new requests from this instance.
  bool Accepts(TimePoint now) const {
    const bool listed = !retained_until || now < *retained_until;
    return listed && !contradictory && !Leaving(now) && !statements.ClosedHere(now);
  }
  // Returns whether requests should be sent elsewhere if possible, since the upstream fails them,
  // or turns those of other instances away.
  bool Doubtful(TimePoint now) const {
    return now < suspect_until || statements.ClosedElsewhere(now);
  }
  // Returns whether new requests may be sent to the upstream.
  bool Usable(TimePoint now) const { return Accepts(now) && !Doubtful(now) && now >= full_until; }
  // Returns whether the upstream responds, although it may be failing or short of memory.
  bool Responds(TimePoint now) const { return Accepts(now) && now >= stopped_until; }
};

// Change of an upstream between two lists.
struct FleetChange {
  enum class Kind {
    kAdded,
    kRemoved,
    kRestarted,
    kDraining,
    kReady,
    kLayers,
    kRetained,
    kRelisted
  };
  Kind kind;
  std::string id;
  std::string detail;
};

// Until when entries stay in use that a list lacks, because their upstreams may still live.
struct RetentionWindow {
  TimePoint any_missing;    // Entries that this list lacks, or that earlier ones lacked.
  TimePoint first_missing;  // Entries that the list before contained.
};

// Difference of a list to the present one; see Fleet::Compare().
struct ListDifference {
  size_t present =
      0;  // Listed upstreams that neither leave nor have a later process in their place.
  size_t missing = 0;  // Those of them that the new list lacks.
};

// Table of all listed upstreams, keyed by ID. Unknown IDs are ignored by all setters.
class Fleet {
 public:
  // A suspicion that begins within this time after the end of the last one lasts twice as long, so
  // that flapping upstreams, and those that pass health checks but fail requests, are taken back
  // with exponential backoff.
  static constexpr Milliseconds kRelapseWindow{3000};
  // Maximum number of doublings of the suspicion time.
  static constexpr int kMaxSuspicionDoublings = 2;

  // Time for which a removed upstream is remembered, and number of those. A copy of the store is
  // some seconds old.
  static constexpr Milliseconds kRemovedTtl{60000};
  static constexpr size_t kMaxRemoved = 4096;

  // Lifetime of an engine's self-reported pace, which is a few hundred ms old on arrival.
  static constexpr Milliseconds kPaceTtl{1500};

  // Sets the configuration against which records are checked; null for none.
  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  // Returns whether an upstream with this record can serve with the present configuration.
  bool Serves(const UpstreamRecord& record) const;
  // Returns the number of upstreams whose records contradict the configuration. They are listed and
  // relayed, since a later configuration may fit them, but serve nothing.
  int Contradictory() const;

  // Returns what Update() with `records` would find missing.
  ListDifference Compare(gsl::span<const UpstreamRecord> records, TimePoint now) const;
  // Replaces the list and returns the changes. Entries missing from `records` are removed, or
  // retained within `window`.
  std::vector<FleetChange> Update(std::vector<UpstreamRecord> records,
                                  const RetentionWindow& window, TimePoint now);
  // As above, without retention.
  std::vector<FleetChange> Update(std::vector<UpstreamRecord> records, TimePoint now) {
    return Update(std::move(records), RetentionWindow(), now);
  }

  // Handles a restore of the store from a backup. For `entry_ttl`, after which the entries of
  // upstreams that no longer write have expired, lists that contradict what is known of an
  // upstream's process do not count: a process that was leaving or gone stays so.
  void OnStoreRestored(Milliseconds entry_ttl, TimePoint now);
  // Returns whether a list may contain entries that OnStoreRestored() excludes; only Update() ends
  // this.
  bool Reconciling() const { return m_reconciling; }

  // Returns the number of retained entries; only Update() removes them.
  size_t RetainedUpstreams() const;

  // Excludes `id` from new requests for `duration`, or longer after a relapse. Returns whether `id`
  // was not suspect before.
  bool Suspect(const std::string& id, Milliseconds duration, TimePoint now);
  // Suspects an unresponsive engine, whose streams must be rerouted.
  void MarkStopped(const std::string& id, Milliseconds duration, TimePoint now);
  // Excludes an engine that refused a stream for lack of memory from new streams for `duration`.
  void MarkFull(const std::string& id, Milliseconds duration, TimePoint now);
  // Applies a suspicion reported by another instance. It is not included in this instance's own
  // load report.
  void ApplySuspectReport(const std::string& id, Milliseconds duration, SuspectKind kind,
                          TimePoint now);
  // Sets the callback that runs when this instance has a health report that the other instances
  // need immediately.
  void SetHealthReportListener(std::function<void()> listener) {
    m_on_health_report = std::move(listener);
  }
  // Sets the callback that runs when a statement of an upstream changes what this instance knows.
  void SetStatementListener(std::function<void(const StatementChange&)> listener) {
    m_on_statement = std::move(listener);
  }
  // Records that `id` stated in an answer that it leaves.
  void OnLeaving(const std::string& id, TimePoint now);
  // Records that `id` stated in a refusal that it wants no requests from this instance for
  // `duration`.
  void OnClosed(const std::string& id, Milliseconds duration, TimePoint now);
  // Applies a statement that the process of `id` with `started_ms` made to another instance, valid
  // for `remaining`.
  void ApplyStatementReport(const std::string& id, int64_t started_ms, StatedFact fact,
                            Milliseconds remaining, TimePoint now);
  // Records the rate limit in an answer of `id` to a request that was sent at `sent_at`. Returns
  // whether it changed. An answer without a limit ends one only if its request was sent after the
  // limit was last stated.
  bool OnRateLimit(const std::string& id, std::optional<double> limit, TimePoint sent_at,
                   TimePoint now);
  // Applies a rate limit that another instance received at `when`, if it is newer.
  void ApplyRateLimitReport(const std::string& id, std::optional<double> limit, TimePoint when,
                            TimePoint now);
  // Sets the position that determines the shares of rate limits.
  void SetPosition(const FleetPosition& position, TimePoint now);
  // Returns whether the rate limit of the upstream, if any, allows a request of this instance now.
  bool MayStart(const Upstream& upstream, TimePoint now) const;
  // Counts a request to `id` under its rate limit.
  void OnStart(const std::string& id, TimePoint now);
  // Returns the time until the upstreams of `service` allow a request of this instance, as far as
  // they state it: until a limited one does, and until those that have not closed suffice.
  Milliseconds StartDelay(std::string_view service, TimePoint now) const;
  // Returns the time until one upstream of `service`, or holders of all its layers, want requests
  // from this instance again; 0 if they do.
  Milliseconds OpenDelay(std::string_view service, TimePoint now) const;
  // Adds a request with `token_layers` of KV memory to this instance's load at `id`.
  void Reserve(const std::string& id, double token_layers);
  // Removes a request that Reserve() added.
  void Release(const std::string& id, double token_layers);
  // Adds a stream whose path begins at `id`.
  void BeginPath(const std::string& id);
  // Removes a stream that BeginPath() added.
  void EndPath(const std::string& id);
  // Replaces the streams of the other instances whose paths begin at each upstream.
  void SetOtherInstancesBegun(const std::unordered_map<std::string, int>& begun);
  // Replaces the load of the other instances at all upstreams.
  void SetOtherInstancesLoad(const std::unordered_map<std::string, UpstreamLoad>& loads);
  // Records response data received here through `id`; resets its failure count.
  void OnProgress(const std::string& id, TimePoint now);
  // Records response data that another instance received through `id` at `when`.
  void ApplyProgressReport(const std::string& id, TimePoint when);
  // Records the pace that the engine reported to this instance; above 1 is slower than normal.
  void OnPace(const std::string& id, double pace, TimePoint now);
  // Records the pace that the engine reported to another instance, valid for `remaining`, if it
  // outlasts the known one.
  void ApplyPaceReport(const std::string& id, double pace, Milliseconds remaining, TimePoint now);
  // Records the upstream's self-reported number of running and queued requests.
  void OnReportedLoad(const std::string& id, int load, TimePoint now);

  // Load of the links between failure domains.
  LinkLoad& Links() { return m_links; }
  const LinkLoad& Links() const { return m_links; }

  // Returns the duration of a suspicion after backoff; `duration` is that of the first suspicion.
  Milliseconds SuspicionDuration(const Upstream& upstream, Milliseconds duration,
                                 TimePoint now) const;

  // Returns the upstream with `id`, or null.
  Upstream* Find(const std::string& id);
  const Upstream* Find(const std::string& id) const;
  // Returns the ID of the upstream listed under `address`, or null.
  const std::string* FindByAddress(std::string_view address) const;
  // Returns all upstreams, ordered by ID.
  const std::map<std::string, Upstream>& All() const { return m_upstreams; }

 private:
  // Process of an upstream that was removed.
  struct RemovedProcess {
    int64_t started_ms = 0;
    TimePoint removed_at;
    UpstreamStatements statements;
  };

  // Returns the latest start at each address in `records` and in the present list. Entries of
  // earlier processes there are outdated: those of crashed processes stay until they expire.
  std::map<std::string, int64_t> LatestStarts(gsl::span<const UpstreamRecord> records) const;
  // Returns whether a later process has the address of `record`.
  static bool Superseded(const UpstreamRecord& record,
                         const std::map<std::string, int64_t>& latest_starts);
  // Replaces what `record` says of a process by what is known of it, if that is newer. Returns
  // false if the process is gone.
  bool Reconcile(UpstreamRecord* record) const;
  void RememberRemoved(const Upstream& upstream, TimePoint now);
  // Adds a statement to the record of `upstream`, and notifies the listeners of a change.
  void AddStatement(Upstream* upstream, StatedFact fact, TimePoint until, StatementSource source,
                    TimePoint now);

  // Returns the time until a limited upstream of `service` allows a request of this instance; 0 if
  // none is limited.
  Milliseconds RateDelay(std::string_view service, TimePoint now) const;
  // Returns the requests per second that this instance may send to the upstream; nullopt: any.
  std::optional<double> StartRate(const Upstream& upstream, TimePoint now) const;

  // Returns whether the record contradicts the configuration.
  bool Contradicts(const UpstreamRecord& record) const;

  std::shared_ptr<const RoutingConfig> m_config;
  std::map<std::string, Upstream> m_upstreams;
  std::map<std::string, RemovedProcess> m_removed;  // By ID.
  TimePoint m_restored_at;                          // First sign of the last restore of the store.
  TimePoint m_reconcile_until;                      // Lists may contain entries of the copy.
  bool m_reconciling = false;  // The last list was applied before m_reconcile_until.
  LinkLoad m_links;
  FleetPosition m_position;
  std::function<void()> m_on_health_report = [] {};
  std::function<void(const StatementChange&)> m_on_statement = [](const StatementChange&) {};
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_FLEET_H_
