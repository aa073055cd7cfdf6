// Tests that a valid preset document is read exactly and that all problems of an invalid one are
// reported.

#include "azuregw/preset/preset_codec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

using nlohmann::json;

std::set<std::string> Paths(const json& document) {
  std::set<std::string> paths;
  for (const PresetProblem& problem : ParsePreset(document).problems) {
    paths.insert(problem.path);
  }
  return paths;
}

BOOST_AUTO_TEST_SUITE(preset_codec)

BOOST_AUTO_TEST_CASE(valid_document_is_read_exactly) {
  const PresetParseResult report = ParsePreset(TestPresetDocument());
  for (const PresetProblem& problem : report.problems) {
    BOOST_ERROR(problem.path + ": " + problem.message);
  }
  const Preset& preset = report.preset;
  BOOST_TEST(preset.models.at("design").layers == 24);
  BOOST_TEST(preset.engines.at("design-b1").range.first == 12);
  BOOST_TEST(preset.service_upstreams.at("bookings-1").capacity == 16);
  BOOST_TEST(preset.services.at("bookings").operations.at(0).key_required);
  BOOST_TEST(preset.workspaces.at("stall").weight == 10.0);
}

// Guards against a member that is lost when a preset is read and written again.
BOOST_AUTO_TEST_CASE(round_trip_keeps_every_field) {
  json document = TestPresetDocument();
  document["models"]["design"]["activation_transfer"] = "inline";
  document["upstreams"]["design-a1"]["checks_fencing"] = true;
  document["upstreams"]["design-a1"]["version"] = "7";
  document["upstreams"]["design-a1"]["step_ms"] = 2.5;
  document["upstreams"]["design-a1"]["adapters"] = {"x", "y"};
  document["upstreams"]["design-a1"]["role"] = "decode";
  document["limits"] = {{"max_body_bytes", 2048},
                        {"step_timeout_ms", 11},
                        {"default_deadline_ms", 12},
                        {"retry_budget_percent", 13}};
  document["orders"] = {{"shards", 14}, {"retention_s", 600}};
  document["weight_store"] = {{"loads_per_minute", 15}};
  const PresetParseResult first = ParsePreset(document);
  BOOST_REQUIRE(first.problems.empty());
  const json written = PresetToJson(first.preset);
  // The output has each member that differs from its default, and all limits.
  BOOST_TEST(written.at("upstreams").at("design-a1") == document["upstreams"]["design-a1"]);
  BOOST_TEST(written.at("limits") == document["limits"]);
  BOOST_TEST(written.at("orders") == document["orders"]);
  BOOST_TEST(written.at("weight_store") == document["weight_store"]);
  const PresetParseResult second = ParsePreset(written);
  BOOST_REQUIRE(second.problems.empty());
  BOOST_TEST(EncodePreset(second.preset) == EncodePreset(first.preset));
}

// Guards against reporting only the first problem.
BOOST_AUTO_TEST_CASE(all_problems_are_reported) {
  json document = TestPresetDocument();
  document["models"]["design"]["max_tokens"] = 0;
  document["upstreams"]["design-a1"]["address"] = "localhost";
  document["upstreams"]["design-b1"]["capacity"] = "many";
  document["links"]["fd-a"]["fd-z"] = 1.0;
  document["workspaces"]["stall"]["priority"] = 10;
  const std::set<std::string> expected = {
      "/models/design/max_tokens", "/upstreams/design-a1/address", "/upstreams/design-b1/capacity",
      "/links/fd-a/fd-z", "/workspaces/stall/priority"};
  BOOST_TEST((Paths(document) == expected));
  BOOST_TEST(ParsePreset(document).problems.size() == expected.size());
}

// Guards against a preset in which no chain of engines can serve a model.
BOOST_AUTO_TEST_CASE(gap_in_layers_is_rejected) {
  json document = TestPresetDocument();
  document["upstreams"]["design-b1"]["first_layer"] = 13;
  BOOST_TEST((Paths(document) == std::set<std::string>{"/models/design"}));
  // Overlapping ranges do not form a chain: each range must start where another one ends.
  document["upstreams"]["design-b1"]["first_layer"] = 8;
  BOOST_TEST((Paths(document) == std::set<std::string>{"/models/design"}));
}

BOOST_AUTO_TEST_CASE(unknown_references_are_rejected) {
  json document = TestPresetDocument();
  document["upstreams"]["bookings-1"]["service"] = "stock";
  document["upstreams"]["extra"] = TestEngine(9003, 0, 24, "fd-a");
  document["upstreams"]["extra"]["model"] = "counter";
  const std::set<std::string> expected = {"/upstreams/bookings-1/service", "/upstreams/extra/model",
                                          "/services/bookings"};
  BOOST_TEST((Paths(document) == expected));
}

// Guards against two names for one engine, which would double its capacity in the load table.
BOOST_AUTO_TEST_CASE(duplicate_address_is_rejected) {
  json document = TestPresetDocument();
  document["upstreams"]["design-b1"]["address"] = "127.0.0.1:9001";
  BOOST_TEST((Paths(document) == std::set<std::string>{"/upstreams/design-b1/address"}));
}

// Guards against a misspelt member, which would silently leave the default in effect.
BOOST_AUTO_TEST_CASE(unknown_member_is_rejected) {
  json document = TestPresetDocument();
  document["limits"] = {{"step_timeout", 5}};
  BOOST_TEST((Paths(document) == std::set<std::string>{"/limits/step_timeout"}));
}

// Guards against crashes on documents with members of the wrong type.
BOOST_AUTO_TEST_CASE(wrong_types_are_reported) {
  for (const char* text : {"1", "[]", "null", "{}", R"({"models":[],"upstreams":3})",
                           R"({"upstreams":{"x":1},"links":{"a":2},"workspaces":{"w":[]}})",
                           R"({"name":"n","upstreams":{"x":{"type":"engine","capacity":1e99}}})"}) {
    BOOST_TEST(!ParsePreset(json::parse(text)).problems.empty());
  }
  BOOST_TEST((DecodePreset("{").error().code == ResultCode::kPresetInvalid));
}

BOOST_AUTO_TEST_CASE(unlisted_links_have_default_latency) {
  const Preset preset = ParsePreset(TestPresetDocument()).preset;
  BOOST_TEST(LinkMs(preset, "fd-a", "fd-b") == 0.5);
  BOOST_TEST(LinkMs(preset, "fd-b", "fd-a") == 0.5);
  BOOST_TEST(LinkMs(preset, "fd-a", "fd-a") == 0.1);
  BOOST_TEST(LinkMs(preset, "fd-a", "fd-c") == 1.0);
}

// Guards against a retry of a call whose path shares only a part of a segment with an idempotent
// operation.
BOOST_AUTO_TEST_CASE(operations_match_whole_path_segments) {
  ServiceSpec service;
  service.operations = {{"POST", "/search", true, false}, {"POST", "/search/book", false, true}};
  BOOST_TEST(FindOperation(service, "POST", "/search").repeatable);
  BOOST_TEST(FindOperation(service, "POST", "/search/now?x=1").repeatable);
  BOOST_TEST(FindOperation(service, "POST", "/search?x=1").repeatable);
  BOOST_TEST(!FindOperation(service, "POST", "/searching").repeatable);
  BOOST_TEST(FindOperation(service, "POST", "/search/book/1").key_required);
  BOOST_TEST(FindOperation(service, "GET", "/other").repeatable);
  BOOST_TEST(!FindOperation(service, "PUT", "/search").repeatable);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
