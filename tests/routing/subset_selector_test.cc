// Tests of SubsetSelector: even use of engines, coverage of cells and stability under removal.

#include "azuregw/routing/subset_selector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace azuregw {
namespace {

// Candidates in five failure domains and three kinds.
struct TestEngines {
  explicit TestEngines(int count) {
    for (int i = 0; i < count; ++i) {
      names.push_back("engine-" + std::to_string(i));
      // Failure domains and kinds differ in size.
      candidates.push_back({names.back(), i % 7 == 0 ? 4 : i % 4, i % 10 == 0 ? 2 : i % 2});
    }
  }
  std::deque<std::string> names;
  std::vector<SubsetCandidate> candidates;
};

BOOST_AUTO_TEST_SUITE(subset_selector)

// Guards against engines that no instance uses, or that all instances use.
BOOST_AUTO_TEST_CASE(instances_spread_evenly) {
  const TestEngines engines(100);
  const SubsetSelector selector(16);
  std::vector<int> uses(100);
  for (int i = 0; i < 600; ++i) {
    for (const size_t e : selector.Select("gw-" + std::to_string(i), "m/0-8", engines.candidates)) {
      ++uses[e];
    }
  }
  // The mean is 96 uses per engine.
  BOOST_TEST(*std::min_element(uses.begin(), uses.end()) > 60);
  BOOST_TEST(*std::max_element(uses.begin(), uses.end()) < 140);
}

// Guards against a subset within one failure domain, whose outage would leave no engine.
BOOST_AUTO_TEST_CASE(subset_covers_large_domains_and_kinds) {
  const TestEngines engines(100);
  const SubsetSelector selector(16);
  for (int i = 0; i < 50; ++i) {
    const auto chosen = selector.Select("gw-" + std::to_string(i), "m/0-8", engines.candidates);
    BOOST_TEST(chosen.size() >= 15u);
    BOOST_TEST(chosen.size() <= 17u);
    std::set<int> domains;
    std::set<int> kinds;
    for (const size_t e : chosen) {
      domains.insert(engines.candidates[e].failure_domain);
      kinds.insert(engines.candidates[e].kind);
    }
    BOOST_TEST(domains.size() >= 4u);
    BOOST_TEST(kinds.size() >= 2u);
  }
}

// Guards against replacing most connections when one engine is removed.
BOOST_AUTO_TEST_CASE(removal_changes_little) {
  const TestEngines engines(100);
  const SubsetSelector selector(16);
  double changed = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string instance = "gw-" + std::to_string(i);
    std::vector<SubsetCandidate> fewer = engines.candidates;
    fewer.erase(fewer.begin() + i);
    std::set<std::string_view> before;
    for (const size_t e : selector.Select(instance, "m/0-8", engines.candidates)) {
      before.insert(engines.candidates[e].name);
    }
    for (const size_t e : selector.Select(instance, "m/0-8", fewer)) {
      changed += before.count(fewer[e].name) == 0 ? 1 : 0;
    }
  }
  BOOST_TEST(changed / 100 < 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
