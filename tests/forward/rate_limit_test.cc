// Tests of upstreams that state a limit of requests per second.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(rate_limit)

// Load pattern: dathanna capped; an engine that begins most paths states a limit of half of its
// requests. Guards against a limit that the choice of paths does not see.
BOOST_AUTO_TEST_CASE(limited_engine_begins_no_more_streams_than_it_states) {
  GatewayFixture f;
  f.context.instances = 1;
  const double limit = 4;
  std::vector<std::unique_ptr<ForwardExchange>> exchanges;
  std::vector<TimePoint> arrivals;
  int served = 0;
  for (int i = 0; i < 800; ++i) {
    const size_t before = f.client.calls.size();
    exchanges.push_back(f.Start("/stream/1"));
    for (size_t call = before; call < f.client.calls.size(); ++call) {
      const bool limited = f.Call(call).request["Upstream"] == "low0";
      if (limited) {
        arrivals.push_back(f.loop.Now());
        f.Call(call).rate_limit = limit;
      }
      f.Call(call).SendHead(200, true);
      f.Call(call).SendBody("id: 1\ndata: x\n\n");
      f.Call(call).Finish();
      ++served;
    }
    f.loop.Advance(Milliseconds(25));
  }
  // The users' bound: half as much again in any 4 s, and five requests.
  size_t most = 0;
  for (size_t first = 0; first < arrivals.size(); ++first) {
    size_t last = first;
    while (last < arrivals.size() && arrivals[last] - arrivals[first] < Milliseconds(4000)) {
      ++last;
    }
    most = std::max(most, last - first);
  }
  BOOST_TEST(most <= 1.5 * limit * 4 + 5);
  BOOST_TEST(served == 800);
  BOOST_TEST(arrivals.size() > 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
