// Tests the preset commands as processes, against the fake key-value service.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/platform.h"

namespace azuregw::testing {
namespace {

struct Fixture : Platform {
  void CreateTwo() {
    BOOST_REQUIRE_EQUAL(Preset({"create", "ordinary", WritePreset("ordinary")}).exit_code, 0);
    BOOST_REQUIRE_EQUAL(Preset({"create", "peak", WritePreset("peak")}).exit_code, 0);
  }
};

BOOST_FIXTURE_TEST_SUITE(preset_process, Fixture)

BOOST_AUTO_TEST_CASE(presets_are_created_shown_compared_and_used) {
  CreateTwo();
  const CommandResult used = Preset({"use", "ordinary", "--author=ann"});
  BOOST_TEST(used.exit_code == 0);
  BOOST_TEST(used.output == "accepted: revision 1, preset ordinary\n");
  BOOST_TEST(Preset({"use", "peak", "--json"}).output.find("\"revision\": 2") != std::string::npos);
  BOOST_TEST(Preset({"status"}).output.find("peak") != std::string::npos);
  BOOST_TEST(Preset({"list"}).output.find("ordinary") != std::string::npos);
  BOOST_TEST(Preset({"diff", "current", "ordinary"}).output == "replace /name \"ordinary\"\n");
  const auto shown = nlohmann::json::parse(Preset({"show"}).output, nullptr, false);
  BOOST_TEST(shown.value("name", "") == "peak");
  BOOST_TEST(Preset({"show", "none"}).exit_code == 1);
}

// Guards against an invalid document that is written to the key-value service.
BOOST_AUTO_TEST_CASE(invalid_document_is_refused_with_all_errors) {
  nlohmann::json document = TestPresetDocument("bad");
  document["models"]["design"]["max_tokens"] = 0;
  document["upstreams"]["design-a1"]["address"] = "localhost";
  const std::string path = Write("bad.json", document.dump());
  for (const CommandResult& result :
       {Run({"preset", "validate", path}), Preset({"create", "bad", path})}) {
    BOOST_TEST(result.exit_code == 2);
    BOOST_TEST(result.output.find("/models/design/max_tokens") != std::string::npos);
    BOOST_TEST(result.output.find("/upstreams/design-a1/address") != std::string::npos);
  }
  BOOST_TEST(Preset({"show", "bad"}).exit_code == 1);
}

// Guards against two concurrent changes that are both reported as accepted with the same revision.
BOOST_AUTO_TEST_CASE(concurrent_changes_get_distinct_revisions) {
  CreateTwo();
  // With the delay, both commands read the same revision before either writes.
  ControlKv("/test/delay?ms=200");
  for (int round = 0; round < 3; ++round) {
    auto first = std::async(std::launch::async, [&] { return Preset({"use", "ordinary"}); });
    auto second = std::async(std::launch::async, [&] { return Preset({"use", "peak"}); });
    const CommandResult a = first.get();
    const CommandResult b = second.get();
    BOOST_TEST((a.exit_code == 0 || b.exit_code == 0));
    for (const CommandResult& result : {a, b}) {
      const bool conflict =
          result.exit_code == 4 && result.output.find("revision ") != std::string::npos;
      BOOST_TEST((result.exit_code == 0 || conflict), result.output);
    }
    BOOST_TEST(a.output != b.output);
  }
}

BOOST_AUTO_TEST_CASE(unexpected_revision_is_a_conflict) {
  CreateTwo();
  BOOST_TEST(Preset({"use", "ordinary"}).exit_code == 0);
  const CommandResult conflicting = Preset({"use", "peak", "--expect=0"});
  BOOST_TEST(conflicting.exit_code == 4);
  BOOST_TEST(conflicting.output.find("revision 1") != std::string::npos);
}

// Guards against a reported failure, or a second write, when only the response was lost.
BOOST_AUTO_TEST_CASE(lost_response_is_resolved) {
  CreateTwo();
  ControlKv("/test/drop_replies?count=1");
  const CommandResult used = Preset({"use", "ordinary", "--call_timeout_ms=500"});
  BOOST_TEST(used.exit_code == 0);
  BOOST_TEST(used.output == "accepted: revision 1, preset ordinary\n");
  BOOST_TEST(Preset({"use", "peak"}).output == "accepted: revision 2, preset peak\n");
}

BOOST_AUTO_TEST_CASE(outage_has_its_own_exit_code) {
  CreateTwo();
  ControlKv("/test/outage?ms=60000");
  BOOST_TEST(Preset({"use", "ordinary"}).exit_code == 6);
  BOOST_TEST(Preset({"list"}).exit_code == 6);
}

BOOST_AUTO_TEST_CASE(wait_without_instances_times_out) {
  const CommandResult result =
      Run({"preset", "wait", "--revision=1", "--timeout_ms=300", "--list=" + list()});
  BOOST_TEST(result.exit_code == 7);
  BOOST_TEST(result.output.find("0 of 0 instances have revision 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(wrong_usage_has_its_own_exit_code) {
  BOOST_TEST(Run({"preset", "use", "x"}).exit_code == 2);
  BOOST_TEST(Run({"nonsense"}).exit_code == 2);
  BOOST_TEST(Run({"config", "check", "/nonexistent"}).exit_code == 2);
  BOOST_TEST(Run({"config", "check", "docs/azuregw.example.toml"}).output == "valid\n");
  BOOST_TEST(Run({"--help"}).exit_code == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
