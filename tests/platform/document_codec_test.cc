// Tests of decoding the platform's documents, settings and headers.

#include "platform/document_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/engine_control.h"
#include "platform/header_protocol.h"
#include "platform/settings_file.h"
#include "platform/wire_names.h"

namespace azuregw::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,
  "routes":[{"name":"r1","hostname":"h.example","pathPrefix":"/p/","kind":"streaming",
    "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"maxAttempts":2,"public":false,
    "stickySessions":true,"streamResume":true,"gapAimMs":200,
    "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
   {"name":"r2","hostname":"h.example","pathPrefix":"/q/","kind":"non_idempotent","service":"s2"}],
  "services":[{"name":"s1","healthPath":"/healthz","maxConnections":1078,"protocol":"h1",
    "engine":{"slots":192,"kvTokenBytes":918000,"models":[{"name":"m","pace":1.0,"loadS":14.0}],
      "step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,
      "pairs_per_m":0.309,"chunk":512,"layers":80,"layerMb":1750.0,"actBytes":45900,
      "pipeMbps":26000.0,"usual":{"prompt":774,"answer":200},
      "delays":[{"from":"a","to":"b","delay_ms":0.75}],
      "kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"readX":8.2}]}},
   {"name":"s2","healthPath":"/healthz","maxConnections":110}],
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":0}],
  "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":5000,
    "idleTimeoutMs":7000}})";

BOOST_AUTO_TEST_SUITE(document_codec)

BOOST_AUTO_TEST_CASE(configuration_is_decoded) {
  const auto config = MakeDocumentCodec()->DecodeConfig(kConfig);
  BOOST_REQUIRE(config.has_value());
  const RoutingConfig& c = config.value();
  BOOST_TEST(c.version == 7U);
  BOOST_REQUIRE(c.routes.size() == 2U);
  BOOST_TEST((c.routes[0].retry_policy == RetryPolicy::kStream));
  BOOST_TEST(c.routes[0].MayRetry());
  BOOST_TEST(c.routes[0].services.size() == 2U);
  BOOST_TEST(c.routes[0].max_attempts == 2);
  BOOST_TEST((c.routes[1].retry_policy == RetryPolicy::kAtMostOnce));
  BOOST_TEST(!c.routes[1].MayRetry());
  BOOST_TEST(c.routes[1].services[0].service == "s2");
  const EngineProfile& engine = *c.services.at("s1").engine;
  BOOST_TEST(engine.layers == 80);
  BOOST_TEST(engine.kinds.at("l4").step_factor == 16);
  BOOST_TEST(engine.usual_answer_tokens == 200);
  BOOST_TEST(engine.zone_delay_ms == 0.75);
  BOOST_TEST(!c.services.at("s2").engine.has_value());
  BOOST_TEST(c.workspaces[0].keys.size() == 2U);
  BOOST_TEST(*c.workspaces[0].priority == 0);
  BOOST_TEST((c.limits.idle_timeout == Milliseconds(7000)));
}

// Guards against retries of a route kind that a later platform version adds.
BOOST_AUTO_TEST_CASE(unknown_kind_is_never_retried) {
  std::string text = kConfig;
  text.replace(text.find("non_idempotent"), 14, "some_new_kind");
  const auto config = MakeDocumentCodec()->DecodeConfig(text);
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(!config.value().routes[1].MayRetry());
}

BOOST_AUTO_TEST_CASE(invalid_configuration_names_the_field) {
  std::string text = kConfig;
  text.replace(text.find("\"/q/\""), 5, "17");
  const auto config = MakeDocumentCodec()->DecodeConfig(text);
  BOOST_REQUIRE(!config.has_value());
  BOOST_TEST(config.error().message == "pathPrefix: expected a string");
  BOOST_TEST(!MakeDocumentCodec()->DecodeConfig("\xff\x00{").has_value());
}

BOOST_AUTO_TEST_CASE(upstream_entries_are_decoded) {
  const auto codec = MakeDocumentCodec();
  const auto record = codec->DecodeUpstream(
      "servers/i-1",
      R"({"service":"s1","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":192,
          "state":"draining","warmupLeftMs":0,"sequence":4,"born":1700000000000,"kind":"l4",
          "layers":{"from":8,"to":16,"version":1}})");
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record.value().id == "i-1");
  BOOST_TEST(record.value().draining);
  BOOST_TEST(record.value().started_ms == 1700000000000);
  BOOST_TEST((record.value().layers == LayerRange{8, 16}));
}

