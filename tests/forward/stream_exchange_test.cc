// Tests of streamed exchanges: path selection, queueing, resuming and rerouting.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

BOOST_AUTO_TEST_SUITE(stream_exchange)

BOOST_AUTO_TEST_CASE(events_are_forwarded_as_they_arrive) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  BOOST_REQUIRE(f.client.calls.size() == 1U);
  BOOST_TEST(f.Call(0).request["Hops"] == "2");
  f.Call(0).SendHead(200, true);
  BOOST_TEST(f.responder.status ==
             0);  // Before the first event, another engine may still take over.
  f.Call(0).SendBody(Event(1) + "id: 2\nda");
  BOOST_TEST(f.responder.body == Event(1));
  f.Call(0).SendBody("ta: x\n\n");
  BOOST_TEST(f.responder.body == Event(1) + Event(2));
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
  BOOST_TEST(f.responder.ends == 1);
  BOOST_TEST(f.Reserved() == 0);
}

// If an engine crashes in the middle of an event, the stream must not be lost, repeat an event or
// end as complete.
BOOST_AUTO_TEST_CASE(broken_stream_resumes_after_the_last_complete_event) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + Event(2) + "id: 3\nda");
  f.Call(0).Fail(true);
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(1).request["After"] == "2");
  BOOST_TEST(f.Call(1).request["Upstream"] != f.Call(0).request["Upstream"]);
  f.Call(1).SendHead(200, true);
  f.Call(1).SendBody(Event(2) + Event(3));  // An engine may repeat the last event.
  f.Call(1).Finish();
  BOOST_TEST(f.responder.body == Event(1) + Event(2) + Event(3));
  BOOST_TEST(f.responder.complete);
}

// Guards against an event ID that is too long for a header field: the resumed request threw, and
// the process ended with all requests that it served.
BOOST_AUTO_TEST_CASE(long_event_id_breaks_the_attempt_off_and_the_stream_resumes) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + "id: " + std::string(70000, 'x') + "\n\n");
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Call(1).request["After"] == "1");
  BOOST_TEST(f.Call(1).request["Upstream"] != f.Call(0).request["Upstream"]);
  BOOST_TEST(f.log.Count("peer_input_rejected") == 1);
  f.Call(1).SendHead(200, true);
  f.Call(1).SendBody(Event(2));
  f.Call(1).Finish();
  BOOST_TEST(f.responder.body == Event(1) + Event(2));
  BOOST_TEST(f.responder.complete);
}

BOOST_AUTO_TEST_CASE(stream_that_ends_within_an_event_is_not_complete) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + "id: 2\nda");
  f.Call(0).Finish();
  BOOST_TEST(!f.responder.complete);
  BOOST_TEST(f.client.calls.size() == 2U);
}

// Guards against the end of a connection that is taken for the end of the stream.
BOOST_AUTO_TEST_CASE(unframed_stream_without_events_is_not_complete) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).framed = false;
  f.Call(0).SendHead(200, true);
  f.Call(0).Finish();
  BOOST_TEST(!f.responder.complete);
  BOOST_REQUIRE(f.client.calls.size() == 2U);
}

// Guards against a stream that ends between two events because its engine exited.
BOOST_AUTO_TEST_CASE(unframed_stream_of_an_exited_engine_resumes) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).framed = false;
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + Event(2));
  f.engines.silent = true;
  f.Call(0).Finish();
  BOOST_TEST(!f.responder.complete);
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(1).request["After"] == "2");
}

BOOST_AUTO_TEST_CASE(unframed_stream_of_a_running_engine_is_complete) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).framed = false;
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + Event(2));
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
  BOOST_TEST(f.responder.ends == 1);
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.Reserved() == 0);
}

// The stream must not be sent to more engines than the route allows, and must not end as complete.
BOOST_AUTO_TEST_CASE(stream_that_breaks_again_is_aborted) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  for (size_t i = 0; i < 2; ++i) {
    f.Call(i).SendHead(200, true);
    f.Call(i).SendBody(Event(static_cast<int>(i) + 1));
    f.Call(i).Fail(true);
  }
  BOOST_TEST(f.client.calls.size() == 2U);
  BOOST_TEST(f.responder.broken);
  BOOST_TEST(!f.responder.complete);
  BOOST_TEST(f.Reserved() == 0);
}

