// Tests the selection of engine paths.

#include "azuregw/fleet/path_selector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layer_layout.h"
#include "tests/support/deployments.h"
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
    fleet.Update(std::move(records), kNow);
    query.service = "model";
    query.profile = &profile;
    query.tokens = 950;
    query.failure_domain = "a";
    query.max_load = 0.95;
    query.now = kNow;
  }
  void ReservePath(const EnginePath& path) {
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

void CheckCoversAllLayers(const EnginePath& path) {
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

// Guards against paths that skip or repeat a layer, at every level of load.
BOOST_AUTO_TEST_CASE(each_path_runs_each_layer_once_and_in_order) {
  Fixture f;
  int paths = 0;
  while (const auto path = f.selector.Choose(f.fleet, f.query, &f.problem)) {
    CheckCoversAllLayers(*path);
    BOOST_TEST(path->peak_load <= 0.95);
    f.ReservePath(*path);
    ++paths;
  }
  BOOST_TEST((f.problem == PathError::kNoCapacity));
  // The engines hold about 5 replicas of the model with memory for some 90 requests each.
  BOOST_TEST(paths > 250);
}

// Load pattern: low load. Guards against paths over slow engines while fast ones are idle.
BOOST_AUTO_TEST_CASE(low_load_stays_on_fast_engines_of_one_failure_domain) {
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

// Load pattern: most first engines state a rate limit (dathanna grown, capped), and the others have
// memory for more streams than slots. Guards against streams that wait for a slot of one engine
// while others have free ones.
BOOST_AUTO_TEST_CASE(paths_begin_elsewhere_before_the_slots_of_an_engine_are_full) {
  Fixture f;
  std::map<std::string, int> begun;
  for (int i = 0; i < 500; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
    BOOST_REQUIRE(path.has_value());
    const std::string& first = path->hops.front().id;
    f.fleet.BeginPath(first);
    BOOST_TEST(++begun[first] <= f.fleet.Find(first)->record.slots);
  }
  // An engine that is the only one is used beyond its slots.
  for (const auto& [id, upstream] : f.fleet.All()) {
    for (int i = 0; i < 400; ++i) {
      f.fleet.BeginPath(id);
    }
  }
  BOOST_TEST(f.selector.Choose(f.fleet, f.query, &f.problem).has_value());
}

// Load pattern: a third of the engines fails. Guards against rejections while the remaining engines
// hold all layers.
// Guards against entries of other writers that each name a failure domain of their own: a search
// takes time for each pair of domains. Sound engines, which are many in few domains, stay in use.
BOOST_AUTO_TEST_CASE(many_failure_domains_do_not_displace_the_large_ones) {
  Fixture f;
  std::vector<UpstreamRecord> records;
  for (const auto& [id, upstream] : f.fleet.All()) {
    records.push_back(upstream.record);
  }
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "0-foreign-" + std::to_string(i);
    records.push_back(EngineRecordOf(name, name, "a100", LayerRange{0, 30}));
  }
  f.fleet.Update(std::move(records), kNow);
  PathError error = PathError::kNoCapacity;
  std::set<std::string> domains;
  for (int i = 0; i < 50; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &error);
    BOOST_REQUIRE(path.has_value());
    for (const PathHop& hop : path->hops) {
      domains.insert(f.fleet.Find(hop.id)->record.failure_domain);
    }
  }
  BOOST_TEST(domains.count("a") == 1U);
  BOOST_TEST(domains.size() <= 16U);
}

BOOST_AUTO_TEST_CASE(suspect_engines_are_excluded) {
  Fixture f;
  std::set<std::string> suspect_ids;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.failure_domain == "b") {
      suspect_ids.insert(id);
    }
  }
  for (const std::string& id : suspect_ids) {
    f.fleet.Suspect(id, Milliseconds(1000), kNow);
  }
  for (int i = 0; i < 50; ++i) {
    const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
    BOOST_REQUIRE(path.has_value());
    CheckCoversAllLayers(*path);
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(suspect_ids.count(hop.id) == 0U);
    }
    f.ReservePath(*path);
  }
  f.query.now = kNow + Milliseconds(1001);
  BOOST_TEST(f.selector.Choose(f.fleet, f.query, &f.problem).has_value());
}

