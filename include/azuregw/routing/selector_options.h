// Parameters of chain selection.

#ifndef AZUREGW_ROUTING_SELECTOR_OPTIONS_H_
#define AZUREGW_ROUTING_SELECTOR_OPTIONS_H_

#include <cstddef>

#include "azuregw/routing/outlier_detector.h"

namespace azuregw {

// Parameters of a ChainSelector. The shipped binary uses the defaults; tests disable single
// mechanisms to measure their contribution.
struct SelectorOptions {
  // Engines per (model, range) that one instance uses; 0 means all.
  size_t subset_size = 16;
  // Capacity of the prefix cache index, in prefixes.
  size_t max_cached_prefixes = 16384;
  // Allowed excess over the cheapest chain, as a share of the cheapest engine's cost at this stage.
  // Engines within it are sampled.
  double near_best_tolerance = 0.05;
  // Saving of a fully cached prompt, as a share of the engine's step time per token.
  double cache_saving_share = 0.25;
  bool use_two_choices = true;     // False: always the cheapest engine.
  bool smooth_reports = true;      // False: the last report without smoothing.
  bool use_local_inflight = true;  // False: load reports only.
  bool use_reports = true;         // False: this instance's own sequences only.
  bool use_ejection = true;
  bool use_slow_start = true;
  bool use_leaving_state = true;  // False: only the request's snapshot excludes leaving engines.
  OutlierOptions outliers;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SELECTOR_OPTIONS_H_
