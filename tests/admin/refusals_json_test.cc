// The operators' table of refusals: a regulator counts these minutes.

#include "admin/refusals_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "tests/fakes/memory_key_value_store.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(refusals_json)

BOOST_AUTO_TEST_CASE(minutes_are_printed_in_utc) {
  RefusalTable table;
  table.rows.push_back({29000000, "fd-a", "stall", "overloaded", 3});
  table.refusal_minutes = {29000000};
  table.incomplete_minutes[29000001] = {"fd-b"};
  const nlohmann::json document = RefusalTableToJson(table);
  BOOST_TEST(document["rows"][0]["minute"] == "2025-02-19T21:20Z");
  BOOST_TEST(document["rows"][0]["count"] == 3);
  BOOST_TEST(document["refusal_minutes"].size() == 1u);
  BOOST_TEST(document["incomplete_minutes"][0]["minute"] == "2025-02-19T21:21Z");
}

// Guards against an outage that looks like "no refusals".
BOOST_AUTO_TEST_CASE(outage_is_an_error) {
  MemoryKeyValueStore kv;
  BOOST_TEST(ReadRefusals(&kv, 24, 1764800000000).value()["rows"].empty());
  kv.SetDown(true);
  BOOST_TEST((ReadRefusals(&kv, 24, 1764800000000).error().code == ResultCode::kKvUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
