// Parameters of chain selection. The shipped binary uses the defaults; tests switch single
// mechanisms off to show what each contributes.

#ifndef AZUREGW_ROUTING_SELECTOR_OPTIONS_H_
#define AZUREGW_ROUTING_SELECTOR_OPTIONS_H_

#include <cstddef>

#include "azuregw/routing/outlier_detector.h"

namespace azuregw {

struct SelectorOptions {
  // Engines per (model, range) that one instance uses; 0 means all.
  size_t subset_size = 16;
  size_t max_cached_prefixes = 16384;
  // Engines whose chain costs at most this share of the stage's cost more than the cheapest are
  // near-best.
  double near_best = 0.05;
  // What a fully cached prompt saves, as a share of the engine's step time per token.
  double cache_saving = 0.25;
  bool two_choices = true;
  bool smooth_reports = true;
  bool use_local_inflight = true;  // False: reports alone.
  bool use_reports = true;         // False: this instance's own sequences alone.
  bool use_ejection = true;
  bool use_slow_start = true;
  bool use_leaving_marks = true;  // False: only the request's own snapshot counts.
  OutlierOptions outliers;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SELECTOR_OPTIONS_H_