// Load pattern: an engine on the path stops in the middle of many streams. The streams must be
// rerouted instead of being sent again, since the other engines keep their state.
BOOST_AUTO_TEST_CASE(stopped_engine_is_replaced_in_the_running_request) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  std::string second;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.own_load.requests > 0 && id.substr(0, 4) == "high") {
      second = id;
    }
  }
  BOOST_REQUIRE(!second.empty());
  for (MonitoredStream* stream : f.monitor.StreamsThrough(second)) {
    stream->RerouteAround(second, true);
  }
  BOOST_REQUIRE(f.engines.reroutes.size() == 1U);
  BOOST_TEST(f.engines.reroutes[0][0].id == f.Call(0).request["Upstream"]);
  BOOST_TEST(f.engines.reroutes[0][1].id != second);
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.fleet.Find(second)->own_load.requests == 0);
  f.Call(0).SendBody(Event(2));
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
  BOOST_TEST(f.Reserved() == 0);
}

BOOST_AUTO_TEST_CASE(stop_of_the_first_engine_leads_to_a_resume) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  const std::string first(f.Call(0).request["Upstream"]);
  for (MonitoredStream* stream : f.monitor.StreamsThrough(first)) {
    stream->RerouteAround(first, true);
  }
  BOOST_TEST(f.engines.reroutes.empty());
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Call(1).request["After"] == "1");
}

BOOST_AUTO_TEST_CASE(refused_reroute_falls_back_to_a_resume) {
  GatewayFixture f;
  f.engines.reroute_outcome = OrderOutcome::kConflict;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  f.loop.Advance(Milliseconds(100));
  for (const char* id : {"high0", "high1", "high2"}) {
    for (MonitoredStream* stream : f.monitor.StreamsThrough(id)) {
      stream->RerouteAround(id, true);
    }
  }
  BOOST_TEST(f.client.calls.size() == 2U);
}

// Load pattern: engines lose a part of their responses while others are lost (lietusmuca trouble-2,
// from second 19). Guards against refusing all streams because every holder of some layers is under
// suspicion; one that does not respond at all stays excluded.
BOOST_AUTO_TEST_CASE(suspected_engines_are_used_if_no_others_hold_the_layers) {
  GatewayFixture f;
  for (const auto& [id, upstream] : f.fleet.All()) {
    f.fleet.Suspect(id, Milliseconds(3000), f.loop.Now());
  }
  const auto exchange = f.Start("/stream/1");
  BOOST_TEST(f.client.calls.size() == 1U);
  for (const auto& [id, upstream] : f.fleet.All()) {
    f.fleet.MarkStopped(id, Milliseconds(3000), f.loop.Now());
  }
  const auto refused = f.Start("/stream/1");
  BOOST_TEST(f.client.calls.size() == 1U);
}

// Load pattern: the only holder of some layers is short of memory for a moment. Guards against
// refusing the stream at once, as if no engine held the layers, and against asking it in a loop.
BOOST_AUTO_TEST_CASE(only_holder_that_is_full_is_waited_for) {
  GatewayFixture f;
  for (const char* id : {"low1", "low2"}) {
    f.fleet.MarkStopped(id, Milliseconds(10000), f.loop.Now());
  }
  const auto exchange = f.Start("/stream/1");
  BOOST_REQUIRE(f.client.calls.size() == 1U);
  f.fleet.OnProgress("low0", f.loop.Now());
  f.Call(0).Respond(503, "", false, true);
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.queue.Size() == 1);
  BOOST_TEST(f.responder.status == 0);
  f.loop.Advance(Milliseconds(280));
  f.queue.StartEligible(f.loop.Now());
  BOOST_TEST(f.client.calls.size() == 2U);
}

