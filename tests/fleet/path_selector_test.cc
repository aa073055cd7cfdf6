// Choice of the engines that an answer passes through.

#include "azuregw/fleet/path_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layer_layout.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

struct Fixture {
  Fixture() : random(MakeRandom(7)), selector(random.get()), profile(MixedProfile()) {
    std::vector<UpstreamRecord> records = DeploymentEngines();
    std::vector<LayoutEngine> engines;
    for (const UpstreamRecord& record : records) {
      engines.push_back({record.id, record.failure_domain, record.accelerator, std::nullopt});
    }
    for (const LayoutChange& change : PlanLayout(profile, engines)) {
      for (UpstreamRecord& record : records) {
        if (record.id == change.id) {
          record.layers = change.layers;
        }
      }
    }
    fleet.Update(std::move(records), false, kNow);
    query.service = "model";
    query.profile = &profile;
    query.tokens = 950;
    query.failure_domain = "a";
    query.max_load = 0.95;
    query.now = kNow;
  }
  void Hold(const EnginePath& path) {
    for (const PathHop& hop : path.hops) {
      fleet.Reserve(hop.id, query.tokens * (hop.layers.last - hop.layers.first));
    }
  }

  std::unique_ptr<Random> random;
  PathSelector selector;
  EngineProfile profile;
  Fleet fleet;
  PathQuery query;
  PathError problem = PathError::kLayersNotCovered;
};

void CheckWhole(const EnginePath& path) {
  int layer = 0;
  std::set<std::string> ids;
  for (const PathHop& hop : path.hops) {
    BOOST_TEST(hop.layers.first == layer);
    BOOST_TEST(hop.layers.last > hop.layers.first);
    layer = hop.layers.last;
    BOOST_TEST(ids.insert(hop.id).second);
  }
  BOOST_TEST(layer == 80);
}

BOOST_AUTO_TEST_SUITE(path_selector)

// Guards against a token that skips or repeats a layer, at every level of load.
BOOST_AUTO_TEST_CASE(every_path_runs_each_layer_once_and_in_order) {
  Fixture f;
  int paths = 0;
  while (const auto path = f.selector.Choose(f.fleet, f.query, &f.problem)) {
    CheckWhole(*path);
    BOOST_TEST(path->peak_load <= 0.95);
    f.Hold(*path);
    ++paths;
  }
  BOOST_TEST((f.problem == PathError::kNoMemory));
  // All engines hold about 5 copies with memory for some 90 requests each.
  BOOST_TEST(paths > 250);
}

// Load pattern: a calm day. Guards against answers on slow engines while fast ones are free.
BOOST_AUTO_TEST_CASE(calm_load_stays_on_fast_engines_of_one_failure_domain) {
  Fixture f;
  int slow_hops = 0;
  int crossings = 0;
  for (int i = 0; i < 30; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
    BOOST_REQUIRE(path.has_value());
    std::string domain;
    for (const PathHop& hop : path->hops) {
      const UpstreamRecord& record = f.fleet.Find(hop.id)->record;
      slow_hops += record.accelerator == "l4" ? 1 : 0;
      crossings += !domain.empty() && domain != record.failure_domain ? 1 : 0;
      domain = record.failure_domain;
    }
  }
  BOOST_TEST(slow_hops < 60);
  BOOST_TEST(crossings < 60);
}

// Load pattern: a third of the engines is lost. Guards against a refusal while others hold all
// layers.
BOOST_AUTO_TEST_CASE(suspect_and_draining_engines_are_left_out) {
  Fixture f;
  std::set<std::string> gone;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.failure_domain == "b") {
      gone.insert(id);
    }
  }
  for (const std::string& id : gone) {
    f.fleet.Suspect(id, Milliseconds(1000), kNow);
  }
  for (int i = 0; i < 50; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
    BOOST_REQUIRE(path.has_value());
    CheckWhole(*path);
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(gone.count(hop.id) == 0U);
    }
    f.Hold(*path);
  }
  f.query.now = kNow + Milliseconds(1001);
  BOOST_TEST(f.selector.Choose(f.fleet, f.query, &f.problem).has_value());
}

BOOST_AUTO_TEST_CASE(missing_layers_are_told_from_missing_memory) {
  Fixture f;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.layers->first == 0) {
      f.query.excluded.insert(id);
    }
  }
  BOOST_TEST(!f.selector.Choose(f.fleet, f.query, &f.problem).has_value());
  BOOST_TEST((f.problem == PathError::kLayersNotCovered));
}