// Guards against an entry of another writer that is used as an upstream or hides valid entries.
BOOST_AUTO_TEST_CASE(entries_without_a_usable_upstream_are_errors) {
  const auto codec = MakeDocumentCodec();
  for (const char* value :
       {"", "[]", "{\"service\":3,\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\",\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\",\"state\":\"odd\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\"}"}) {
    BOOST_TEST(!codec->DecodeUpstream("servers/x", value).has_value());
  }
  BOOST_TEST(!codec
                  ->DecodeUpstream("servers/",
                                   "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\","
                                   "\"state\":\"ready\"}")
                  .has_value());
}

// Guards against odd entries of another writer that end the process or are used as upstreams:
// deeply nested, with numbers out of range, with ports out of range, with names that are no header
// values, or with fields missing.
BOOST_AUTO_TEST_CASE(odd_entries_are_errors) {
  const std::string sound =
      R"({"service":"s1","address":"10.0.0.1:80","zone":"a","version":"v1","slots":192,)"
      R"("state":"ready","warmupLeftMs":0,"sequence":4,"born":5,"kind":"l4",)"
      R"("layers":{"from":8,"to":16,"version":1}})";
  const auto codec = MakeDocumentCodec();
  BOOST_REQUIRE(codec->DecodeUpstream("servers/x", sound).has_value());
  const std::pair<const char*, std::string> changes[] = {
      {"\"v1\"", std::string(4000, '[') + std::string(4000, ']')},
      {"\"v1\"", "{}"},
      {"\"version\":\"v1\",", ""},
      {"192", "1e300"},
      {"192", "99999999999999999999999999"},
      {"192", "18446744073709551615"},
      {"192", "-1"},
      {"192", "1.5"},
      {"\"slots\":192,", ""},
      {"\"warmupLeftMs\":0", "\"warmupLeftMs\":1e308"},
      {"\"warmupLeftMs\":0,", ""},
      {"\"sequence\":4", "\"sequence\":-1e18"},
      {"\"sequence\":4,", ""},
      {"\"born\":5", "\"born\":1e19"},
      {"\"from\":8", "\"from\":-9e18"},
      {"\"to\":16", "\"to\":4e9"},
      {":80", ":80000"},
      {":80", ":0"},
      {":80", ":-1"},
      {":80", ":80\\r\\nX-Tenant: t"},
      {"\"a\"", "\"" + std::string(5000, 'a') + "\""},
      {"\"l4\"", "\"l4\\u0000\""},
  };
  for (const auto& [from, to] : changes) {
    std::string odd = sound;
    odd.replace(odd.find(from), std::string(from).size(), to);
    BOOST_TEST(!codec->DecodeUpstream("servers/x", odd).has_value(), odd.substr(0, 300));
  }
  BOOST_TEST(!codec->DecodeUpstream("servers/x\r\ny", sound).has_value());
  BOOST_TEST(!codec->DecodeUpstream("servers/" + std::string(70000, 'x'), sound).has_value());
}

// A configuration with numbers that no type holds must be rejected as a whole, not wrapped around.
BOOST_AUTO_TEST_CASE(configuration_with_numbers_out_of_range_is_rejected) {
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"timeoutMs\":20000", "\"timeoutMs\":1e300"},
           {"\"maxAttempts\":2", "\"maxAttempts\":4294967298"},
           {"\"maxHeaderBytes\":8192", "\"maxHeaderBytes\":-1"},
           {"\"maxBodyBytes\":100000", "\"maxBodyBytes\":1e40"},
           {"\"layers\":80", "\"layers\":1e10"},
           {"\"t1\"", "\"t1\\r\\nX: y\""}}) {
    std::string text = kConfig;
    text.replace(text.find(from), from.size(), to);
    BOOST_TEST(!MakeDocumentCodec()->DecodeConfig(text).has_value(), to);
  }
}

BOOST_AUTO_TEST_CASE(engine_reports_are_decoded) {
  const auto report = DecodeEngineReport(nlohmann::json::parse(
      R"({"busy":true,"sequence":2,"born":5,"pace":12.0,"layers":{"from":0,"to":24,"version":1},
          "stalled":[{"id":"r1","address":"10.0.0.2:8080"}]})"));
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().busy);
  BOOST_TEST(report.value().pace == 12);
  BOOST_TEST(report.value().stalled.at(0).request_id == "r1");
  BOOST_TEST(!DecodeEngineReport(nlohmann::json("text")).has_value());
}