// An engine in trouble sends bytes without the end of an event. Guards against unbounded memory,
// and against bytes that pass for progress.
BOOST_AUTO_TEST_CASE(event_without_end_breaks_the_attempt) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1) + "data: ");
  for (int i = 0; i < 100 && f.client.calls.size() < 2U; ++i) {
    f.Call(0).SendBody(std::string(8192, 'x'));
  }
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Call(1).request["After"] == "1");
  BOOST_TEST(f.responder.body == Event(1));
}

// Guards against an engine that holds a stream open with one byte at a time.
BOOST_AUTO_TEST_CASE(dripping_bytes_are_silence) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  for (int i = 0; i < 30 && f.client.calls.size() < 2U; ++i) {
    f.loop.Advance(Milliseconds(100));
    f.Call(0).SendBody("x");
  }
  BOOST_TEST(f.client.calls.size() == 2U);
}

// Guards against an error response without end, which would keep the exchange until the deadline.
BOOST_AUTO_TEST_CASE(error_response_without_end_breaks_the_attempt) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(500, true);
  for (int i = 0; i < 300 && f.client.calls.size() < 2U; ++i) {
    f.Call(0).SendBody(std::string(8192, 'x'));
  }
  BOOST_TEST(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(0).Cancelled());
}

// Load pattern: engines short of memory. A healthy engine must not be suspected by the whole fleet.
BOOST_AUTO_TEST_CASE(healthy_engine_that_refuses_is_full_and_not_suspect) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  const std::string first(f.Call(0).request["Upstream"]);
  f.fleet.OnProgress(first, f.loop.Now());
  f.Call(0).Respond(503, "", false, true);
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST(f.Call(1).request["Upstream"] != first);
  BOOST_TEST((f.fleet.Find(first)->suspect_until <= f.loop.Now()));
  BOOST_TEST(!f.fleet.Find(first)->Usable(f.loop.Now()));
  BOOST_TEST(f.fleet.Find(first)->Usable(f.loop.Now() + Milliseconds(250)));
}

// Load pattern: all memory is in use. Callers must not wait without prospect, and the refusal must
// state that the request did not run.
BOOST_AUTO_TEST_CASE(stream_without_memory_waits_briefly_and_is_refused) {
  GatewayFixture f;
  for (const char* id : {"low0", "low1", "low2"}) {
    f.fleet.Reserve(id, 1e9);
  }
  // Streams started recently, so that waiting in a short queue is worthwhile.
  for (int i = 0; i < 20; ++i) {
    f.queue.OnStarted(f.loop.Now());
  }
  const auto exchange = f.Start("/stream/1");
  BOOST_TEST(f.queue.Size() == 1);
  BOOST_TEST(f.responder.ends == 0);
  f.loop.Advance(Milliseconds(350));
  BOOST_TEST(f.queue.Size() == 0);
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.responder.fields.count("Retry-After") == 1U);
  BOOST_TEST(f.responder.body.find("not_run") != std::string::npos);
  BOOST_TEST(f.client.calls.empty());
}

BOOST_AUTO_TEST_CASE(queued_stream_starts_when_memory_is_free) {
  GatewayFixture f;
  for (const char* id : {"low0", "low1", "low2"}) {
    f.fleet.Reserve(id, 1e9);
  }
  f.queue.OnStarted(f.loop.Now());
  const auto exchange = f.Start("/stream/1");
  BOOST_REQUIRE(f.queue.Size() == 1);
  f.loop.Advance(Milliseconds(100));
  f.fleet.Release("low1", 1e9);
  f.queue.StartEligible(f.loop.Now());
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(f.queue.Size() == 0);
}

BOOST_AUTO_TEST_CASE(missing_layers_are_refused_with_their_reason) {
  GatewayFixture f;
  for (const char* id : {"low0", "low1", "low2"}) {
    f.fleet.MarkStopped(id, Milliseconds(10000), f.loop.Now());
  }
  const auto exchange = f.Start("/stream/1");
  // Waiting would not help: no engine that responds holds the layers.
  BOOST_TEST(f.responder.status == 503);
  BOOST_TEST(f.responder.body.find("do not hold all layers") != std::string::npos);
}

