// Discrete-event queueing simulation of instances and engines, to compare selection policies.
//
// A sequence occupies a slot at each stage of its chain in turn, waits there while the engine is at
// capacity, and holds its slots until its last token. The step time grows with the number of
// running sequences. Instances receive the engines' loads through delayed reports.

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

// Chooses engines for one instance.
class SelectionPolicy {
 public:
  virtual ~SelectionPolicy() = default;
  // Returns the engine names of a complete chain; empty if there is none.
  virtual std::vector<std::string> Choose(const Snapshot& snapshot,
                                          const std::vector<uint64_t>& prefix, TimePoint now) = 0;
  // Returns another engine for the range of `failed`.
  virtual std::string Replace(const Snapshot& snapshot, const std::string& failed,
                              TimePoint now) = 0;
  virtual void OnStart(const std::string& engine) {}
  virtual void OnEnd(const std::string& engine) {}
  virtual void OnStep(const std::string& engine, double ms, ResultCode code, TimePoint now) {}
  virtual void OnLoad(const std::string& engine, const EngineLoad& load, TimePoint now) {}
  virtual void OnCacheEvents(const std::string& engine, const CacheEvents& events) {}
};

// Creates the policy of an instance.
using PolicyFactory = std::function<std::unique_ptr<SelectionPolicy>(int instance)>;

// Policies under comparison.
PolicyFactory RandomPolicy();
PolicyFactory RoundRobinPolicy();
PolicyFactory LeastReportedLoadPolicy();
PolicyFactory ChainSelectorPolicy(const SelectorOptions& options = SelectorOptions());

// Parameters of a simulation run.
struct SimulationOptions {
  uint64_t seed = 1;
  int instances = 9;
  double sequences_per_s = 20;  // Mean arrival rate.
  double seconds = 120;         // Simulated time.
  double warm_up_s = 20;        // Sequences that arrive earlier are not measured.
  int tokens = 64;              // Output tokens per sequence.
  // Limit of sequences in progress per instance; further sequences queue there. 0: no limit.
  int max_inflight = 0;
  Milliseconds report_lag{1000};    // Delay of load reports and cache events.
  Milliseconds step_timeout{2000};  // Time until a step at a frozen engine fails.
  int prompts = 0;                  // Number of distinct prompt prefixes; 0 disables caching.
  size_t cached_per_engine = 8;     // Capacity of an engine's prefix cache.
};

// Results of a run over the sequences that arrived after the warm-up.
struct SimulationResult {
  int finished = 0;  // Sequences that finished.
  double first_token_mean_ms = 0;
  double first_token_p95_ms = 0;
  double token_mean_ms = 0;
  double sequences_per_s = 0;  // Finished sequences per second of measured time.
  double late_share = 0;       // Share of sequences with the first token after more than 2 s.
  int step_failures = 0;       // Steps that timed out.
  double cached_share = 0;     // Share of prefills with a cached prefix.
};

// Simulates a fleet under one selection policy. Single-threaded and deterministic per seed.
class FleetSimulation {
 public:
  FleetSimulation(const Preset& preset, const SimulationOptions& options,
                  const PolicyFactory& policy);

  // Multiplies the step time of an engine by `factor` between two times in seconds.
  void SlowDown(const std::string& engine, double factor, double from_s, double to_s);
  // Makes steps that reach the engine between two times in seconds time out.
  void Freeze(const std::string& engine, double from_s, double to_s);
  // Excludes the engine from the snapshots before `at_s`.
  void JoinAt(const std::string& engine, double at_s);

  // Runs the simulation to its end.
  SimulationResult Run();

 private:
  // Times are in seconds.
  struct Sequence {
    size_t instance;
    std::vector<std::string> engines;  // Chain.
    size_t stage = 0;                  // Stage of the prefill.
    int tokens_left;
    double arrived;          // Time of arrival.
    double first_token = 0;  // Time of the first token.
    uint64_t prefix = 0;     // Prefix hash; 0 if the prompt is not cacheable.
  };

  using SequencePtr = std::shared_ptr<Sequence>;

  struct Engine {
    EngineSpec spec;
    int running = 0;
    std::deque<SequencePtr> waiting;
    std::vector<std::array<double, 3>> slowdowns;  // Step time factor, start, end.
    double frozen_from = 0;                        // Start of the freeze, in seconds.
    double frozen_to = 0;                          // End of the freeze, in seconds.
    std::deque<uint64_t> cached;                   // Prefix hashes, least recently used first.
    uint64_t next_cache_event = 1;                 // ID of the next cache event.
  };

  struct Event {
    double at;       // Time in seconds.
    uint64_t order;  // Tie-breaker: events of equal time run in the order of scheduling.
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Runs `action` at a time in seconds.
  void Schedule(double seconds, std::function<void()> action);
  void PublishSnapshots();
  void ScheduleArrival();
  void Start(const SequencePtr& sequence);
  void SendLoadReports();
  void EnterStage(const SequencePtr& sequence);
  void StartPrefill(const SequencePtr& sequence);
  void FinishPrefill(const SequencePtr& sequence, double stage_ms);
  void Decode(const SequencePtr& sequence);
  void Finish(const SequencePtr& sequence);
  void ReleaseEngine(const SequencePtr& sequence, const std::string& engine);
  bool LookUpPrefix(Engine* engine, const std::string& name, uint64_t prefix);
  double StepMs(const Engine& engine) const;
  double EdgeMs(const Sequence& sequence, size_t stage) const;
  TimePoint Now() const;

  Preset m_preset;
  const SimulationOptions m_options;
  std::unique_ptr<Random> m_random;
  std::vector<std::unique_ptr<SelectionPolicy>> m_policies;
  std::vector<Snapshot> m_snapshots;  // Snapshots by instance.
  std::map<std::string, Engine> m_engines;
  std::map<std::string, double> m_join_times;  // Start in seconds by engine, see JoinAt.
  std::vector<int> m_inflight;                 // Sequences in progress by instance.
  std::vector<std::deque<SequencePtr>> m_admission_queue;  // Waiting sequences by instance.
  uint64_t m_revision = 0;
  double m_now = 0;  // Current time in seconds.
  uint64_t m_next_event_order = 0;
  std::vector<Event> m_events;  // Heap with the earliest event first.
  std::vector<double> m_first_token_ms;
  double m_token_ms_sum = 0;
  int m_prefills = 0;
  int m_cached = 0;
  SimulationResult m_result;
};

// Returns a preset with three ranges, by default thirty engines in total: two accelerator kinds
// that differ threefold in speed, three near failure domains, and one with a hundred times their
// link time. The capacity of thirty engines is about 44 sequences/s of 64 tokens.
Preset MakeMixedFleet(int engines_per_range = 10);

}  // namespace azuregw

#endif  // TESTS_ROUTING_FLEET_SIMULATION_H_
