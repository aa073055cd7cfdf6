// Tests of requests that crash the upstreams that run them.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

// An instance whose upstreams exit when they run a request to a target that ends with "bad".
struct CrashFixture : GatewayFixture {
  // Sends a request and plays the upstreams. Returns how often it reached one.
  int Request(const std::string& target) {
    const bool bad = target.find("bad") != std::string::npos;
    const bool stream = target.find("/stream/") == 0;
    const size_t before = client.calls.size();
    responder = RecordingResponder();
    const auto exchange = Start(target);
    for (size_t i = before; i < client.calls.size(); ++i) {
      FakeClientCall& call = Call(i);
      engines.refuses = bad;
      if (bad) {
        loop.Advance(Milliseconds(30));
        ++crashes;
        call.Fail(true);
        RestartUpstream(std::string(call.request["Upstream"]));
        loop.Advance(Milliseconds(10));
      } else if (stream) {
        call.SendHead(200, true);
        for (int event = 1; event <= 20; ++event) {
          call.SendBody("id: " + std::to_string(event) + "\ndata: x\n\n");
        }
        call.Finish();
      } else {
        call.Respond(200, "ok");
      }
    }
    engines.refuses = false;
    return static_cast<int>(client.calls.size() - before);
  }
  // The upstream is back as another process.
  void RestartUpstream(const std::string& id) {
    std::vector<UpstreamRecord> records;
    for (const auto& [other, upstream] : fleet.All()) {
      records.push_back(upstream.record);
      records.back().started_ms += other == id ? 1 : 0;
    }
    fleet.Update(std::move(records), loop.Now());
  }
  // Repeats the bad request, and sends a sound one each time. Returns how often the bad one reached
  // upstreams later than 3 s after the third exit.
  int Repeat(const std::string& bad, const std::string& sound) {
    for (int i = 0; crashes < 3 && i < 100; ++i) {
      Request(bad);
      loop.Advance(Milliseconds(2500));
    }
    loop.Advance(Milliseconds(3000));
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      sent += Request(bad);
      Request(sound);
      served += responder.status == 200 ? 1 : 0;
      loop.Advance(Milliseconds(500));
    }
    return sent;
  }

  int crashes = 0;
  int served = 0;
};

BOOST_AUTO_TEST_SUITE(request_crash)

// Guards against a request that crashes one upstream after the other (dathanna second1).
BOOST_AUTO_TEST_CASE(request_that_crashed_three_upstreams_reaches_at_most_three_more) {
  CrashFixture f;
  BOOST_TEST(f.Repeat("/look/bad", "/look/sound") <= 3);
  BOOST_TEST(f.served == 200);
}

BOOST_AUTO_TEST_CASE(order_that_crashed_three_upstreams_reaches_at_most_three_more) {
  CrashFixture f;
  BOOST_TEST(f.Repeat("/order/bad", "/order/sound") <= 3);
  BOOST_TEST(f.served == 200);
}

BOOST_AUTO_TEST_CASE(stream_that_crashed_three_engines_reaches_at_most_three_more) {
  CrashFixture f;
  BOOST_TEST(f.Repeat("/stream/bad", "/stream/sound") <= 3);
  BOOST_TEST(f.served == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
