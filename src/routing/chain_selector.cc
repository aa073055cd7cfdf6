// Chain selection over the topology of the request's snapshot.

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

constexpr int64_t kEvaluationIntervalNs = 200'000'000;
// Steps with many tokens take far less time per token than decode steps; below this share of the
// engine's step time a latency says nothing about the engine's speed.
constexpr double kDecodeShare = 0.5;

ChainStage StageOf(const PlannedEngine& engine) {
  const EngineSpec& spec = *engine.spec;
  return {spec.name, spec.address, spec.range, spec.failure_domain};
}

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
    SawTime(now);
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
  static void ApplyLoad(EngineRecord* record, const EngineLoad& load, TimePoint now);
  void EvaluateOutliers(const ModelPlan& plan, TimePoint now) const;
  void EvaluateGroup(const RangeGroup& group, TimePoint now) const;
  const PlannedEngine* ChooseReplacement(const ModelPlan& plan,
                                         gsl::span<const PlannedEngine> engines,
                                         gsl::span<const std::string> excluded, int previous,
                                         TimePoint now);

  uint64_t NextRandom() {
    const std::lock_guard<std::mutex> lock(m_random_mutex);
    return m_random->Next();
  }

  // Sequence starts and ends carry no time; they use the latest time of the other calls.
  void SawTime(TimePoint now) {
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
  std::atomic<int64_t> m_last_ns{0};
};

Result<Chain> GraphChainSelector::Select(const Snapshot& snapshot, const ChainRequest& request,
                                         TimePoint now) {
  SawTime(now);
  if (snapshot.preset == nullptr) {
    return NotRun(ResultCode::kNoChain, "no preset is in force");
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
  if (!request.prefix_hashes.empty() && m_options.cache_saving > 0) {
    m_cache_index.Find(request.prefix_hashes, &matches);
  }
  const size_t prefix_length = request.prefix_hashes.size();
  const uint64_t random = NextRandom();
  bool exists = search.Find(plan, m_options, matches, prefix_length, random, now);
  if (!exists) {
    // An ejected engine is better than no chain.
    SelectorOptions all = m_options;
    all.use_ejection = false;
    exists = search.Find(plan, all, matches, prefix_length, random, now);
  }
  if (!exists) {
    return NotRun(ResultCode::kNoChain, "no chain covers every layer of model " + request.model);
  }
  Chain chain;
  chain.expected_step_ms = search.ExpectedMs();
  chain.stages.reserve(search.Engines().size());
  for (const PlannedEngine* engine : search.Engines()) {
    chain.stages.push_back(StageOf(*engine));
  }
  return chain;
}

Result<ChainStage> GraphChainSelector::SelectReplacement(const Snapshot& snapshot,
                                                         const std::string& model, LayerRange range,
                                                         gsl::span<const std::string> excluded,
                                                         const std::string& previous_domain,
                                                         TimePoint now) {
  SawTime(now);
  if (snapshot.preset == nullptr) {
    return NotRun(ResultCode::kNoChain, "no preset is in force");
  }
  const std::shared_ptr<const Topology> topology = m_topologies.Get(snapshot, now);
  const auto found = topology->models.find(model);
  if (found != topology->models.end()) {
    const ModelPlan& plan = *found->second;
    const int domain = topology->DomainIndex(previous_domain);
    const int previous = domain < 0 ? plan.FirstStage() : domain;
    for (const RangeGroup& group : plan.groups) {
      if (!(group.range == range)) {
        continue;
      }
      const PlannedEngine* engine = ChooseReplacement(plan, group.engines, excluded, previous, now);
      if (engine == nullptr) {
        engine = ChooseReplacement(plan, group.others, excluded, previous, now);
      }
      if (engine != nullptr) {
        return StageOf(*engine);
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
    if ((m_options.use_leaving_marks && engine.record->leaving.Leaving(now)) ||
        std::find(excluded.begin(), excluded.end(), engine.spec->name) != excluded.end()) {
      continue;
    }
    const double cost = ServiceMs(engine, m_options, now) + plan.Edge(previous, engine.domain);
    const bool out = m_options.use_ejection && engine.record->health.Ejected(now);
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
  SawTime(now);
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
      break;  // The engine answered; the fault lies elsewhere.
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
      !plan.next_evaluation_ns.compare_exchange_strong(due, now_ns + kEvaluationIntervalNs)) {
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
