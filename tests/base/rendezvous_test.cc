// Rendezvous hashing: owners must agree between processes and move little when membership changes.

#include "azuregw/base/rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace azuregw {
namespace {

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("gw-" + std::to_string(i));
  }
  return names;
}

BOOST_AUTO_TEST_SUITE(rendezvous)

// Guards against a change of the hash, which would split ownership between versions.
BOOST_AUTO_TEST_CASE(hash_is_stable) {
  BOOST_TEST(StableHash("azuregw") == StableHash("azuregw", 0));
  BOOST_TEST(StableHash("a") != StableHash("b"));
}

// Guards against reshuffling every key when one instance leaves.
BOOST_AUTO_TEST_CASE(removal_moves_only_the_removed_owners_keys) {
  const std::vector<std::string> all = Names(9);
  const std::vector<std::string> fewer(all.begin(), all.end() - 1);
  for (int key = 0; key < 500; ++key) {
    const std::string name = "key-" + std::to_string(key);
    const size_t before = RendezvousTop(name, all, 1)[0];
    if (before + 1 != all.size()) {
      BOOST_TEST(RendezvousTop(name, fewer, 1)[0] == before);
    }
  }
}

BOOST_AUTO_TEST_CASE(fewer_names_than_owners_asked_for) {
  BOOST_TEST(RendezvousTop("k", Names(2), 5).size() == 2u);
  BOOST_TEST(RendezvousTop("k", Names(0), 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
