// Tests of exchanges with buffered responses: sends to upstreams and responses to the caller.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

#include "azuregw/forward/transfer_limits.h"
#include "forward/exchange_base.h"
#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(plain_exchange)

BOOST_AUTO_TEST_CASE(response_is_delivered_unchanged) {
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

// After the connection to its upstream failed, an order must not be sent again, since it may have
// run, and the response must not state that it did not run.
BOOST_AUTO_TEST_CASE(order_with_unknown_outcome_is_not_retried_and_not_refused) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Fail(true);
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.responder.status == 502);
}

// The upstream may close a reused idle connection while the order is in transit.
BOOST_AUTO_TEST_CASE(order_uses_a_new_connection) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  BOOST_TEST((f.Call(0).options.max_idle == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(order_that_provably_did_not_run_is_retried_elsewhere) {
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

BOOST_AUTO_TEST_CASE(refusal_by_all_upstreams_is_reported_as_not_run) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  for (size_t i = 0; i < 3; ++i) {
    f.Call(i).Respond(503, "", false, true);
  }
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.responder.fields.count("Retry-After") == 1U);
  BOOST_TEST(f.responder.body.find("not_run") != std::string::npos);
}

// A status from which callers infer that the order did not run must not be forwarded without proof.
BOOST_AUTO_TEST_CASE(unproved_not_run_status_is_not_forwarded) {
  for (const int status : {408, 429, 503}) {
    GatewayFixture f;
    const auto exchange = f.Start("/order/1");
    f.Call(0).Respond(status, "busy", true, false);
    BOOST_TEST(f.responder.status == 502);
  }
}

// A response without the seal may come from an intermediary instead of the upstream.
BOOST_AUTO_TEST_CASE(response_without_seal_is_not_forwarded) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Respond(200, "who knows", false, false);
  BOOST_TEST(f.responder.status == 502);
}

BOOST_AUTO_TEST_CASE(error_response_of_the_upstream_is_delivered) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).Respond(500, "no");
  BOOST_TEST(f.responder.status == 500);
  BOOST_TEST(f.responder.body == "no");
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_retried_once_after_a_failure) {
  GatewayFixture f;
  const auto exchange = f.Start("/look/1");
  f.Call(0).Respond(500, "first");
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  f.Call(1).Fail(true);
  BOOST_TEST(f.client.calls.size() == 2U);  // The route allows two attempts.
  BOOST_TEST(f.responder.status == 500);    // The response is preferred to the broken connection.
}

// Load pattern: one of three upstreams hangs. A hedged request must be sent
// instead of waiting for it.
BOOST_AUTO_TEST_CASE(slow_upstream_is_hedged_and_the_first_response_wins) {
  GatewayFixture f;
  const auto exchange = f.Start("/look/1");
  f.loop.Advance(Milliseconds(85));
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  f.Call(1).Respond(200, "second");
  BOOST_TEST(f.responder.body == "second");
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Reserved() == 0);
}

BOOST_AUTO_TEST_CASE(late_response_is_delivered) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.loop.Advance(Milliseconds(15000));
  f.Call(0).Respond(200, "late");
  BOOST_TEST(f.responder.status == 200);
}

BOOST_AUTO_TEST_CASE(deadline_fails_the_request_with_unknown_outcome) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.loop.Advance(Milliseconds(20000));
  BOOST_TEST(f.responder.status == 504);
  BOOST_TEST(f.Call(0).Cancelled());
}

// Upstreams must not work for a caller that disconnected.
BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_all_attempts) {
  GatewayFixture f;
  auto exchange = f.Start("/look/1");
  exchange.reset();
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Reserved() == 0);
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.log.m_lines.back()["outcome"] == "caller_gone");
}

BOOST_AUTO_TEST_CASE(unknown_route_is_distinguished_from_missing_configuration) {
  GatewayFixture f;
  f.Start("/nowhere/");
  BOOST_TEST(f.responder.status == 404);
  RouteTable empty{Milliseconds(0)};
  f.context.routes = &empty;
  f.Start("/order/1");
  BOOST_TEST(f.responder.status == 503);
}

