// A queue model of instances and engines, driven by events, for measuring selection policies.
//
// A sequence takes a place at each stage of its chain in turn, waits there while the engine is at
// capacity, and holds its places until its last token. Steps slow down with the number of running
// sequences. Instances see the engines' loads through reports that lag.

#ifndef TESTS_ROUTING_FLEET_SIMULATION_H_
#define TESTS_ROUTING_FLEET_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/routing/chain_selector.h"

namespace azuregw {

// How one instance chooses engines.
class SelectionPolicy {
 public:
  virtual ~SelectionPolicy() = default;
  // Names of a complete chain. Empty: none.
  virtual std::vector<std::string> Choose(const Snapshot& snapshot,
                                          const std::vector<uint64_t>& prefix, TimePoint now) = 0;
  virtual std::string Replace(const Snapshot& snapshot, const std::string& failed,
                              TimePoint now) = 0;
  virtual void OnStart(const std::string& engine) {}
  virtual void OnEnd(const std::string& engine) {}
  virtual void OnStep(const std::string& engine, double ms, ResultCode code, TimePoint now) {}
  virtual void OnLoad(const std::string& engine, const EngineLoad& load, TimePoint now) {}
  virtual void OnCacheEvents(const std::string& engine, const CacheEvents& events) {}
};

using PolicyMaker = std::function<std::unique_ptr<SelectionPolicy>(int instance)>;

PolicyMaker RandomPolicy();
PolicyMaker RoundRobinPolicy();
PolicyMaker LeastReportedLoadPolicy();
PolicyMaker ChainSelectorPolicy(const SelectorOptions& options = SelectorOptions());

struct FleetOptions {
  uint64_t seed = 1;
  int instances = 9;
  double sequences_per_s = 20;
  double seconds = 120;
  double warm_up_s = 20;  // Sequences that start earlier are not measured.
  int tokens = 64;
  // Sequences in progress per instance; more wait there. 0: no limit.
  int max_inflight = 0;
  Milliseconds report_lag{1000};
  Milliseconds step_timeout{2000};
  int prompts = 0;               // Distinct prompt prefixes; 0: nothing is cached.
  size_t cached_per_engine = 8;  // Prefixes that an engine keeps.
};

struct FleetFigures {
  int finished = 0;
  double first_token_mean_ms = 0;
  double first_token_p95_ms = 0;
  double token_mean_ms = 0;
  double sequences_per_s = 0;  // Finished, within the measured time.
  double late_share = 0;       // First token later than 2 s.
  int step_failures = 0;       // Steps that timed out.
  double cached_share = 0;     // Prefills that found the prefix cached.
};

class FleetSimulation {
 public:
  FleetSimulation(const Preset& preset, const FleetOptions& options, const PolicyMaker& policy);

  // Changes of an engine at a time in seconds.
  void SlowDown(const std::string& engine, double factor, double from_s, double to_s);
  void Freeze(const std::string& engine, double from_s, double to_s);
  // The engine is in no snapshot before this time.
  void JoinAt(const std::string& engine, double at_s);

  FleetFigures Run();

 private:
  struct Sequence {
    size_t instance;
    std::vector<std::string> engines;
    size_t stage = 0;
    int tokens_left;
    double arrived;
    double first_token = 0;
    uint64_t prefix = 0;
  };

  using SequencePtr = std::shared_ptr<Sequence>;

  struct Engine {
    EngineSpec spec;
    int running = 0;
    std::deque<SequencePtr> waiting;
    std::vector<std::array<double, 3>> slow;  // Factor, from, to.
    double frozen_from = 0;
    double frozen_to = 0;
    std::deque<uint64_t> cached;  // Oldest first.
    uint64_t next_cache_event = 1;
  };

  struct Event {
    double at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(double seconds, std::function<void()> action);
  void Publish();
  void Arrive();
  void Start(const SequencePtr& sequence);
  void Report();
  void EnterStage(const SequencePtr& sequence);
  void StartPrefill(const SequencePtr& sequence);
  void FinishPrefill(const SequencePtr& sequence, double stage_ms);
  void Decode(const SequencePtr& sequence);
  void Finish(const SequencePtr& sequence);
  void Leave(const SequencePtr& sequence, const std::string& engine);
  bool LookUpPrefix(Engine* engine, const std::string& name, uint64_t prefix);
  double StepMs(const Engine& engine) const;
  double EdgeMs(const Sequence& sequence, size_t stage) const;
  TimePoint Time() const;

  Preset m_preset;
  const FleetOptions m_options;
  std::unique_ptr<Random> m_random;
  std::vector<std::unique_ptr<SelectionPolicy>> m_policies;
  std::vector<Snapshot> m_snapshots;  // Per instance.
  std::map<std::string, Engine> m_engines;
  std::map<std::string, double> m_joins;
  std::vector<int> m_inflight;                       // Per instance.
  std::vector<std::deque<SequencePtr>> m_admission;  // Waiting, per instance.
  uint64_t m_revision = 0;
  double m_now = 0;  // Seconds.
  uint64_t m_next_event = 0;
  std::vector<Event> m_events;  // Heap.
  std::vector<double> m_first_ms;
  double m_token_ms_sum = 0;
  int m_prefills = 0;
  int m_cached = 0;
  FleetFigures m_figures;
};

// Thirty engines in three ranges: two kinds that differ threefold in speed, three near failure
// domains and one a hundred times as far. Full capacity is about 44 sequences/s of 64 tokens.
Preset MixedFleet(int engines_per_range = 10);

}  // namespace azuregw

#endif  // TESTS_ROUTING_FLEET_SIMULATION_H_
