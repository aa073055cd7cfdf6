// One soak: instances of azuregw as processes, stand-ins for the store and the upstreams, callers
// that send all the time, and a series of faults drawn from a seed. It judges the promises from
// what callers and upstreams see.

#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw::soak {

struct SoakOptions {
  uint64_t seed = 1;
  int instances = 4;
  Milliseconds faults_for{8000};
  // Time from the last fault until everything must be served again.
  Milliseconds recovery{8000};
  // One request in fifteen contains a prompt part that crashes engines, until the end.
  bool bad_part = false;
  // One request in fifteen is a look-up that crashes the upstreams that run it, until the end.
  bool bad_look = false;
  // The store is restored from older copies.
  bool restores = false;
  // Answers that end with their connection, long answers to callers that read slowly, callers that
  // send without end, and an operator who writes late to a restored store.
  bool hard_transfers = false;
};

struct SoakReport {
  std::vector<std::string> violations;  // Each with the request id or the process.
  std::map<std::string, int> outcomes;  // Of the callers' requests.
  std::vector<std::string> faults;      // With their times.
  int served_at_end = 0;                // Of asked_at_end requests after the recovery.
  int asked_at_end = 0;
  int bad_part_crashes = 0;
  int bad_part_sends = 0;  // Sends by undisturbed instances, later than the window after the fifth.
  std::string log_directory;  // Logs of the instances.
};

SoakReport RunSoak(const SoakOptions& options);

}  // namespace azuregw::soak

#endif  // TESTS_SOAK_SOAK_RUN_H_
