// Least loaded upstream.

#include "azuregw/fleet/upstream_picker.h"

#include <algorithm>
#include <limits>

namespace azuregw {
namespace {

// An upstream's own account is used for this long; it is as old as its last answer.
constexpr Milliseconds kReportedLoadAge{500};
// Load that a hop to another failure domain is worth, in shares of the places.
constexpr double kOtherDomain = 0.15;
// Load that a failure without a success since is worth.
constexpr double kPerFailure = 0.5;
// Load that an upstream that is still slow after its start is worth.
constexpr double kWarmingUp = 0.5;
// Far above any load: suspects come last.
constexpr double kSuspect = 1000;
// Spreads instances that see the same loads.
constexpr double kNoise = 0.05;

}  // namespace

std::string PickUpstream(const Fleet& fleet, const PickQuery& query, Random* random) {
  std::string best;
  double best_score = std::numeric_limits<double>::infinity();
  for (const auto& [id, upstream] : fleet.All()) {
    const UpstreamRecord& record = upstream.record;
    if (record.service != query.service || record.draining || query.excluded.count(id) > 0) {
      continue;
    }
    int running = upstream.own_load.requests + upstream.others_load.requests;
    if (query.now - upstream.reported_at <= kReportedLoadAge) {
      running = std::max(running, upstream.reported_load);
    }
    double score = static_cast<double>(running) / std::max(1, record.slots);
    score += record.failure_domain == query.failure_domain ? 0 : kOtherDomain;
    score += kPerFailure * upstream.failures;
    score += record.warmup_left_ms > 0 ? kWarmingUp : 0;
    score += query.now < upstream.suspect_until ? kSuspect : 0;
    score += kNoise * random->Unit();
    if (score < best_score) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

}  // namespace azuregw