// A stream must be rerouted if its first engine reports that it waits for a stopped engine.
BOOST_AUTO_TEST_CASE(stalled_request_is_rerouted_around_the_reported_engine) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  std::string second;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.own_load.requests > 0 && id.substr(0, 4) == "high") {
      second = id;
    }
  }
  f.engines.report.stalled = {{"r1", f.fleet.Find(second)->record.address}};
  f.loop.Advance(Milliseconds(400));
  BOOST_TEST(f.engines.report_queries >= 1);
  BOOST_TEST(f.engines.reroutes.size() == 1U);
}

// A response that cannot resume on another engine must not be aborted because its engine is silent
// for a while.
BOOST_AUTO_TEST_CASE(silent_stream_that_cannot_resume_is_not_aborted) {
  GatewayFixture f;
  const auto exchange = f.Start("/final/1");
  f.engines.silent = true;
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST(f.engines.report_queries > 0);
  BOOST_TEST(f.responder.ends == 0);
  f.Call(0).SendBody(Event(2));
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
  BOOST_TEST(f.client.calls.size() == 1U);
}

// Load pattern: a large fleet whose instances have one or two streams each, on busy engines.
// Healthy engines must not be suspected for one silent stream: that removes them for the whole
// fleet and overloads the rest until every request is refused (swanlink grown scale-1).
BOOST_AUTO_TEST_CASE(engines_with_progress_elsewhere_are_not_suspected_for_silence) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.engines.report.stalled.clear();
  for (int i = 0; i < 15; ++i) {
    f.loop.Advance(Milliseconds(100));
    for (const auto& [id, upstream] : f.fleet.All()) {
      f.fleet.ApplyProgressReport(id, f.loop.Now() - Milliseconds(300));
    }
  }
  BOOST_TEST(f.client.calls.size() == 2U);
  for (const auto& [id, upstream] : f.fleet.All()) {
    BOOST_TEST(upstream.Usable(f.loop.Now()), id << " is suspected");
  }
}

// If one engine of the path is silent for the whole fleet, only this engine is suspected.
BOOST_AUTO_TEST_CASE(engine_that_is_silent_for_all_instances_is_suspected) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  std::string silent_engine;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.own_load.requests > 0) {
      silent_engine = id;
    }
  }
  for (int i = 0; i < 15; ++i) {
    f.loop.Advance(Milliseconds(100));
    for (const auto& [id, upstream] : f.fleet.All()) {
      if (id != silent_engine) {
        f.fleet.ApplyProgressReport(id, f.loop.Now() - Milliseconds(300));
      }
    }
  }
  for (const auto& [id, upstream] : f.fleet.All()) {
    BOOST_TEST(upstream.Usable(f.loop.Now()) == (id != silent_engine), id);
  }
}

// An engine that reports itself healthy but responds to every stream with an error must be
// suspected (dathanna grown trouble-1: 941 streams failed, on two engines each).
BOOST_AUTO_TEST_CASE(engine_that_fails_a_stream_is_suspected) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  std::string first;
  for (const auto& [id, upstream] : f.fleet.All()) {
    if (upstream.own_load.requests > 0 && id.substr(0, 3) == "low") {
      first = id;
    }
  }
  f.Call(0).SendHead(500, false);
  f.Call(0).Finish();
  BOOST_TEST(!f.fleet.Find(first)->Usable(f.loop.Now()));
  BOOST_TEST(f.client.calls.size() == 2U);
}

// A running stream must not be ended for a resume that the retry budget then refuses (swanlink
// grown trouble-2: LOST, a stream aborted during planned maintenance).
BOOST_AUTO_TEST_CASE(silent_stream_is_kept_without_budget_for_a_resume) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody(Event(1));
  while (f.budget.Take("model", f.loop.Now())) {
  }
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST(!f.responder.broken);
  BOOST_TEST(f.client.calls.size() == 1U);
  f.Call(0).SendBody(Event(2));
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_releases_the_memory) {
  GatewayFixture f;
  auto exchange = f.Start("/stream/1");
  BOOST_TEST(f.Reserved() == 2);
  exchange.reset();
  BOOST_TEST(f.Call(0).Cancelled());
  BOOST_TEST(f.Reserved() == 0);
  BOOST_TEST(f.monitor.StreamsThrough("low0").empty());
}

