// Tests of PrefixCacheIndex: late events and gaps leave no stale entries.

#include "azuregw/routing/prefix_cache_index.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace azuregw {
namespace {

// Returns the matches of a prompt with these prefix hashes.
std::vector<PrefixCacheIndex::Match> Find(const PrefixCacheIndex& index,
                                          const std::vector<uint64_t>& hashes) {
  std::vector<PrefixCacheIndex::Match> matches;
  index.Find(hashes, &matches);
  return matches;
}

BOOST_AUTO_TEST_SUITE(prefix_cache_index)

// Guards against several matches per engine, and against matches that are not the longest prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_per_engine) {
  PrefixCacheIndex index(100);
  index.OnEvents(1, {{{1, true, 11}, {2, true, 22}, {3, true, 33}}, 3});
  index.OnEvents(2, {{{1, true, 11}}, 1});
  const auto matches = Find(index, {11, 22, 44});
  BOOST_REQUIRE(matches.size() == 2u);
  BOOST_TEST(matches[0].engine == 1u);
  BOOST_TEST(matches[0].length == 2u);
  BOOST_TEST(matches[1].length == 1u);
}

// Guards against matches of a prefix whose eviction was lost in a gap, within or after a batch.
BOOST_AUTO_TEST_CASE(gap_invalidates_entries) {
  PrefixCacheIndex index(100);
  index.OnEvents(1, {{{1, true, 11}, {2, true, 22}}, 2});
  index.OnEvents(1, {{{5, true, 55}}, 5});
  BOOST_TEST(Find(index, {11}).empty());
  BOOST_TEST(Find(index, {55}).size() == 1u);
  index.OnEvents(1, {{}, 5});  // No new events: not a gap.
  BOOST_TEST(Find(index, {55}).size() == 1u);
  index.OnEvents(1, {{}, 9});
  BOOST_TEST(Find(index, {55}).empty());
}

// Guards against a duplicate or late batch that restores an evicted prefix.
BOOST_AUTO_TEST_CASE(old_events_are_ignored) {
  PrefixCacheIndex index(100);
  index.OnEvents(1, {{{1, true, 11}, {2, false, 11}}, 2});
  index.OnEvents(1, {{{1, true, 11}}, 2});
  BOOST_TEST(Find(index, {11}).empty());
}

// Guards against ignoring the events of a restarted engine as old ones.
BOOST_AUTO_TEST_CASE(restarted_engine_starts_empty) {
  PrefixCacheIndex index(100);
  index.OnEvents(1, {{{8, true, 88}, {9, true, 99}}, 9});
  index.OnEvents(1, {{{1, true, 11}}, 1});
  BOOST_TEST(Find(index, {99}).empty());
  BOOST_TEST(Find(index, {11}).size() == 1u);
}

// Guards against memory growth with the number of prompts.
BOOST_AUTO_TEST_CASE(size_is_bounded) {
  PrefixCacheIndex index(100);
  for (uint64_t i = 1; i <= 1000; ++i) {
    index.OnEvents(1, {{{i, true, i}}, i});
  }
  BOOST_TEST(index.size() == 100u);
  BOOST_TEST(Find(index, {1000}).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
