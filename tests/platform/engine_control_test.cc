// Tests of the calls to engines.

#include "platform/engine_control.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw::platform {
namespace {

BOOST_AUTO_TEST_SUITE(engine_control)

// Guards against the ID of a request that is not UTF-8 and ends the process as an exception of the
// JSON library when the request is rerouted.
BOOST_AUTO_TEST_CASE(request_id_that_is_not_utf8_is_sent) {
  FakeLoop loop;
  FakeHttpClient client;
  FakeLog log;
  const auto metrics = MakeMetrics();
  const auto faults = MakePeerFaultLog(&log, metrics.get());
  const auto engines = MakeEngineControl({&loop, &client, faults.get()});
  const std::vector<PathHop> path = {{"e1", "10.0.0.1:80", LayerRange{0, 16}}};
  engines->Reroute(path.front(), "id \xff\xfe", path, [](OrderOutcome) {});
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls.front()->request.body().find("repath") != std::string::npos);
}

// Guards against sound answers that are logged as rejected input: 550 lines in 14 s of a day with
// crashes. Orders are answered without text, and refused with text that is no JSON.
BOOST_AUTO_TEST_CASE(answers_without_a_document_are_no_fault) {
  for (const auto& [status, text] :
       std::vector<std::pair<int, std::string>>{{200, ""}, {202, ""}, {409, "no room"}}) {
    FakeLoop loop;
    FakeHttpClient client;
    FakeLog log;
    const auto metrics = MakeMetrics();
    const auto faults = MakePeerFaultLog(&log, metrics.get());
    const auto engines = MakeEngineControl({&loop, &client, faults.get()});
    const std::vector<PathHop> path = {{"e1", "10.0.0.1:80", LayerRange{0, 16}}};
    engines->Reroute(path.front(), "r1", path, [](OrderOutcome) {});
    BOOST_REQUIRE(client.calls.size() == 1U);
    client.calls.front()->Respond(status, text);
    BOOST_TEST(log.Count("peer_input_rejected") == 0);
  }
}

// Guards against reports that fill the memory, as text or as a document, and against engines that
// count as healthy after such a report.
BOOST_AUTO_TEST_CASE(report_beyond_its_limits_ends_the_call) {
  const std::string fields = R"({"sequence":1,"busy":false,"pad":)";
  const std::string reports[] = {std::string(5000000, '['),
                                 fields + "\"" + std::string(70000, 'x') + "\"}",
                                 fields + std::string(2000, '[') + std::string(2000, ']') + "}",
                                 fields + "1e999}",
                                 R"({"sequence":1e300})",
                                 R"({"sequence":18446744073709551615})",
                                 R"({"sequence":1,"born":1e300})",
                                 R"({"sequence":1,"layers":{"from":-1e12,"to":9e15}})"};
  for (const std::string& report : reports) {
    FakeLoop loop;
    FakeHttpClient client;
    FakeLog log;
    const auto metrics = MakeMetrics();
    const auto faults = MakePeerFaultLog(&log, metrics.get());
    const auto engines = MakeEngineControl({&loop, &client, faults.get()});
    std::optional<ResultCode> result;
    engines->QueryReport("10.0.0.1:80", Milliseconds(100), [&](Result<EngineReport> state) {
      BOOST_TEST(!result.has_value());
      result = state ? ResultCode::kOk : state.error().code;
    });
    BOOST_REQUIRE(client.calls.size() == 1U);
    FakeClientCall& call = *client.calls.front();
    call.SendHead(200, false);
    constexpr size_t kPiece = 8192;
    for (size_t at = 0; at < report.size() && !result; at += kPiece) {
      BOOST_TEST(at < size_t{128} << 10);
      call.SendBody(report.substr(at, kPiece));
    }
    call.Finish();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((*result == ResultCode::kUpstreamProtocol));
    BOOST_TEST(call.Cancelled());
    if (report.size() > 1000) {
      BOOST_TEST(log.Count("peer_input_rejected") == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
