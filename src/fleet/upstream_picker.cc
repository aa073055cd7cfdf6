// Selects the upstream with the lowest load score.

#include "azuregw/fleet/upstream_picker.h"

#include <algorithm>
#include <limits>

namespace azuregw {
namespace {

// Lifetime of an upstream's self-reported load, which is as old as its last response.
constexpr Milliseconds kReportedLoadTtl{500};
// Score penalty for another failure domain, as a fraction of the slots.
constexpr double kCrossDomainPenalty = 0.15;
// Score penalty per consecutive failure.
constexpr double kFailurePenalty = 0.5;
// Score penalty while the upstream warms up after its start.
constexpr double kWarmupPenalty = 0.5;
// Score penalty of a suspect upstream; far above any load, so that suspects are selected last.
constexpr double kSuspectPenalty = 1000;
// Maximum random score addition, so that instances with the same view select different upstreams.
constexpr double kScoreJitter = 0.05;

}  // namespace

std::string PickUpstream(const Fleet& fleet, const PickQuery& query, Random* random) {
  std::string best;
  double best_score = std::numeric_limits<double>::infinity();
  for (const auto& [id, upstream] : fleet.All()) {
    const UpstreamRecord& record = upstream.record;
    if (record.service != query.service || !upstream.Accepts(query.now) ||
        query.excluded.count(id) > 0 || !fleet.MayStart(upstream, query.now)) {
      continue;
    }
    int running = upstream.own_load.requests + upstream.others_load.requests;
    if (query.now - upstream.reported_at <= kReportedLoadTtl) {
      running = std::max(running, upstream.reported_load);
    }
    double score = static_cast<double>(running) / std::max(1, record.slots);
    score += record.failure_domain == query.failure_domain ? 0 : kCrossDomainPenalty;
    score += kFailurePenalty * upstream.failures;
    score += record.warmup_left_ms > 0 ? kWarmupPenalty : 0;
    score += upstream.Doubtful(query.now) ? kSuspectPenalty : 0;
    score += kScoreJitter * random->Unit();
    if (score < best_score) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

}  // namespace azuregw