// Load pattern: a third of the engines is slow. Guards against queues on engines that say so.
BOOST_AUTO_TEST_CASE(slow_engines_are_avoided) {
  Fixture f;
  std::set<std::string> slow;
  int index = 0;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (index++ % 3 == 0) {
      slow.insert(id);
    }
  }
  for (const std::string& id : slow) {
    f.fleet.OnPace(id, 12, kNow);
  }
  f.query.max_slowdown = 3.5;
  for (int i = 0; i < 40; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
    if (!path) {
      BOOST_TEST((f.problem == PathError::kNoMemory || i == 0));
      break;
    }
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(slow.count(hop.id) == 0U);
    }
    f.Hold(*path);
  }
}

// Guards against a changed path that begins with another engine, which a running request cannot
// take.
BOOST_AUTO_TEST_CASE(path_can_keep_its_first_engine) {
  Fixture f;
  const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
  BOOST_REQUIRE(path.has_value());
  BOOST_REQUIRE(path->hops.size() > 2U);
  f.query.first_hop = path->hops.front();
  f.query.excluded.insert(path->hops[1].id);
  const auto changed = f.selector.Choose(f.fleet, f.query, &f.problem);
  BOOST_REQUIRE(changed.has_value());
  CheckWhole(*changed);
  BOOST_TEST(changed->hops.front().id == path->hops.front().id);
  for (const PathHop& hop : changed->hops) {
    BOOST_TEST(hop.id != path->hops[1].id);
  }
}

// Guards against instances that overfill an engine because each sees only its own streams.
BOOST_AUTO_TEST_CASE(load_of_other_instances_counts) {
  Fixture f;
  std::unordered_map<std::string, UpstreamLoad> others;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.accelerator != "l4") {
      others[id] = {1e9, 100};
    }
  }
  f.fleet.SetOtherInstancesLoad(others);
  const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
  if (path) {
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(f.fleet.Find(hop.id)->record.accelerator == "l4");
    }
  }
  // Without that knowledge the own load stands for all instances.
  f.fleet.SetOtherInstancesLoad({});
  f.query.assumed_instances = 9;
  int paths = 0;
  while (const auto next = f.selector.Choose(f.fleet, f.query, &f.problem)) {
    f.Hold(*next);
    ++paths;
  }
  BOOST_TEST(paths < 80);
}

// Load pattern: 89 instances choose between two reports. Guards against all of them taking the same
// engine, and against a small fleet that no longer prefers the best one.
BOOST_AUTO_TEST_CASE(choices_spread_with_the_fleet_and_most_without_knowledge) {
  BOOST_TEST(PathCostJitter(9, true) == 0.1, boost::test_tools::tolerance(0.01));
  BOOST_TEST(PathCostJitter(89, true) > 0.3);
  BOOST_TEST(PathCostJitter(600, true) <= 0.5);
  BOOST_TEST(PathCostJitter(9, false) >= 1.0);
}

// Load pattern: all instances are killed, and engines go on for their callers, of whom the new
// processes know nothing. Guards against engines that are asked again and again because they look
// empty (dathanna grown trouble-1: 1,264 refusals in eight seconds).
BOOST_AUTO_TEST_CASE(engine_that_refused_is_not_taken_for_empty) {
  const auto random = MakeRandom(3);
  EngineProfile profile = MixedProfile();
  profile.layers = 8;
  Fleet fleet;
  fleet.Update({EngineRecordOf("quick", "a", "a100", LayerRange{0, 8}),
                EngineRecordOf("other", "a", "l40s", LayerRange{0, 8})},
               false, kNow);
  PathQuery query;
  query.service = "model";
  query.profile = &profile;
  query.tokens = 100;
  query.failure_domain = "a";
  query.max_load = 0.95;
  PathError problem = PathError::kLayersNotCovered;
  const PathSelector selector(random.get());
  const auto first_at = [&](TimePoint now) {
    query.now = now;
    const auto path = selector.Choose(fleet, query, &problem);
    return path ? path->hops.front().id : std::string("none");
  };
  BOOST_TEST(first_at(kNow) == "quick");
  fleet.MarkFull("quick", Milliseconds(200), kNow);
  BOOST_TEST(first_at(kNow + Milliseconds(300)) == "other");
  BOOST_TEST(first_at(kNow + Milliseconds(3100)) == "quick");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
