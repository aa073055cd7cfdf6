// Bad input from callers and operators: each a clear error with a numbered code, and no crash.

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/cluster.h"

namespace azuregw::testing {
namespace {

using nlohmann::json;
using std::chrono::seconds;

int CodeOf(const HttpResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("code", 0) : 0;
}

BOOST_AUTO_TEST_SUITE(bad_input)

// Guards against crashes and unclear answers for every kind of malformed request.
BOOST_AUTO_TEST_CASE(callers_get_numbered_errors) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  const std::string address = cluster->instances()[0].address;
  const Headers auth = cluster->Auth();
  const auto post = [&](const std::string& path, const std::string& body, const Headers& headers) {
    return SendRequest("POST", address, path, body, headers);
  };
  const std::string good = R"({"model":"design","prompt":"a","max_tokens":2})";
  BOOST_TEST(CodeOf(post("/v1/completions", "{\"model\":", auth)) == 1001);
  BOOST_TEST(CodeOf(post("/v1/completions", R"({"model":"none","prompt":"a"})", auth)) == 1003);
  BOOST_TEST(CodeOf(post("/v1/completions", R"({"model":"design","prompt":7})", auth)) == 1002);
  BOOST_TEST(CodeOf(post("/v1/completions", R"({"model":"design"})", auth)) == 1002);
  BOOST_TEST(CodeOf(post("/v1/completions", R"({"model":"design","prompt":"a","max_tokens":-1})",
                         auth)) == 1002);
  BOOST_TEST(CodeOf(post("/v1/chat/completions", R"({"model":"design","messages":[]})", auth)) ==
             1002);
  const HttpResult no_key = post("/v1/completions", good, {});
  BOOST_TEST(no_key.status == 401);
  BOOST_TEST(CodeOf(no_key) == 1004);
  BOOST_TEST(post("/v1/completions", good, {{"Authorization", "Bearer wrong"}}).status == 401);
  const HttpResult large = post("/v1/completions", std::string(200000, 'x'), auth);
  BOOST_TEST(large.status == 413);
  BOOST_TEST(CodeOf(large) == 1005);
  BOOST_TEST(CodeOf(post("/v1/services/none/x", "{}", auth)) == 1006);
  BOOST_TEST(CodeOf(post("/v1/services/bookings/deposits", "{}", auth)) == 1007);
  BOOST_TEST(CodeOf(post("/v1/nothing", "{}", auth)) == 1009);
  Headers resume = auth;
  resume["X-Azuregw-Resume"] = "not-a-token";
  const HttpResult not_resumed = post("/v1/completions", good, resume);
  BOOST_TEST(CodeOf(not_resumed) == 1010);
  // A part of the answer may have run at the instance that gave the token.
  BOOST_TEST(not_resumed.body.find("\"outcome\":\"unknown\"") != std::string::npos,
             not_resumed.body);
  const HttpResult right = post("/v1/completions", good, auth);
  BOOST_TEST(right.status == 200);
  BOOST_TEST(!right.headers.at("x-request-id").empty());
  BOOST_TEST(SendRequest("GET", address, "/healthz", "", {}).status == 200);
  BOOST_TEST(SendRequest("GET", address, "/admin/status", "", {}).status == 404);
  BOOST_TEST(SendRequest("GET", address, "/metrics", "", {}).status == 404);
}

// Guards against an instance that starts with a misspelt key or on a port that is taken.
BOOST_AUTO_TEST_CASE(settings_errors_end_the_start) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  const CommandResult taken = RunCommand(cluster->instances()[0].arguments);
  BOOST_TEST(taken.exit_code != 0);
  BOOST_TEST(taken.output.find("5004") != std::string::npos);
  const std::string path = cluster->directory() + "/wrong.toml";
  std::ofstream(path) << "[instance]\nname = \"x\"\nfailure_domian = \"fd-a\"\n";
  const CommandResult wrong = RunCommand({AZUREGW_BINARY, "serve", "--config=" + path});
  BOOST_TEST(wrong.exit_code != 0);
  BOOST_TEST(wrong.output.find("wrong.toml:3") != std::string::npos);
  BOOST_TEST(wrong.output.find("failure_domian") != std::string::npos);
  BOOST_TEST(wrong.output.find("5002") != std::string::npos);
}

// Guards against a preset that is accepted though callers could not be served under it.
BOOST_AUTO_TEST_CASE(preset_with_five_mistakes_reports_five) {
  const auto cluster = Cluster::Make(ClusterOptions());
  BOOST_REQUIRE(cluster);
  json preset = cluster->preset();
  preset["name"] = "broken";
  preset["models"]["design"]["layers"] = 99;                  // Not covered.
  preset["upstreams"]["design-0a"]["model"] = "none";         // Unknown model.
  preset["upstreams"]["design-1a"]["address"] = "somewhere";  // Not IP:port.
  preset["workspaces"]["ws-0"]["weight"] = -1;                // Out of range.
  preset["limits"]["step_timeout_ms"] = 0;                    // Out of range.
  const std::string path = cluster->directory() + "/broken.json";
  std::ofstream(path) << preset.dump();
  const CommandResult result = RunCommand({AZUREGW_BINARY, "preset", "validate", path});
  BOOST_TEST(result.exit_code != 0);
  for (const char* place : {"models", "design-0a", "design-1a", "ws-0", "step_timeout_ms"}) {
    BOOST_TEST(result.output.find(place) != std::string::npos, place << " in " << result.output);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
