// Measures the gap that a caller sees when a stage of its chain is replaced in the middle of an
// answer.

#ifndef BENCH_LOAD_REPAIR_GAPS_H_
#define BENCH_LOAD_REPAIR_GAPS_H_

#include <nlohmann/json.hpp>

#include "tests/support/cluster.h"

namespace azuregw::load {

// Streams `rounds` answers for each kind of repair, one at a time: "recompute" (the stage is
// killed) and "import" (the stage becomes too slow for the step timeout, but still answers).
// Returns per kind the percentiles of the longest gap of an answer in ms, the longest gap of an
// undisturbed answer, and the number of wrong or broken answers.
nlohmann::json MeasureRepairGaps(testing::Cluster* cluster, int rounds);

}  // namespace azuregw::load

#endif  // BENCH_LOAD_REPAIR_GAPS_H_
