// Tests of the calls to engines.

#include "platform/engine_control.h"

#include <boost/test/unit_test.hpp>
#include <string>
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
  const auto engines = MakeEngineControl(&loop, &client);
  const std::vector<PathHop> path = {{"e1", "10.0.0.1:80", LayerRange{0, 16}}};
  engines->Reroute(path.front(), "id \xff\xfe", path, [](OrderOutcome) {});
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls.front()->request.body().find("repath") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
