// Capacity of each target, derived from the preset.

#ifndef SRC_ADMISSION_CAPACITY_H_
#define SRC_ADMISSION_CAPACITY_H_

#include <string>
#include <unordered_map>

#include "azuregw/control/snapshot.h"

namespace azuregw {

// Returns the number of concurrent requests that the upstreams can run, by target ("model/<name>"
// or "service/<name>"). A model's capacity follows from the maximum flow through its layer ranges,
// which is the throughput of the bottleneck range if the ranges do not overlap. Excludes upstreams
// that are leaving. O(engines).
std::unordered_map<std::string, double> TargetCapacities(const Snapshot& snapshot);

}  // namespace azuregw

#endif  // SRC_ADMISSION_CAPACITY_H_
