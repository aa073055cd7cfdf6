// Tests of prompts whose parts crash the engines that answer them.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

// An instance whose engines exit when they begin an answer to a prompt with the part "bad".
struct CrashFixture : GatewayFixture {
  // Sends a request and plays the engines. Returns how often it reached one.
  int Request(const std::string& parts) {
    const bool bad = parts.find("bad") != std::string::npos;
    const size_t before = client.calls.size();
    responder = RecordingResponder();
    const auto exchange = Start("/stream/1", parts);
    for (size_t i = before; i < client.calls.size(); ++i) {
      FakeClientCall& call = Call(i);
      engines.silent = bad;
      call.SendHead(200, true);
      if (bad) {
        ++crashes;
        call.Fail(true);
        RestartEngine(std::string(call.request["Upstream"]));
      } else {
        for (int event = 1; event <= 20; ++event) {
          call.SendBody(Event(event));
        }
        call.Finish();
      }
    }
    engines.silent = false;
    return static_cast<int>(client.calls.size() - before);
  }
  // The engine is back as another process.
  void RestartEngine(const std::string& id) {
    std::vector<UpstreamRecord> records;
    for (const auto& [other, upstream] : fleet.All()) {
      records.push_back(upstream.record);
      records.back().started_ms += other == id ? 1 : 0;
    }
    fleet.Update(std::move(records), loop.Now());
  }

  int crashes = 0;
};

BOOST_AUTO_TEST_SUITE(prompt_crash)

// Guards against prompts that crash one engine after the other (dathanna inc1).
BOOST_AUTO_TEST_CASE(part_that_crashed_five_engines_reaches_at_most_three_more) {
  CrashFixture f;
  for (int i = 0; f.crashes < 5 && i < 100; ++i) {
    f.Request("shared bad");
    f.Request("shared");
    f.loop.Advance(Milliseconds(400));
  }
  f.loop.Advance(Milliseconds(3000));
  int sent = 0;
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    sent += f.Request("shared bad");
    f.Request("shared");
    served += f.responder.complete ? 1 : 0;
    f.loop.Advance(Milliseconds(500));
  }
  BOOST_TEST(sent <= 3);
  BOOST_TEST(served == 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
