// Chain selection by graph search over the topology of the request's snapshot.

#include "azuregw/routing/chain_selector.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "azuregw/routing/chain_planner.h"
#include "azuregw/routing/prefix_cache_index.h"
#include "routing/chain_search.h"
#include "routing/engine_table.h"
#include "routing/topology_cache.h"

namespace azuregw {
namespace {

// Interval between outlier evaluations of one model.
constexpr int64_t kOutlierEvaluationIntervalNs = 200'000'000;
// Share of the engine's step time below which a latency per token does not indicate the engine's
// speed: steps with many tokens take far less time per token than decode steps.
constexpr double kDecodeShare = 0.5;

ChainStage MakeStage(const PlannedEngine& engine) {
  const EngineSpec& spec = *engine.spec;
  return {spec.name, spec.address, spec.range, spec.failure_domain};
}

// Combines the topology cache, the engine records and the prefix cache index.
class GraphChainSelector final : public ChainSelector {
 public:
  GraphChainSelector(std::unique_ptr<Random> random, const SelectorOptions& options)
      : m_options(options),
        m_random(std::move(random)),
        m_topologies(options.subset_size, &m_engines),
        m_detector(options.outliers),
        m_cache_index(options.max_cached_prefixes) {}

  void Prepare(const Snapshot& snapshot, TimePoint now) override {
    if (snapshot.preset != nullptr) {
      m_topologies.Get(snapshot, now);
    }
  }

  Result<Chain> Select(const Snapshot& snapshot, const ChainRequest& request,
                       TimePoint now) override;
  Result<ChainStage> SelectReplacement(const Snapshot& snapshot, const std::string& model,
                                       LayerRange range, gsl::span<const std::string> excluded,
                                       const std::string& previous_domain, TimePoint now) override;

  void OnSequenceStart(const std::string& upstream) override {
    if (const auto record = m_engines.Find(upstream)) {
      record->load.OnStart(LastTime());
    }
  }

  void OnSequenceEnd(const std::string& upstream) override {
    if (const auto record = m_engines.Find(upstream)) {
      record->load.OnEnd(LastTime());
    }
  }

  void OnStep(const std::string& upstream, double ms_per_token, ResultCode code,
              const EngineLoad* load, TimePoint now) override;

  void OnLoad(const std::string& upstream, const EngineLoad& load, TimePoint now) override {
    UpdateLastTime(now);
    if (const auto record = m_engines.Find(upstream)) {
      ApplyLoad(record.get(), load, now);
    }
  }

  void OnCacheEvents(const std::string& upstream, const CacheEvents& events) override {
    if (const auto record = m_engines.Find(upstream)) {
      m_cache_index.OnEvents(record->id, events);
    }
  }

 private:
  // Updates the load and the leaving state of the engine.
  static void ApplyLoad(EngineRecord* record, const EngineLoad& load, TimePoint now);
  // Ejects outliers of the plan if an evaluation is due.
  void EvaluateOutliers(const ModelPlan& plan, TimePoint now) const;
  void EvaluateGroup(const RangeGroup& group, TimePoint now) const;
  // Returns the cheaper of two random engines that are not leaving or excluded; null if there is
  // none. Ejected engines are used only if no other engine is left.
  const PlannedEngine* ChooseReplacement(const ModelPlan& plan,
                                         gsl::span<const PlannedEngine> engines,
                                         gsl::span<const std::string> excluded, int previous,
                                         TimePoint now);

  uint64_t NextRandom() {
    const std::lock_guard<std::mutex> lock(m_random_mutex);
    return m_random->Next();
  }

  // OnSequenceStart and OnSequenceEnd have no time argument; they use the latest time of the other
  // calls.
  void UpdateLastTime(TimePoint now) {
    m_last_ns.store(now.time_since_epoch().count(), std::memory_order_relaxed);
  }
  TimePoint LastTime() const {
    return TimePoint(TimePoint::duration(m_last_ns.load(std::memory_order_relaxed)));
  }

