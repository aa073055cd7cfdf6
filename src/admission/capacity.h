// Concurrent requests that the upstreams of each target can run, from the preset.

#ifndef SRC_ADMISSION_CAPACITY_H_
#define SRC_ADMISSION_CAPACITY_H_

#include <string>
#include <unordered_map>

#include "azuregw/control/snapshot.h"

namespace azuregw {

// By target, "model/<name>" or "service/<name>". A model's capacity is the maximum flow through its
// layer ranges, which is the capacity of the bottleneck range when the ranges do not overlap.
// Leaving upstreams do not count. O(engines).
std::unordered_map<std::string, double> TargetCapacities(const Snapshot& snapshot);

}  // namespace azuregw

#endif  // SRC_ADMISSION_CAPACITY_H_
