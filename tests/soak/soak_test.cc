// Faults in overlapping series against real instances.
//
// AZUREGW_SOAK_SEEDS=FIRST-LAST plays these seeds instead of the few of CI, AZUREGW_SOAK_MS sets
// how long each has faults, AZUREGW_SOAK_INSTANCES how many instances run.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "tests/soak/soak_run.h"

namespace azuregw::soak {
namespace {

int64_t FromEnvironment(const char* name, int64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoll(text, nullptr, 10);
}

void Play(SoakOptions options) {
  const uint64_t seed = options.seed;
  options.instances = static_cast<int>(FromEnvironment("AZUREGW_SOAK_INSTANCES", 4));
  options.faults_for = Milliseconds(FromEnvironment("AZUREGW_SOAK_MS", 8000));
  const SoakReport report = RunSoak(options);
  std::string story = "seed " + std::to_string(seed) + ":";
  for (const auto& [outcome, count] : report.outcomes) {
    story += " " + outcome + " x " + std::to_string(count) + ",";
  }
  story += " at the end " + std::to_string(report.served_at_end) + " of " +
           std::to_string(report.asked_at_end);
  if (options.bad_part || options.bad_look) {
    story += ", crashes " + std::to_string(report.bad_part_crashes) + ", late sends " +
             std::to_string(report.bad_part_sends);
  }
  BOOST_TEST_MESSAGE(story);
  const bool good = report.violations.empty() && report.served_at_end == report.asked_at_end;
  if (!good) {
    story += "; logs in " + report.log_directory;
    for (const std::string& fault : report.faults) {
      story += "\n  " + fault;
    }
  }
  for (const std::string& violation : report.violations) {
    BOOST_ERROR("seed " << seed << ": " << violation);
  }
  BOOST_TEST(report.served_at_end == report.asked_at_end, story);
  BOOST_TEST(good, story);
  // A soak in which nothing is served proves nothing.
  BOOST_TEST(report.outcomes.count("200") > 0);
}

BOOST_AUTO_TEST_SUITE(soak)

// Plays the seeds of the environment, or `first` to `last`.
void PlaySeeds(uint64_t first, uint64_t last, SoakOptions options) {
  if (const char* const range = std::getenv("AZUREGW_SOAK_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(range, &rest, 10);
    last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
  }
  for (uint64_t seed = first; seed <= last; ++seed) {
    options.seed = seed;
    Play(options);
  }
}

// Guards against promises that hold for single faults only.
BOOST_AUTO_TEST_CASE(promises_hold_under_overlapping_faults) { PlaySeeds(1, 2, {}); }

// Guards against prompts that crash engine after engine while instances restart, the store is away
// and other engines crash (dathanna inc1), and against sound prompts that are refused with them.
BOOST_AUTO_TEST_CASE(prompts_that_crash_engines_are_contained) {
  SoakOptions options;
  options.bad_part = true;
  PlaySeeds(1, 2, options);
}

// Guards against a request that takes a plain service away from its callers, amid restarts and
// ordinary crashes (dathanna second1).
BOOST_AUTO_TEST_CASE(requests_that_crash_upstreams_are_contained) {
  SoakOptions options;
  options.bad_look = true;
  PlaySeeds(1, 2, options);
}

// Guards against promises that hold only while the store moves forward.
BOOST_AUTO_TEST_CASE(promises_hold_while_the_store_is_restored) {
  SoakOptions options;
  options.restores = true;
  PlaySeeds(1, 2, options);
}

// Guards against truncated answers that look whole, long answers that are lost, memory that callers
// take without end, and removed keys that a restored store brings back.
BOOST_AUTO_TEST_CASE(promises_hold_for_hard_transfers) {
  SoakOptions options;
  options.hard_transfers = true;
  PlaySeeds(1, 2, options);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::soak
