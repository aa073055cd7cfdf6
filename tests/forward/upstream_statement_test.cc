// Tests of upstreams that state that they leave, or that they want no requests for some time.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

// An instance that sends requests every 25 ms to upstreams that answer at once.
struct StatementFixture : GatewayFixture {
  StatementFixture() { context.instances = 1; }

  // Sends requests for `time`. `answer` may change the answer of each upstream, and returns false
  // if it has sent one itself.
  void Send(const std::string& target, Milliseconds time,
            const std::function<bool(const std::string& upstream, FakeClientCall*)>& answer) {
    for (const TimePoint end = loop.Now() + time; loop.Now() < end;) {
      responder = RecordingResponder();
      size_t next = client.calls.size();
      const auto exchange = Start(target);
      for (; next < client.calls.size(); ++next) {
        const std::string upstream(Call(next).request["Upstream"]);
        arrivals.push_back({upstream, loop.Now()});
        if (answer(upstream, &Call(next))) {
          Call(next).SendHead(200, true);
          Call(next).SendBody("id: 1\ndata: x\n\n");
          Call(next).Finish();
        }
      }
      served += responder.status == 200 ? 1 : 0;
      refused += responder.status == 503 ? 1 : 0;
      loop.Advance(Milliseconds(25));
    }
  }

  // Returns how many requests reached `upstream` later than `from`.
  int ArrivalsAfter(const std::string& upstream, TimePoint from) const {
    int count = 0;
    for (const Arrival& arrival : arrivals) {
      count += arrival.upstream == upstream && arrival.when > from ? 1 : 0;
    }
    return count;
  }

  struct Arrival {
    std::string upstream;
    TimePoint when;
  };
  std::vector<Arrival> arrivals;
  int served = 0;
  int refused = 0;
};

// Lets the upstream state in all answers that it leaves.
auto Leaves(const std::string& leaving) {
  return [leaving](const std::string& upstream, FakeClientCall* call) {
    call->leaving = upstream == leaving;
    return true;
  };
}

// Lets the upstream refuse all requests, and ask for none in the next two seconds.
auto Closes(const std::string& closed) {
  return [closed](const std::string& upstream, FakeClientCall* call) {
    if (upstream != closed) {
      return true;
    }
    call->retry_after = Milliseconds(2000);
    call->Respond(503, "", false, true);
    return false;
  };
}

BOOST_AUTO_TEST_SUITE(upstream_statement)

// Rule: DRAIN. Load pattern: an upstream states that it leaves before the list says so.
BOOST_AUTO_TEST_CASE(upstream_that_leaves_gets_no_further_requests) {
  for (const char* target : {"/stream/1", "/look/1", "/order/1"}) {
    StatementFixture f;
    const std::string leaving = target == std::string("/stream/1") ? "low0" : "o0";
    const TimePoint start = f.loop.Now();
    f.Send(target, Milliseconds(10000), Leaves(leaving));
    BOOST_TEST(f.ArrivalsAfter(leaving, start - Milliseconds(1)) == 1, target);
    BOOST_TEST(f.served == 400, target);
  }
}

// Rule: BUDGET. Load pattern: an upstream turns requests away and states for how long.
BOOST_AUTO_TEST_CASE(upstream_that_wants_no_requests_for_a_time_gets_none_meanwhile) {
  for (const char* target : {"/stream/1", "/look/1", "/order/1"}) {
    StatementFixture f;
    const std::string closed = target == std::string("/stream/1") ? "low0" : "o0";
    f.Send(target, Milliseconds(2000), Closes(closed));
    const int sent = f.ArrivalsAfter(closed, TimePoint());
    BOOST_TEST(sent == 1, target);
    BOOST_TEST(f.served == 80, target);
    const TimePoint open = f.loop.Now();
    f.Send(target, Milliseconds(1000), Leaves(""));
    BOOST_TEST(f.ArrivalsAfter(closed, open) > 0, target);
  }
}

// Guards against requests that wait, or are sent, although it is known that none can be served.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_while_all_upstreams_want_none) {
  for (const char* target : {"/stream/1", "/look/1", "/order/1"}) {
    StatementFixture f;
    f.Send(target, Milliseconds(250), [](const std::string&, FakeClientCall* call) {
      call->retry_after = Milliseconds(2000);
      call->Respond(503, "", false, true);
      return false;
    });
    const size_t before = f.client.calls.size();
    BOOST_TEST(before <= 3U, target);
    f.refused = 0;
    f.Send(target, Milliseconds(1000), Leaves(""));
    BOOST_TEST(f.client.calls.size() == before, target);
    BOOST_TEST(f.refused == 40, target);
    const double retry_after = std::stod(std::string(f.responder.fields["Retry-After"]));
    BOOST_TEST(retry_after >= 0.5, target);
    BOOST_TEST(retry_after <= 1.1, target);
  }
}

// Guards against requests to the last holders of some layers after they have said that they leave.
BOOST_AUTO_TEST_CASE(streams_are_refused_at_once_while_all_holders_of_a_layer_leave) {
  StatementFixture f;
  f.Send("/stream/1", Milliseconds(250), [](const std::string&, FakeClientCall* call) {
    call->leaving = true;
    return true;
  });
  const size_t before = f.client.calls.size();
  BOOST_TEST(before == 3U);
  f.refused = 0;
  f.Send("/stream/1", Milliseconds(1000), Leaves(""));
  BOOST_TEST(f.client.calls.size() == before);
  BOOST_TEST(f.refused == 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