BOOST_AUTO_TEST_CASE(missing_layers_are_distinguished_from_missing_memory) {
  Fixture f;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.layers->first == 0) {
      f.query.excluded.insert(id);
    }
  }
  BOOST_TEST(!f.selector.Choose(f.fleet, f.query, &f.problem).has_value());
  BOOST_TEST((f.problem == PathError::kLayersNotCovered));
}

// Load pattern: a third of the engines is slow. Guards against queues on engines that report a
// slowdown.
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
      BOOST_TEST((f.problem == PathError::kNoCapacity || i == 0));
      break;
    }
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(slow.count(hop.id) == 0U);
    }
    f.ReservePath(*path);
  }
}

// Guards against rerouting a running request to a path that begins with another engine, which is
// not possible.
BOOST_AUTO_TEST_CASE(reroute_keeps_the_first_engine) {
  Fixture f;
  const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
  BOOST_REQUIRE(path.has_value());
  BOOST_REQUIRE(path->hops.size() > 2U);
  f.query.first_hop = path->hops.front();
  f.query.excluded.insert(path->hops[1].id);
  const auto rerouted = f.selector.Choose(f.fleet, f.query, &f.problem);
  BOOST_REQUIRE(rerouted.has_value());
  CheckCoversAllLayers(*rerouted);
  BOOST_TEST(rerouted->hops.front().id == path->hops.front().id);
  for (const PathHop& hop : rerouted->hops) {
    BOOST_TEST(hop.id != path->hops[1].id);
  }
}

// Guards against instances that overload an engine because each counts only its own streams.
BOOST_AUTO_TEST_CASE(load_of_other_instances_is_included) {
  Fixture f;
  std::unordered_map<std::string, UpstreamLoad> others_load;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.record.accelerator != "l4") {
      others_load[id] = {1e9, 100};
    }
  }
  f.fleet.SetOtherInstancesLoad(others_load);
  const auto path = f.selector.Choose(f.fleet, f.query, &f.problem);
  if (path) {
    for (const PathHop& hop : path->hops) {
      BOOST_TEST(f.fleet.Find(hop.id)->record.accelerator == "l4");
    }
  }
  // While the load of the others is unknown, the own load is scaled by the number of instances.
  f.fleet.SetOtherInstancesLoad({});
  f.query.assumed_instances = 9;
  int paths = 0;
  while (const auto next = f.selector.Choose(f.fleet, f.query, &f.problem)) {
    f.ReservePath(*next);
    ++paths;
  }
  BOOST_TEST(paths < 80);
}

// Load pattern: an engine of one domain is lost at full load, so that its streams cross to other
// domains. Guards against the collapse on deployments with narrow links: the link fills, all
// streams that cross it fall silent, and reading them again elsewhere keeps it full.
BOOST_AUTO_TEST_CASE(crossings_stop_before_a_link_is_full) {
  const auto random = MakeRandom(3);
  EngineProfile profile = LietusmucaProfile(426000, 272000, 6500);
  profile.layers = 20;
  Fleet fleet;
  // Domain "a" lacks the second half, which "b" holds twice on slower engines, and "c" once.
  fleet.Update({EngineRecordOf("a0", "a", "a100s", LayerRange{0, 10}),
                EngineRecordOf("b1", "b", "a100s", LayerRange{10, 20}),
                EngineRecordOf("b2", "b", "l4", LayerRange{10, 20}),
                EngineRecordOf("c1", "c", "l4", LayerRange{10, 20})},
               kNow);
  PathQuery query;
  query.service = "model";
  query.profile = &profile;
  query.tokens = 900;
  query.prompt_tokens = 770;
  query.failure_domain = "a";
  query.max_link_load = 0.7;
  query.now = kNow;
  PathError problem = PathError::kLayersNotCovered;
  const PathSelector selector(random.get());
  const LinkId to_b = LinkBetween("a", "b");
  const LinkId to_c = LinkBetween("a", "c");
  int selected = 0;
  bool used_c = false;
  while (const auto path = selector.Choose(fleet, query, &problem)) {
    BOOST_REQUIRE(path->links.size() == 1U);
    BOOST_TEST(path->peak_link_load <= 0.7);
    used_c |= path->links[0] == to_c;
    fleet.Links().OnTransfer(path->links[0], query.prompt_tokens, kNow);
    ++selected;
  }
  BOOST_TEST((problem == PathError::kNoCapacity));
  BOOST_TEST(used_c);
  // Two links of 38,146 tokens per second at 0.7 carry 69 prompts of 770 tokens.
  BOOST_TEST(selected >= 60);
  BOOST_TEST(selected <= 69);
  // The capacity is back once the transfers are done.
  query.now = kNow + Milliseconds(2000);
  BOOST_TEST(selector.Choose(fleet, query, &problem).has_value());
  BOOST_TEST(fleet.Links().Rate(to_b, query.now, 0) < 7000);
}