BOOST_AUTO_TEST_CASE(settings_are_parsed_and_unknown_fields_ignored) {
  const std::string text = R"(
nodeName = "n1"
zone = "a"
internalPorts = [7340,7355]
somethingNew = 3
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
graceS = 8
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetSlack = 202
[platform]
address = "10.200.1.7:8223"
)";
  const auto settings = ParseSettings(text);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().peer_address.port() == 7340);
  BOOST_TEST((settings.value().key_removal_bound == Milliseconds(5000)));
  BOOST_TEST((settings.value().stop_grace == Milliseconds(8000)));

  std::string wrong = text;
  wrong.replace(wrong.find("10.1.0.40:8220"), 14, "somewhere");
  BOOST_REQUIRE(!ParseSettings(wrong).has_value());
  BOOST_TEST(ParseSettings(wrong).error().message == "listen.ready: expected IP:port");
  BOOST_TEST(!ParseSettings("nodeName = ").has_value());
  BOOST_TEST(!LoadSettingsFile("/nonexistent/settings").has_value());
}

// Guards against callers that choose their workspace, engine or path, and against forwarding the
// API key.
BOOST_AUTO_TEST_CASE(platform_headers_of_callers_are_replaced) {
  HttpFields fields;
  fields.set(kApiKey, "secret");
  fields.set(kTenant, "other");
  fields.set(kTargetInstance, "i-9");
  fields.set(kPathHeader, "10.0.0.9:1=0-80");
  fields.set(kUrgency, "0");
  fields.set(kTokenUsage, "1460,80");
  const std::vector<PathHop> path = {{"i-1", "10.0.0.1:8080", {0, 20}},
                                     {"i-2", "10.0.0.2:8080", {20, 80}}};
  ForwardedRequest request;
  request.time_left = Milliseconds(1500);
  request.upstream_id = "i-1";
  request.workspace = "t1";
  request.path = path;
  request.resume_after = "12";
  MakeHeaderProtocol()->WriteForwardedHeaders(request, &fields);
  BOOST_TEST(fields.count(kApiKey) == 0U);
  BOOST_TEST(fields.count(kUrgency) == 0U);
  BOOST_TEST(fields[kTenant] == "t1");
  BOOST_TEST(fields[kTargetInstance] == "i-1");
  BOOST_TEST(fields[kPathHeader] == "10.0.0.1:8080=0-20,10.0.0.2:8080=20-80");
  BOOST_TEST(fields[kDeadlineMs] == "1500");
  BOOST_TEST(fields[kLastEventId] == "12");
  BOOST_TEST(fields[kTokenUsage] == "1460,80");
}

BOOST_AUTO_TEST_CASE(headers_are_decoded) {
  HttpFields fields;
  fields.set(kRequestId, "r1");
  fields.set(kApiKey, "k");
  fields.set(kDeadlineMs, "2500");
  fields.set(kTokenUsage, "1460,80");
  fields.set(kLengthHint, "55");
  const CallerRequest caller = MakeHeaderProtocol()->ReadCaller(fields);
  BOOST_TEST(caller.prompt_tokens == 1460);
  BOOST_TEST(caller.max_answer_tokens == 80);
  BOOST_TEST(*caller.expected_answer_tokens == 55);
  BOOST_TEST((*caller.deadline == Milliseconds(2500)));

  HttpFields headers;
  headers.set(kRequestId, "r1");
  headers.set(kEngineLoad, "3,1,8");
  headers.set(kFaultAddress, "10.0.0.2:8080");
  UpstreamResponse response = MakeHeaderProtocol()->ReadResponse(503, headers);
  BOOST_TEST(!response.not_run);  // The status alone does not prove that the request was not run.
  BOOST_TEST(!response.sealed);
  BOOST_TEST(*response.load == 4);
  headers.set(kNotExecuted, "1");
  headers.set(kSeal, "x");
  response = MakeHeaderProtocol()->ReadResponse(503, headers);
  BOOST_TEST(response.not_run);
  BOOST_TEST(response.sealed);
  BOOST_TEST(MakeHeaderProtocol()->ReadResponse(421, HttpFields()).not_run);
}

// Guards against errors from non-numeric caller headers.
BOOST_AUTO_TEST_CASE(invalid_headers_are_ignored) {
  HttpFields fields;
  fields.set(kDeadlineMs, "soon");
  fields.set(kTokenUsage, "-5,,7");
  const CallerRequest caller = MakeHeaderProtocol()->ReadCaller(fields);
  BOOST_TEST(!caller.deadline.has_value());
  BOOST_TEST(caller.prompt_tokens == 0);
  BOOST_TEST(caller.max_answer_tokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