// Requests that could not finish before the process exits must be refused, so that callers retry on
// other instances.
BOOST_AUTO_TEST_CASE(stopping_instance_refuses_late_requests) {
  GatewayFixture f;
  f.context.stop = StopWindow{f.loop.Now(), Milliseconds(8000)};
  f.loop.Advance(Milliseconds(3000));
  f.Start("/stream/1");
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.client.calls.empty());
  const auto order = f.Start("/order/1", "", Milliseconds(2000));
  BOOST_TEST(f.client.calls.size() == 1U);
  f.loop.Advance(Milliseconds(4000));
  f.Start("/order/2", "", Milliseconds(2000));
  BOOST_TEST(f.client.calls.size() == 1U);
}

// Guards against an order that a stopping instance accepts although its time exceeds the rest of
// the grace period: it runs and its caller never learns the outcome.
BOOST_AUTO_TEST_CASE(order_that_may_outlast_the_grace_period_is_refused_as_not_run) {
  GatewayFixture f;
  f.context.stop = StopWindow{f.loop.Now(), Milliseconds(8000)};
  f.loop.Advance(Milliseconds(6300));
  f.Start("/order/1", "", Milliseconds(2000));
  BOOST_TEST(f.client.calls.empty());
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.responder.body.find("not_run") != std::string::npos);
  BOOST_TEST(f.responder.fields.count("Retry-After") == 1U);
}

// Guards against requests that are cut off without a response when the process exits.
BOOST_AUTO_TEST_CASE(running_order_gets_a_final_response_before_the_process_exits) {
  GatewayFixture f;
  const auto order = f.Start("/order/1");
  f.context.stop = StopWindow{f.loop.Now(), Milliseconds(8000)};
  f.loop.Advance(Milliseconds(7700));
  BOOST_TEST(f.responder.ends == 0);
  order->OnStopDeadline();
  BOOST_TEST(f.responder.status == 504);
  BOOST_TEST(f.responder.body.find("unknown") != std::string::npos);
  order->OnStopDeadline();
  BOOST_TEST(f.responder.ends == 1);
}

// Guards against an upstream that works on after the instance has exited.
BOOST_AUTO_TEST_CASE(upstreams_get_no_more_time_than_a_stopping_instance_has) {
  GatewayFixture f;
  const auto first = f.Start("/look/1");
  f.context.stop = StopWindow{f.loop.Now(), Milliseconds(8000)};
  f.loop.Advance(Milliseconds(1000));
  BOOST_REQUIRE(f.client.calls.size() == 2U);  // Hedged.
  BOOST_TEST(std::stoi(std::string(f.Call(1).request["Deadline"])) < 7700);
}

// Guards against a refusal of an earlier request that a faulty upstream writes again on a kept
// connection: the order would be said not to have run, and run at a second upstream.
BOOST_AUTO_TEST_CASE(refusal_without_an_id_on_a_reused_connection_is_not_taken) {
  for (const bool reused : {true, false}) {
    GatewayFixture f;
    const auto exchange = f.Start("/look/1");
    f.Call(0).reused = reused;
    f.Call(0).id.clear();
    f.Call(0).SendHead(503, false, true);
    BOOST_TEST(f.Call(0).foreign == reused);
  }
}

// Guards against an answer without a length that ends because its upstream exits, and counts as
// whole.
BOOST_AUTO_TEST_CASE(unframed_answer_of_an_exited_upstream_is_not_whole) {
  for (const char* const target : {"/order/1", "/look/1"}) {
    for (const bool exited : {true, false}) {
      GatewayFixture f;
      const auto exchange = f.Start(target);
      f.Call(0).framed = false;
      f.engines.refuses = exited;
      f.Call(0).Respond(200, "half of the ans");
      BOOST_TEST((f.responder.status == 200) == !exited);
    }
  }
}

// Guards against responses that are lost because of their size after the order has run: they are
// passed on as they arrive.
BOOST_AUTO_TEST_CASE(long_response_is_passed_on_as_it_arrives) {
  for (const bool stated : {true, false}) {
    GatewayFixture f;
    const auto exchange = f.Start("/order/1");
    const std::string part(kHeldResponseBytes, 'a');
    if (stated) {
      f.Call(0).length = 3 * part.size();
    }
    f.Call(0).SendHead(200, true);
    f.Call(0).SendBody(part);
    BOOST_TEST(!f.responder.begun);
    f.Call(0).SendBody(part);
    BOOST_TEST(f.responder.begun);
    BOOST_TEST((f.responder.length == f.Call(0).length));
    BOOST_TEST(f.responder.body.size() == 2 * part.size());
    f.Call(0).SendBody(part);
    f.Call(0).Finish();
    BOOST_TEST(f.responder.complete);
    BOOST_TEST(f.responder.status == 200);
    BOOST_TEST(f.responder.body.size() == 3 * part.size());
    BOOST_TEST(f.responder.ends == 1);
    BOOST_TEST(f.Reserved() == 0);
  }
}

