// What this instance believes about the upstreams: who exists, what each holds, how loaded it is
// and whether it currently works.
//
// Decision module: no I/O, one thread. Beliefs come from the list of upstreams (lags), from the
// outcome of this instance's own requests (exact, sparse) and from the load that other instances
// report (recent).

#ifndef AZUREGW_FLEET_FLEET_H_
#define AZUREGW_FLEET_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// One entry of the list of upstreams.
struct UpstreamRecord {
  std::string id;
  std::string service;
  std::string address;  // "IP:port".
  std::string failure_domain;
  int slots = 0;
  bool draining = false;
  int64_t warmup_left_ms = 0;
  int64_t started_ms = 0;  // Unix time of the process's start; a restart may keep the id.
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

// Why an upstream gets no new work for a while.
enum class SuspectKind : uint8_t {
  kFailing,
  kStopped,  // It does not answer at all; its streams are to be moved.
  kFull,     // It works, but has no memory for more.
};

// What one instance has in progress at one upstream.
struct UpstreamLoad {
  double token_layers = 0;  // Reserved KV memory: tokens x layers held for them.
  int requests = 0;
};

struct Upstream {
  UpstreamRecord record;
  UpstreamLoad own_load;
  UpstreamLoad others_load;     // Reported by the other instances.
  TimePoint own_progress;       // Last bytes of an answer here in which it took part.
  TimePoint last_progress;      // The same at any instance, as far as reported.
  TimePoint suspect_until;      // Gets no new work before this.
  TimePoint own_suspect_until;  // The same, by what this instance found itself.
  TimePoint stopped_until;      // Some instance found that it does not answer at all.
  TimePoint full_until;
  TimePoint own_full_until;
  TimePoint refused_at;   // Last refusal for want of memory, anywhere.
  int failures = 0;       // Consecutive failures of calls.
  int suspicions = 0;     // In a row, each soon after the end of the one before.
  int reported_load = 0;  // Running and waiting requests by its own account.
  TimePoint reported_at;
  double slowdown = 1;             // Factor on the time of its work, by its own account.
  TimePoint slowdown_until;        // When that account is too old.
  bool pace_queried_here = false;  // Else another instance asked.

  bool Usable(TimePoint now) const {
    return !record.draining && now >= suspect_until && now >= full_until;
  }
};

struct FleetChange {
  enum class Kind { kAdded, kRemoved, kRestarted, kDraining, kReady, kLayers };
  Kind kind;
  std::string id;
  std::string detail;
};

class Fleet {
 public:
  // How long an entry that vanished during an outage of the store is kept after the store is back.
  // The platform promises that live upstreams are listed again within about 2 s.
  static constexpr Milliseconds kRelistGrace{2000};

  // A suspicion that begins this soon after the end of the last one lasts twice as long, so that
  // upstreams that fail by turns, or look healthy and are not, return step by step.
  static constexpr Milliseconds kRelapseWindow{3000};
  static constexpr int kMaxSuspicionDoublings = 2;

  // How long an engine's account of its pace is used; it is some hundred ms old when it comes.
  static constexpr Milliseconds kPaceTtl{1500};

  // Replaces the list. `after_outage` says that the previous list is from before an outage of the
  // store; entries missing from this list are then kept until the grace has passed.
  std::vector<FleetChange> Update(std::vector<UpstreamRecord> records, bool after_outage,
                                  TimePoint now);

  // Whether entries that vanished in an outage are kept; only Update() removes them.
  bool HasRetainedUpstreams() const { return !m_missing.empty(); }

  // `id` gets no new work for `duration`, or longer after a relapse. Returns whether this is news.
  bool Suspect(const std::string& id, Milliseconds duration, TimePoint now);
  // The same for an engine that does not answer; its streams are to be moved.
  void MarkStopped(const std::string& id, Milliseconds duration, TimePoint now);
  // It refused a stream for want of memory; new ones go elsewhere for `duration`.
  void MarkFull(const std::string& id, Milliseconds duration, TimePoint now);
  // The same by the report of another instance, which is not passed on.
  void ApplySuspectReport(const std::string& id, Milliseconds duration, SuspectKind kind,
                          TimePoint now);
  // Called when this instance found something that the others should know at once.
  void SetHealthReportListener(std::function<void()> listener) {
    m_on_finding = std::move(listener);
  }
  void Reserve(const std::string& id, double token_layers);
  void Release(const std::string& id, double token_layers);
  void SetOtherInstancesLoad(const std::unordered_map<std::string, UpstreamLoad>& loads);
  void OnProgress(const std::string& id, TimePoint now);
  // The same at another instance.
  void ApplyProgressReport(const std::string& id, TimePoint when);
  // The engine told its pace to this instance, or to another one.
  void OnPace(const std::string& id, double pace, TimePoint now);
  void ApplyPaceReport(const std::string& id, double pace, Milliseconds remaining, TimePoint now);
  void OnReportedLoad(const std::string& id, int load, TimePoint now);

  // How long a suspicion lasts that would last `duration` the first time.
  Milliseconds SuspicionDuration(const Upstream& upstream, Milliseconds duration,
                                 TimePoint now) const;

  Upstream* Find(const std::string& id);
  const Upstream* Find(const std::string& id) const;
  // The id of the upstream that is listed under an address; null when there is none.
  const std::string* FindByAddress(std::string_view address) const;
  // In order of the ids.
  const std::map<std::string, Upstream>& All() const { return m_upstreams; }

 private:
  std::map<std::string, Upstream> m_upstreams;
  // Entries that vanished in an outage, and until when they are kept.
  std::map<std::string, TimePoint> m_missing;
  std::function<void()> m_on_finding = [] {};
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_FLEET_H_