// Load pattern: 295 instances start 490 streams a second with load reports that are 0.6 s old
// (dathanna large quiet-1, where 60 to 69 of some 80 streams took the same four engines in each
// 0.2 s). Guards against herding: the prompts queue at a few engines while others are idle.
BOOST_AUTO_TEST_CASE(instances_with_the_same_view_spread_their_streams) {
  const Deployment large = Deployments().back();
  std::vector<UpstreamRecord> records = large.Records();
  const std::vector<LayoutChange> layout = PlanLayout(large.profile, large.LayoutEngines());
  for (UpstreamRecord& record : records) {
    for (const LayoutChange& change : layout) {
      if (change.id == record.id) {
        record.layers = change.layers;
      }
    }
  }
  Fleet fleet;
  fleet.Update(records, kNow);
  PathQuery query;
  query.service = "model";
  query.profile = &large.profile;
  query.tokens = 920;
  query.prompt_tokens = 770;
  query.max_load = 0.95;
  query.now = kNow;
  query.cost_jitter = PathCostJitter(large.instances, true);
  const int streams = static_cast<int>(0.6 * large.streams_per_s);
  // Returns the longest time that an engine needs for the prompts of all streams.
  const auto longest_backlog_ms = [&](double unseen_streams) {
    const auto random = MakeRandom(11);
    const PathSelector selector(random.get());
    query.unseen_streams = unseen_streams;
    std::map<std::string, double> backlog_ms;
    double longest = 0;
    for (int i = 0; i < streams; ++i) {
      query.failure_domain = std::string(1, static_cast<char>('a' + i % 5));
      PathError problem = PathError::kLayersNotCovered;
      const auto path = selector.Choose(fleet, query, &problem);
      BOOST_REQUIRE(path.has_value());
      for (const PathHop& hop : path->hops) {
        const EngineModel model(large.profile, fleet.Find(hop.id)->record.accelerator);
        backlog_ms[hop.id] +=
            model.PrefillMs(hop.layers.last - hop.layers.first, query.prompt_tokens);
        longest = std::max(longest, backlog_ms[hop.id]);
      }
    }
    return longest;
  };
  // The first event is due after 600 ms, half of which is left for the rest of the path.
  BOOST_TEST(longest_backlog_ms(streams) < 300);
  BOOST_TEST(longest_backlog_ms(0) > 300);  // The pattern herds without the correction.
}

// Load pattern: 89 instances select paths between two load reports. Guards against all of them
// selecting the same engine, and against a small fleet that no longer prefers the best one.
BOOST_AUTO_TEST_CASE(cost_jitter_grows_with_the_fleet_and_without_load_reports) {
  BOOST_TEST(PathCostJitter(9, true) == 0.1, boost::test_tools::tolerance(0.01));
  BOOST_TEST(PathCostJitter(89, true) > 0.3);
  BOOST_TEST(PathCostJitter(600, true) <= 0.5);
  BOOST_TEST(PathCostJitter(9, false) >= 1.0);
}

// Load pattern: all instances are killed, while engines still run streams that the new processes do
// not know. Guards against repeated requests to engines that look empty (1,264 refusals in eight
// seconds in dathanna grown trouble-1).
BOOST_AUTO_TEST_CASE(engine_that_refused_is_not_assumed_empty) {
  const auto random = MakeRandom(3);
  EngineProfile profile = MixedProfile();
  profile.layers = 8;
  Fleet fleet;
  fleet.Update({EngineRecordOf("quick", "a", "a100", LayerRange{0, 8}),
                EngineRecordOf("other", "a", "l40s", LayerRange{0, 8})},
               kNow);
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