BOOST_AUTO_TEST_CASE(upstream_waits_for_a_caller_that_does_not_read) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).SendHead(200, true);
  f.responder.backlogged = true;
  f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
  BOOST_TEST(f.Call(0).paused);
  f.responder.backlogged = false;
  exchange->OnCallerReads();
  BOOST_TEST(!f.Call(0).paused);
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
}

// A response that is partly sent cannot be replaced, and must not look complete.
BOOST_AUTO_TEST_CASE(long_response_that_breaks_off_is_broken_off) {
  for (const char* const target : {"/order/1", "/look/1"}) {
    GatewayFixture f;
    const auto exchange = f.Start(target);
    f.Call(0).SendHead(200, true);
    f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
    f.Call(0).Fail(true);
    BOOST_TEST(f.responder.broken);
    BOOST_TEST(f.responder.ends == 1);
    BOOST_TEST(f.client.calls.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(long_unframed_response_needs_proof_that_it_is_whole) {
  for (const bool runs : {true, false}) {
    GatewayFixture f;
    f.engines.silent = !runs;
    const auto exchange = f.Start("/order/1");
    f.Call(0).framed = false;
    f.Call(0).SendHead(200, true);
    f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
    f.Call(0).Finish();
    BOOST_TEST(f.responder.complete == runs);
    BOOST_TEST(f.responder.broken == !runs);
    BOOST_TEST(f.responder.ends == 1);
  }
}

// Only sealed responses that may be final are passed on before their end.
BOOST_AUTO_TEST_CASE(long_response_without_seal_is_not_passed_on) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).SendHead(200, false);
  f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
  BOOST_TEST(!f.responder.begun);
  BOOST_TEST(f.responder.status == 502);
}

BOOST_AUTO_TEST_CASE(long_error_response_is_replaced_while_another_attempt_is_allowed) {
  GatewayFixture f;
  const auto exchange = f.Start("/look/1");
  f.Call(0).SendHead(500, true);
  f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(!f.responder.begun);
  f.Call(1).SendHead(500, true);
  f.Call(1).SendBody(std::string(kHeldResponseBytes + 1, 'b'));
  BOOST_TEST(f.responder.begun);
  f.Call(1).Finish();
  BOOST_TEST(f.responder.complete);
  BOOST_TEST(f.responder.status == 500);
}

BOOST_AUTO_TEST_CASE(long_response_is_broken_off_at_the_deadline) {
  GatewayFixture f;
  const auto exchange = f.Start("/order/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(std::string(kHeldResponseBytes + 1, 'a'));
  f.loop.Advance(Milliseconds(20001));
  BOOST_TEST(f.responder.broken);
  BOOST_TEST(f.Call(0).Cancelled());
}

// Guards against text of callers that is not UTF-8 and ends the process as an exception of the JSON
// library.
BOOST_AUTO_TEST_CASE(error_response_with_bytes_that_are_not_utf8_is_built) {
  const BufferedResponse reply =
      MakeErrorResponse(503, ResultCode::kOverloaded, RunOutcome::kNotRun,
                        "part \xff\xfe of the prompt", "r", "Id", std::nullopt);
  BOOST_TEST(reply.body.find("of the prompt") != std::string::npos);
}

// Guards against an exception of the HTTP library, which refuses to frame such a request.
BOOST_AUTO_TEST_CASE(trace_request_with_a_body_is_forwarded) {
  GatewayFixture f;
  IncomingRequest request;
  request.message = HttpRequest(boost::beast::http::verb::trace, "/order/1", 11);
  request.message.set("Host", "h");
  request.message.set("Id", "r1");
  request.message.set("Key", "k");
  request.message.body() = "payload";
  request.arrived = f.loop.Now();
  const auto exchange = MakeExchange(&f.context, std::move(request), &f.responder);
  exchange->Start();
  BOOST_REQUIRE(f.client.calls.size() == 1U);
  BOOST_TEST(f.Call(0).request["Content-Length"] == "7");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
