// azuregw-baseline: an instance with a baseline policy in place of the shipped chain selection; for
// azuregw-bench.
//
//   azuregw-baseline serve --config=FILE --policy=random

#include <gflags/gflags.h>

#include <iostream>

#include "azuregw/config/settings.h"
#include "azuregw/serve/serve.h"
#include "bench/baseline/baseline_selector.h"

DECLARE_string(config);
DEFINE_string(policy, "random", "random, round_robin or least_reported");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const azuregw::Result<azuregw::Settings> settings = azuregw::LoadSettings(FLAGS_config);
  if (!settings ||
      azuregw::MakeBaselineSelector(FLAGS_policy, azuregw::MakeSystemRandom()) == nullptr) {
    std::cerr << (settings ? "unknown policy" : settings.error().message) << "\n";
    return 2;
  }
  azuregw::InstanceOptions options;
  options.make_selector = [] {
    return azuregw::MakeBaselineSelector(FLAGS_policy, azuregw::MakeSystemRandom());
  };
  return azuregw::RunServe(settings.value(), options);
}
