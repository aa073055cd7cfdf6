// Requests with whole answers: what is sent how often, and what callers are told.

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(plain_exchange)

BOOST_AUTO_TEST_CASE(answer_is_delivered_unchanged) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1?x=2");
  BOOST_REQUIRE(f.client.calls.size() == 1U);
  BOOST_TEST(f.Call(0).request.target() == "/order/1?x=2");
  BOOST_TEST(f.Call(0).request.body() == "payload");
  BOOST_TEST(f.Call(0).request["Workspace"] == "w");
  BOOST_TEST(f.Call(0).request.count("Key") == 0U);
  f.Call(0).Respond(201, "made");
  BOOST_TEST(f.responder.status == 201);
  BOOST_TEST(f.responder.body == "made");
  BOOST_TEST(f.responder.fields.count("Seal") == 1U);
  BOOST_TEST(f.responder.ends == 1);
  BOOST_TEST(f.Reserved() == 0);
}

// Guards against an order that runs twice, and against a refusal that says it has not run, after
// its upstream fell silent.
BOOST_AUTO_TEST_CASE(order_with_unknown_outcome_is_not_repeated_and_not_refused) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Fail(true);
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.responder.status == 502);
}

// Guards against a connection that its server may close while the order is on its way.
BOOST_AUTO_TEST_CASE(order_uses_a_connection_of_its_own) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  BOOST_TEST((f.Call(0).options.max_idle == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(order_that_was_proved_not_to_have_run_goes_elsewhere) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Respond(503, "", false, true);
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(1).request["Upstream"] != f.Call(0).request["Upstream"]);
  f.Call(1).Fail(false);  // No connection.
  BOOST_REQUIRE(f.client.calls.size() == 3U);
  f.Call(2).Respond(200, "ok");
  BOOST_TEST(f.responder.status == 200);
}

BOOST_AUTO_TEST_CASE(refusal_by_all_upstreams_is_an_honest_refusal) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  for (size_t i = 0; i < 3; ++i) {
    f.Call(i).Respond(503, "", false, true);
  }
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.responder.fields.count("Retry-After") == 1U);
  BOOST_TEST(f.responder.body.find("not_run") != std::string::npos);
}

// Guards against a status that promises 'not run' for an order that an upstream has run.
BOOST_AUTO_TEST_CASE(promise_without_proof_is_not_passed_on) {
  for (const int status : {408, 429, 503}) {
    GatewayFixture f;
    const auto exchange = f.Start("/order/1");
    f.Call(0).Respond(status, "busy", true, false);
    BOOST_TEST(f.responder.status == 502);
  }
}

// Guards against an answer that is not the upstream's own.
BOOST_AUTO_TEST_CASE(answer_without_mark_is_not_passed_on) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Respond(200, "who knows", false, false);
  BOOST_TEST(f.responder.status == 502);
}

BOOST_AUTO_TEST_CASE(own_failure_of_the_upstream_is_delivered) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Respond(500, "no");
  BOOST_TEST(f.responder.status == 500);
  BOOST_TEST(f.responder.body == "no");
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_repeated_once_after_a_failure) {
  GatewayFixture f;
  const auto exchange = f.Start("/look/1");
  f.Call(0).Respond(500, "first");
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  f.Call(1).Fail(true);
  BOOST_TEST(f.client.calls.size() == 2U);  // The route allows two.
  BOOST_TEST(f.responder.status == 500);    // The better of two failures.
}

// Load pattern: one of three upstreams hangs. Guards against answers that wait for it.
BOOST_AUTO_TEST_CASE(slow_upstream_gets_a_rival_and_the_first_answer_wins) {
  GatewayFixture f;
  const auto exchange = f.Start("/look/1");
  f.loop.Advance(Milliseconds(85));
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  f.Call(1).Respond(200, "second");
  BOOST_TEST(f.responder.body == "second");
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Reserved() == 0);
}

BOOST_AUTO_TEST_CASE(late_answer_is_delivered) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.loop.Advance(Milliseconds(15000));
  f.Call(0).Respond(200, "late");
  BOOST_TEST(f.responder.status == 200);
}

BOOST_AUTO_TEST_CASE(deadline_ends_the_wait_without_a_promise) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.loop.Advance(Milliseconds(20000));
  BOOST_TEST(f.responder.status == 504);
  BOOST_TEST(f.Call(0).Cancelled());
}

// Guards against work for a caller who has left.
BOOST_AUTO_TEST_CASE(caller_who_leaves_stops_the_work) {
  GatewayFixture f;
  auto exchange = f.Start("/look/1");
  exchange.reset();
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Reserved() == 0);
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.log.m_lines.back()["outcome"] == "caller_gone");
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_told_from_ignorance) {
  GatewayFixture f;
  f.Start("/nowhere/");
  BOOST_TEST(f.responder.status == 404);
  RouteTable empty{Milliseconds(0)};
  f.context.routes = &empty;
  f.Start("/order/1");
  BOOST_TEST(f.responder.status == 503);
}

// Guards against an answer that is cut because the process ends: late work goes to other instances.
BOOST_AUTO_TEST_CASE(stopping_instance_refuses_late_work) {
  GatewayFixture f;
  f.context.stopping_since = f.loop.Now();
  f.loop.Advance(Milliseconds(3000));
  f.Start("/stream/1");
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.client.calls.empty());
  const auto order = f.Start("/order/1");
  BOOST_TEST(f.client.calls.size() == 1U);
  f.loop.Advance(Milliseconds(4000));
  f.Start("/order/2");
  BOOST_TEST(f.client.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