  const SelectorOptions m_options;
  std::mutex m_random_mutex;
  const std::unique_ptr<Random> m_random;  // Guarded by m_random_mutex.
  EngineTable m_engines;
  TopologyCache m_topologies;
  const OutlierDetector m_detector;
  PrefixCacheIndex m_cache_index;
  std::atomic<int64_t> m_last_ns{0};  // Latest time of a call.
};

Result<Chain> GraphChainSelector::Select(const Snapshot& snapshot, const ChainRequest& request,
                                         TimePoint now) {
  UpdateLastTime(now);
  if (snapshot.preset == nullptr) {
    return NotRun(ResultCode::kNoChain, "no active preset");
  }
  const std::shared_ptr<const Topology> topology = m_topologies.Get(snapshot, now);
  const auto found = topology->models.find(request.model);
  if (found == topology->models.end()) {
    return NotRun(ResultCode::kUnknownModel, "unknown model: " + request.model);
  }
  const ModelPlan& plan = *found->second;
  EvaluateOutliers(plan, now);

  thread_local ChainSearch search;
  thread_local std::vector<PrefixCacheIndex::Match> matches;
  matches.clear();
  if (!request.prefix_hashes.empty() && m_options.cache_saving_share > 0) {
    m_cache_index.Find(request.prefix_hashes, &matches);
  }
  const size_t prefix_length = request.prefix_hashes.size();
  const uint64_t random = NextRandom();
  bool exists = search.Find(plan, m_options, matches, prefix_length, random, now);
  if (!exists) {
    // A chain with ejected engines is preferred to an error.
    SelectorOptions all = m_options;
    all.use_ejection = false;
    exists = search.Find(plan, all, matches, prefix_length, random, now);
  }
  if (!exists) {
    return NotRun(ResultCode::kNoChain, "no chain covers every layer of model " + request.model);
  }
  Chain chain;
  chain.expected_step_ms = search.ExpectedStepMs();
  chain.stages.reserve(search.Engines().size());
  for (const PlannedEngine* engine : search.Engines()) {
    chain.stages.push_back(MakeStage(*engine));
  }
  return chain;
}

Result<ChainStage> GraphChainSelector::SelectReplacement(const Snapshot& snapshot,
                                                         const std::string& model, LayerRange range,
                                                         gsl::span<const std::string> excluded,
                                                         const std::string& previous_domain,
                                                         TimePoint now) {
  UpdateLastTime(now);
  if (snapshot.preset == nullptr) {
    return NotRun(ResultCode::kNoChain, "no active preset");
  }
  const std::shared_ptr<const Topology> topology = m_topologies.Get(snapshot, now);
  const auto found = topology->models.find(model);
  if (found != topology->models.end()) {
    const ModelPlan& plan = *found->second;
    const int domain = topology->DomainIndex(previous_domain);
    const int previous = domain < 0 ? plan.EntryDomain() : domain;
    for (const RangeGroup& group : plan.groups) {
      if (!(group.range == range)) {
        continue;
      }
      const PlannedEngine* engine = ChooseReplacement(plan, group.engines, excluded, previous, now);
      if (engine == nullptr) {
        engine = ChooseReplacement(plan, group.fallback_engines, excluded, previous, now);
      }
      if (engine != nullptr) {
        return MakeStage(*engine);
      }
    }
  }
  return NotRun(ResultCode::kNoChain, "no other engine holds layers " +
                                          std::to_string(range.first) + " to " +
                                          std::to_string(range.last) + " of model " + model);
}

const PlannedEngine* GraphChainSelector::ChooseReplacement(const ModelPlan& plan,
                                                           gsl::span<const PlannedEngine> engines,
                                                           gsl::span<const std::string> excluded,
                                                           int previous, TimePoint now) {
  struct Choice {
    const PlannedEngine* engine;
    double cost;
  };
  std::vector<Choice> healthy;
  std::vector<Choice> ejected;
  for (const PlannedEngine& engine : engines) {
    if ((m_options.use_leaving_state && engine.record->leaving.IsLeaving(now)) ||
        std::find(excluded.begin(), excluded.end(), engine.spec->name) != excluded.end()) {
      continue;
    }
    const double cost = ServiceMs(engine, m_options, now) + plan.EdgeMs(previous, engine.domain);
    const bool out = m_options.use_ejection && engine.record->health.IsEjected(now);
    (out ? ejected : healthy).push_back({&engine, cost});
  }
  const std::vector<Choice>& choices = healthy.empty() ? ejected : healthy;
  if (choices.empty()) {
    return nullptr;
  }
  const uint64_t random = NextRandom();
  const Choice& first = choices[(random & 0xffffffffU) % choices.size()];
  const Choice& second = choices[(random >> 32) % choices.size()];
  return (first.cost <= second.cost ? first : second).engine;
}

void GraphChainSelector::OnStep(const std::string& upstream, double ms_per_token, ResultCode code,
                                const EngineLoad* load, TimePoint now) {
  UpdateLastTime(now);
  const std::shared_ptr<EngineRecord> record = m_engines.Find(upstream);
  if (record == nullptr) {
    return;
  }
  switch (code) {
    case ResultCode::kOk:
      record->health.OnSuccess(ms_per_token, now);
      break;
    case ResultCode::kUpstreamUnreachable:
    case ResultCode::kUpstreamTimeout:
    case ResultCode::kUpstreamProtocol:
      record->health.OnFailure(now);
      break;
    case ResultCode::kUpstreamLeaving:
      record->leaving.OnRefusal(now);
      break;
    default:
      break;  // The engine answered; the error is not a fault of the engine.
  }
  if (load != nullptr) {
    ApplyLoad(record.get(), *load, now);
  }
}

void GraphChainSelector::ApplyLoad(EngineRecord* record, const EngineLoad& load, TimePoint now) {
  record->load.OnReport(load, now);
  if (record->leaving.OnReport(load.leaving, now - load.age)) {
    record->slow_start.Begin(now);
  }
}

void GraphChainSelector::EvaluateOutliers(const ModelPlan& plan, TimePoint now) const {
  const int64_t now_ns = now.time_since_epoch().count();
  int64_t due = plan.next_evaluation_ns.load(std::memory_order_relaxed);
  if (!m_options.use_ejection || now_ns < due ||
      !plan.next_evaluation_ns.compare_exchange_strong(due,
                                                       now_ns + kOutlierEvaluationIntervalNs)) {
    return;
  }
  for (const RangeGroup& group : plan.groups) {
    EvaluateGroup(group, now);
  }
}

void GraphChainSelector::EvaluateGroup(const RangeGroup& group, TimePoint now) const {
  thread_local std::vector<OutlierPeer> peers;
  peers.clear();
  for (const PlannedEngine& engine : group.engines) {
    peers.push_back({&engine.record->health, engine.kind, engine.link_ms});
  }
  for (const OutlierDetector::Ejection& ejection : m_detector.Evaluate(peers, now)) {
    group.engines[ejection.index].record->slow_start.Begin(ejection.until);
  }
}

}  // namespace

std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random) {
  return MakeChainSelector(std::move(random), SelectorOptions());
}

std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random,
                                                 const SelectorOptions& options) {
  return std::make_unique<GraphChainSelector>(std::move(random), options);
}

}  // namespace azuregw
