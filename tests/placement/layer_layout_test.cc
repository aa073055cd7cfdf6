// Tests the layout of layers on heterogeneous engines.

#include "azuregw/placement/layer_layout.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layout_shape.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

std::vector<LayoutEngine> ToLayoutEngines(const std::vector<UpstreamRecord>& records) {
  std::vector<LayoutEngine> engines;
  for (const UpstreamRecord& record : records) {
    engines.push_back({record.id, record.failure_domain, record.accelerator, record.layers});
  }
  return engines;
}

void Apply(const std::vector<LayoutChange>& changes, std::vector<LayoutEngine>* engines) {
  for (const LayoutChange& change : changes) {
    for (LayoutEngine& engine : *engines) {
      if (engine.id == change.id) {
        engine.layers = change.layers;
      }
    }
  }
}

// Returns the number of engines that hold each layer, in `domain` or, if it is empty, in all
// failure domains.
std::vector<int> CountReplicas(const std::vector<LayoutEngine>& engines,
                               const std::string& domain) {
  std::vector<int> replicas(80, 0);
  for (const LayoutEngine& engine : engines) {
    if (engine.layers && (domain.empty() || engine.failure_domain == domain)) {
      for (int layer = engine.layers->first; layer < engine.layers->last; ++layer) {
        ++replicas[static_cast<size_t>(layer)];
      }
    }
  }
  return replicas;
}

BOOST_AUTO_TEST_SUITE(layer_layout)

// Guards against a failure domain whose requests all cross the shared links.
BOOST_AUTO_TEST_CASE(each_failure_domain_holds_all_layers) {
  std::vector<LayoutEngine> engines = ToLayoutEngines(DeploymentEngines());
  Apply(PlanLayout(MixedProfile(), engines), &engines);
  for (const char* domain : {"a", "b", "c"}) {
    for (const int count : CountReplicas(engines, domain)) {
      BOOST_TEST(count >= 1);
    }
  }
  for (const int count : CountReplicas(engines, "")) {
    BOOST_TEST(count >= 3);
  }
}

// Guards against an engine that crashes because its ordered layers exceed its memory.
BOOST_AUTO_TEST_CASE(no_engine_exceeds_its_memory) {
  const EngineProfile profile = MixedProfile();
  std::vector<LayoutEngine> engines = ToLayoutEngines(DeploymentEngines());
  for (const LayoutChange& change : PlanLayout(profile, engines)) {
    for (const LayoutEngine& engine : engines) {
      if (engine.id == change.id) {
        const int layers = change.layers.last - change.layers.first;
        BOOST_TEST(layers * profile.layer_mb < profile.kinds.at(engine.accelerator).memory_mb);
        BOOST_TEST(EngineModel(profile, engine.accelerator).KvTokenLayers(layers) / layers > 40000);
      }
    }
  }
}

// Guards against ranges that no other engine can replace because they are not aligned to the grid.
BOOST_AUTO_TEST_CASE(ranges_are_aligned_to_one_grid) {
  const EngineProfile profile = MixedProfile();
  const int cell = ChooseLayoutShape(profile, ToLayoutEngines(DeploymentEngines())).cell_layers;
  BOOST_TEST(profile.layers % cell == 0);
  for (const LayoutChange& change : PlanLayout(profile, ToLayoutEngines(DeploymentEngines()))) {
    BOOST_TEST(change.layers.first % cell == 0);
    BOOST_TEST(change.layers.last % cell == 0);
  }
}

// Load pattern: an engine fails permanently and an empty one joins. Guards against a layout that
// reassigns engines in use, or assigns layers with sufficient replicas to the new one.
BOOST_AUTO_TEST_CASE(new_engine_gets_the_cells_of_a_lost_one) {
  const EngineProfile profile = MixedProfile();
  std::vector<LayoutEngine> engines = ToLayoutEngines(DeploymentEngines());
  Apply(PlanLayout(profile, engines), &engines);
  BOOST_TEST(PlanLayout(profile, engines).empty());  // The layout is stable.
  const LayoutEngine lost = engines.front();         // A fast engine.
  engines.erase(engines.begin());
  engines.push_back({"new", lost.failure_domain, lost.accelerator, std::nullopt});
  const auto changes = PlanLayout(profile, engines);
  BOOST_REQUIRE(changes.size() == 1);
  BOOST_TEST(changes[0].id == "new");
  BOOST_TEST(changes[0].layers.first == lost.layers->first);
  BOOST_TEST(changes[0].layers.last == lost.layers->last);
}

// Load pattern: all engines that hold some layers fail at once. Guards against a fleet that cannot
// serve requests although other engines are redundant.
BOOST_AUTO_TEST_CASE(redundant_engine_is_reassigned_to_uncovered_layers) {
  const EngineProfile profile = MixedProfile();
  std::vector<LayoutEngine> engines = ToLayoutEngines(DeploymentEngines());
  Apply(PlanLayout(profile, engines), &engines);
  std::vector<LayoutEngine> remaining;
  for (const LayoutEngine& engine : engines) {
    if (engine.layers->first > 0) {
      remaining.push_back(engine);
    }
  }
  for (int round = 0; round < 20; ++round) {
    const auto changes = PlanLayout(profile, remaining);
    BOOST_TEST(changes.size() <= 1);
    if (changes.empty()) {
      break;
    }
    Apply(changes, &remaining);
  }
  for (const int count : CountReplicas(remaining, "")) {
    BOOST_TEST(count >= 1);
  }
}

// Guards against layouts that assume one deployment: here few engines of a single kind and a layer
// count that no grid divides.
BOOST_AUTO_TEST_CASE(other_deployments_are_covered) {
  EngineProfile profile = MixedProfile();
  profile.layers = 61;
  profile.kinds = {{"x", {"x", 40000, 4, 4}}};
  std::vector<LayoutEngine> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back({"x" + std::to_string(i), "a", "x", std::nullopt});
  }
  Apply(PlanLayout(profile, engines), &engines);
  std::vector<int> replicas = CountReplicas(engines, "");
  for (int layer = 0; layer < 61; ++layer) {
    BOOST_TEST(replicas[static_cast<size_t>(layer)] >= 1);
  }
  BOOST_TEST(PlanLayout(profile, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