BOOST_AUTO_TEST_CASE(deadline_aborts_a_running_stream) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  for (int i = 1; i <= 201; ++i) {
    f.Call(0).SendBody(Event(i));
    f.loop.Advance(Milliseconds(100));
  }
  BOOST_TEST(f.responder.broken);
  BOOST_TEST(!f.responder.complete);
}

// Guards against a refusal of an earlier request that a faulty engine writes again on a kept
// connection.
BOOST_AUTO_TEST_CASE(refusal_without_an_id_on_a_reused_connection_is_not_taken) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).reused = true;
  f.Call(0).id.clear();
  f.Call(0).SendHead(503, false, true);
  BOOST_TEST(f.Call(0).foreign);
}

// Guards against the same where the stream is sent once more to the engine that has refused it: the
// repeated refusal has its ID.
BOOST_AUTO_TEST_CASE(stream_is_sent_again_to_an_engine_that_refused_it_on_a_new_connection) {
  GatewayFixture f;
  std::vector<UpstreamRecord> records;
  for (const char* const id : {"low0", "high0"}) {
    records.push_back(f.fleet.Find(id)->record);
  }
  f.fleet.Update(std::move(records), f.loop.Now());
  const auto exchange = f.Start("/stream/1");
  BOOST_TEST((f.Call(0).options.max_idle > Milliseconds(0)));
  f.fleet.OnProgress("low0", f.loop.Now());
  f.Call(0).Respond(503, "", false, true);
  for (int i = 0; i < 40 && f.client.calls.size() == 1U; ++i) {
    f.loop.Advance(Milliseconds(25));
    f.queue.StartEligible(f.loop.Now());
  }
  BOOST_REQUIRE(f.client.calls.size() == 2U);
  BOOST_TEST((f.Call(1).options.max_idle == Milliseconds(0)));
}

// Guards against an error of the next engine in the middle of a stream that had begun, and against
// a stream that ends with it as if it were complete.
BOOST_AUTO_TEST_CASE(error_of_the_next_engine_does_not_reach_a_stream_that_had_begun) {
  struct Answer {
    int status;
    bool sealed;
    bool not_run;
  };
  const Answer answers[] = {{404, true, false},  {400, false, false}, {500, true, false},
                            {503, false, false}, {503, false, true},  {421, false, true},
                            {200, false, false}};
  for (const Answer& answer : answers) {
    for (const bool framed : {true, false}) {
      GatewayFixture f;
      const auto exchange = f.Start("/stream/1");
      f.Call(0).SendHead(200, true);
      f.Call(0).SendBody(Event(1) + Event(2));
      f.Call(0).Fail(true);
      for (size_t i = 1; i < f.client.calls.size() && i < 20; ++i) {
        f.Call(i).framed = framed;
        f.Call(i).Respond(answer.status, "HTTP/1.1 500 error text\r\n\r\n" + Event(9),
                          answer.sealed, answer.not_run);
      }
      f.loop.Advance(Milliseconds(25000));
      BOOST_TEST(f.responder.body == Event(1) + Event(2));
      BOOST_TEST(!f.responder.complete);
      BOOST_TEST(f.responder.broken);
      BOOST_TEST(f.responder.ends == 1);
    }
  }
}

// Guards against memory that a caller takes by not reading, and against its silence being taken for
// that of the engine.
BOOST_AUTO_TEST_CASE(engine_waits_for_a_caller_that_does_not_read) {
  GatewayFixture f;
  const auto exchange = f.Start("/stream/1");
  f.Call(0).SendHead(200, true);
  f.responder.backlogged = true;
  f.Call(0).SendBody("id: 1\ndata: x\n\n");
  BOOST_TEST(f.Call(0).paused);
  f.loop.Advance(Milliseconds(5000));
  BOOST_TEST(f.client.calls.size() == 1U);
  BOOST_TEST(!f.Call(0).Cancelled());
  f.responder.backlogged = false;
  exchange->OnCallerReads();
  BOOST_TEST(!f.Call(0).paused);
  f.Call(0).SendBody("id: 2\ndata: y\n\n");
  f.Call(0).Finish();
  BOOST_TEST(f.responder.complete);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
