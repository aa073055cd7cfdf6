// Tests that the memory of parsed heads is not underestimated.

#include "azuregw/net/head_memory.h"

#include <malloc.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(head_memory)

// Guards against heads of many short fields that count with their bytes on the wire.
BOOST_AUTO_TEST_CASE(estimate_covers_what_the_library_takes) {
  for (const size_t length : {0, 1, 13, 40, 400, 3000}) {
    constexpr int kFields = 2000;
    const std::string value(length, 'v');
    const auto before = mallinfo2().uordblks;
    auto fields = std::make_unique<boost::beast::http::fields>();
    for (int i = 0; i < kFields; ++i) {
      fields->insert("a", value);
    }
    const auto taken = mallinfo2().uordblks - before;
    const uint64_t wire = kFields * (kMinFieldBytes + length);
    BOOST_TEST_MESSAGE(length << " bytes: " << taken / kFields << " for each field");
    BOOST_TEST(HeadMemoryBytes(*fields, wire) >= taken);
    BOOST_TEST(HeadMemoryBytes(*fields, wire) <= 2 * taken);
    BOOST_TEST(MaxHeadMemoryBytes(wire) >= HeadMemoryBytes(*fields, wire));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
