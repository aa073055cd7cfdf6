// Tests the selection of range widths on the engines of several deployments.

#include "azuregw/placement/layout_shape.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layer_layout.h"
#include "tests/support/deployments.h"

namespace azuregw {
namespace {

// Applies the planned layout to the engines that hold no layers.
void ApplyLayout(const EngineProfile& profile, std::vector<LayoutEngine>* engines) {
  for (const LayoutChange& change : PlanLayout(profile, *engines)) {
    for (LayoutEngine& engine : *engines) {
      if (engine.id == change.id) {
        engine.layers = change.layers;
      }
    }
  }
}

// Returns the least number of requests of typical size that the holders of one layer in `domain`
// can run together; with `without_largest`, after the loss of the largest holder.
double WeakestLayer(const EngineProfile& profile, const std::vector<LayoutEngine>& engines,
                    const std::string& domain, bool without_largest) {
  const double tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens;
  double weakest = std::numeric_limits<double>::infinity();
  for (int layer = 0; layer < profile.layers; ++layer) {
    double total = 0;
    double largest = 0;
    for (const LayoutEngine& engine : engines) {
      if (engine.failure_domain == domain && engine.layers && engine.layers->first <= layer &&
          layer < engine.layers->last) {
        const int held = engine.layers->last - engine.layers->first;
        const double requests =
            EngineModel(profile, engine.accelerator).KvTokenLayers(held) / held / tokens;
        total += requests;
        largest = std::max(largest, requests);
      }
    }
    weakest = std::min(weakest, total - (without_largest ? largest : 0));
  }
  return weakest;
}

BOOST_AUTO_TEST_SUITE(layout_shape)

// Guards against a search that takes time exponential in the number of kinds: six foreign entries
// hung one leader after the other. Completes within the test's time only if the number of scored
// shapes is bounded.
BOOST_AUTO_TEST_CASE(many_kinds_are_planned_in_bounded_time) {
  EngineProfile profile = MixedProfile();
  std::vector<LayoutEngine> engines;
  for (int kind = 0; kind < 24; ++kind) {
    const std::string name = "kind-" + std::to_string(kind);
    profile.kinds[name] = {name, 72000, 1.0 + kind, 1};
    for (const char* const domain : {"a", "b"}) {
      engines.push_back({name + domain, domain, name, std::nullopt});
    }
  }
  const LayoutShape shape = ChooseLayoutShape(profile, engines);
  BOOST_TEST(shape.cell_layers > 0);
  for (const LayoutEngine& engine : engines) {
    BOOST_TEST(shape.CellsOf(engine.accelerator) > 0);
  }
}

// Load pattern: steady load. Guards against failure domains that cannot serve on their own: each of
// their requests would cross the links between domains, which carry fewer requests than arrive.
BOOST_AUTO_TEST_CASE(every_failure_domain_serves_alone_in_every_deployment) {
  for (const Deployment& deployment : Deployments()) {
    std::vector<LayoutEngine> engines = deployment.LayoutEngines();
    ApplyLayout(deployment.profile, &engines);
    for (size_t domain = 0; domain < deployment.engines[0].by_domain.size(); ++domain) {
      const std::string name(1, static_cast<char>('a' + domain));
      BOOST_TEST_CONTEXT(deployment.name << ", failure domain " << name) {
        // A stream takes about 1.5 s, so that this many run at once in each domain.
        const double running = 1.5 * deployment.streams_per_s /
                               static_cast<double>(deployment.engines[0].by_domain.size());
        BOOST_TEST(WeakestLayer(deployment.profile, engines, name, false) > running);
      }
    }
  }
}

// Load pattern: one engine of a domain fails at steady load. In the large deployments the others
// must serve the domain's load.
BOOST_AUTO_TEST_CASE(large_failure_domains_serve_without_their_largest_holder) {
  for (const Deployment& deployment : Deployments()) {
    if (deployment.instances < 60) {
      continue;
    }
    std::vector<LayoutEngine> engines = deployment.LayoutEngines();
    ApplyLayout(deployment.profile, &engines);
    for (size_t domain = 0; domain < deployment.engines[0].by_domain.size(); ++domain) {
      const std::string name(1, static_cast<char>('a' + domain));
      BOOST_TEST_CONTEXT(deployment.name << ", failure domain " << name) {
        const double running = 1.5 * deployment.streams_per_s /
                               static_cast<double>(deployment.engines[0].by_domain.size());
        BOOST_TEST(WeakestLayer(deployment.profile, engines, name, true) > running);
      }
    }
  }
}

// Guards against ranges that exceed the memory or leave none for requests.
BOOST_AUTO_TEST_CASE(every_range_leaves_memory_for_requests) {
  for (const Deployment& deployment : Deployments()) {
    const EngineProfile& profile = deployment.profile;
    const LayoutShape shape = ChooseLayoutShape(profile, deployment.LayoutEngines());
    const double tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens;
    for (const auto& [kind, cells] : shape.cells_by_kind) {
      const int layers = cells * shape.cell_layers;
      BOOST_TEST_CONTEXT(deployment.name << ", " << kind << ", layers " << layers) {
        BOOST_TEST(layers > 0);
        BOOST_TEST(EngineModel(profile, kind).KvTokenLayers(layers) / layers / tokens >= 8);
      }
    }
  }
}

// Guards against a grid that changes while engines come and go, or with the planning instance.
BOOST_AUTO_TEST_CASE(held_widths_are_kept) {
  for (const Deployment& deployment : Deployments()) {
    std::vector<LayoutEngine> engines = deployment.LayoutEngines();
    const LayoutShape shape = ChooseLayoutShape(deployment.profile, engines);
    ApplyLayout(deployment.profile, &engines);
    for (size_t i = 0; i < engines.size(); i += 3) {
      engines[i].layers.reset();  // A third of the engines restarted empty.
    }
    engines.resize(engines.size() * 3 / 4);
    const LayoutShape later = ChooseLayoutShape(deployment.profile, engines);
    for (const auto& [kind, cells] : later.cells_by_kind) {
      BOOST_TEST_CONTEXT(deployment.name << ", " << kind) {
        BOOST_TEST(cells * later.cell_layers == shape.CellsOf(kind) * shape.cell_layers);
      }
    }
  }
}

// Guards against shapes that assume the deployments at hand.
BOOST_AUTO_TEST_CASE(other_deployments_get_a_usable_shape) {
  EngineProfile profile = MixedProfile();
  profile.kinds = {{"x", {"x", 40000, 4, 4}}};
  std::vector<LayoutEngine> engines;
  for (int i = 0; i < 4; ++i) {
    engines.push_back({"x" + std::to_string(i), "a", "x", std::nullopt});
  }
  // Four engines of one kind hold the model exactly once.
  LayoutShape shape = ChooseLayoutShape(profile, engines);
  BOOST_TEST(shape.CellsOf("x") * shape.cell_layers == 20);
  // An unknown kind gets the smallest width.
  engines.push_back({"y", "a", "unknown", std::nullopt});
  shape = ChooseLayoutShape(profile, engines);
  BOOST_TEST(shape.CellsOf("unknown") > 0);
  BOOST_TEST(shape.CellsOf("never seen") > 0);
  // No domain holds the model on its own; together they do.
  engines.clear();
  for (int i = 0; i < 6; ++i) {
    engines.push_back(
        {"z" + std::to_string(i), std::string(1, static_cast<char>('a' + i)), "x", std::nullopt});
  }
  ApplyLayout(profile, &engines);
  for (int layer = 0; layer < profile.layers; ++layer) {
    BOOST_TEST(std::any_of(engines.begin(), engines.end(), [layer](const LayoutEngine& engine) {
      return engine.layers && engine.layers->first <= layer && layer < engine.layers->last;
    }));
  }
  // A path has 32 parts at most, even if the engines could hold only one layer each.
  profile.kinds = {{"tiny", {"tiny", 9000, 4, 4}}};
  engines.clear();
  for (int i = 0; i < 64; ++i) {
    engines.push_back({"t" + std::to_string(i), "a", "tiny", std::nullopt});
  }
  shape = ChooseLayoutShape(profile, engines);
  BOOST_TEST(shape.cell_layers * 32 >= profile.layers);
  // Memory for no layer at all.
  profile.kinds = {{"none", {"none", 1000, 4, 4}}};
  engines = {{"n", "a", "none", std::nullopt}};
  BOOST_TEST(PlanLayout(profile, engines).empty());
}

// Guards against endless reassignments: each one costs a load of weights and some seconds without
// the engine.
BOOST_AUTO_TEST_CASE(planned_layout_is_stable) {
  for (const Deployment& deployment : Deployments()) {
    std::vector<LayoutEngine> engines = deployment.LayoutEngines();
    ApplyLayout(deployment.profile, &engines);
    int moves = 0;
    for (; moves < 20; ++moves) {
      if (PlanLayout(deployment.profile, engines).empty()) {
        break;
      }
      ApplyLayout(deployment.profile, &engines);
    }
    BOOST_TEST_CONTEXT(deployment.name) { BOOST_TEST(moves <= 3); }
  }
}

// Load pattern: a release and the loss of engines at steady load (lietusmuca scale-2, from second
// 25). Guards against cells that stay without holders in a domain, while others have more than they
// need: the streams of all domains then share the few holders of one cell.
BOOST_AUTO_TEST_CASE(engines_are_reassigned_to_cells_that_lost_their_holders) {
  for (const Deployment& deployment : Deployments()) {
    std::vector<LayoutEngine> engines = deployment.LayoutEngines();
    ApplyLayout(deployment.profile, &engines);
    // All holders of one layer in domain "b" are lost.
    engines.erase(std::remove_if(engines.begin(), engines.end(),
                                 [](const LayoutEngine& engine) {
                                   return engine.failure_domain == "b" &&
                                          engine.layers->first <= 40 && 40 < engine.layers->last;
                                 }),
                  engines.end());
    BOOST_TEST_CONTEXT(deployment.name) {
      BOOST_TEST(WeakestLayer(deployment.profile, engines, "b", false) == 0);
      int moves = 0;
      for (; moves < 20 && !PlanLayout(deployment.profile, engines).empty(); ++moves) {
        ApplyLayout(deployment.profile, &engines);
      }
      BOOST_TEST(moves < 20);
      BOOST_TEST(moves > 0);
      int layers_left = 0;
      for (const LayoutEngine& engine : engines) {
        layers_left +=
            engine.failure_domain == "b" ? engine.layers->last - engine.layers->first : 0;
      }
      // Where enough engines are left, the domain is complete again.
      if (layers_left >= 2 * deployment.profile.layers) {
        BOOST_TEST(WeakestLayer(deployment.profile, engines, "b", false) > 0);
      }
    }
  }
}

// Guards against a layout with too many engines that change their layers at a time.
BOOST_AUTO_TEST_CASE(few_engines_change_their_layers_at_a_time) {
  const Deployment deployment = Deployments()[1];
  std::vector<LayoutEngine> engines = deployment.LayoutEngines();
  ApplyLayout(deployment.profile, &engines);
  for (LayoutEngine& engine : engines) {
    if (engine.layers->first == 0) {
      engine.layers = LayerRange{20, 20 + engine.layers->last};
    }
  }
  std::vector<LayoutEngine> settled = engines;
  BOOST_TEST(PlanLayout(deployment.profile, settled).size() == 1U);
  for (size_t i = 0; i < 6; ++i) {
    engines[i].changing = true;
  }
  BOOST_TEST(PlanLayout(deployment.profile, engines).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
