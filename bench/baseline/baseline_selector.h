// Simple chain selection policies that the shipped one is compared with. They are linked into
// azuregw-baseline only.

#ifndef BENCH_BASELINE_BASELINE_SELECTOR_H_
#define BENCH_BASELINE_BASELINE_SELECTOR_H_

#include <memory>
#include <string>

#include "azuregw/base/random.h"
#include "azuregw/routing/chain_selector.h"

namespace azuregw {

// `policy` is "random", "round_robin" or "least_reported" (fewest running and waiting steps in the
// last report). Null for another name.
std::unique_ptr<ChainSelector> MakeBaselineSelector(const std::string& policy,
                                                    std::unique_ptr<Random> random);

}  // namespace azuregw

#endif  // BENCH_BASELINE_BASELINE_SELECTOR_H_
