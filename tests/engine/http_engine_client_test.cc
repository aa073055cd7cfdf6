// The engine client over real connections: batching, timeouts, and engines that fail.

#include "azuregw/engine/http_engine_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/engine/scripted_server.h"

namespace azuregw::testing {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

StepRequest DecodeStep(const std::string& address, const std::string& sequence,
                       Milliseconds timeout = Milliseconds(10000)) {
  StepRequest request;
  request.address = address;
  request.sequence = sequence;
  request.model = "design";
  request.range = {0, 2};
  request.first_token = 5;
  request.token_count = 1;
  request.input = TokenIds{{17}};
  request.timeout = timeout;
  return request;
}

std::future<Result<StepResult>> Send(EngineClient* client, StepRequest request) {
  auto promise = std::make_shared<std::promise<Result<StepResult>>>();
  client->Step(std::move(request),
               [promise](Result<StepResult> result) { promise->set_value(std::move(result)); });
  return promise->get_future();
}

// Runs every step of a call.
ScriptedReply AnswerSteps(const ScriptedRequest& request) {
  json results = json::array();
  const json body = json::parse(request.body);
  for (const json& step : body["steps"]) {
    results.push_back({{"status", "ok"},
                       {"sequence", step["sequence"]},
                       {"attempt", step["attempt"]},
                       {"first_token", step["first_token"]},
                       {"token_count", step["token_count"]},
                       {"token", 7},
                       {"text", "t7 "},
                       {"end", false}});
  }
  ScriptedReply reply;
  reply.body = json({{"results", results}, {"load", {{"running", 3}}}}).dump();
  return reply;
}

ScriptedReply Hang() {
  ScriptedReply reply;
  reply.action = ScriptedReply::kHang;
  return reply;
}

ScriptedReply Body(const std::string& body) {
  ScriptedReply reply;
  reply.body = body;
  return reply;
}

bool Eventually(const std::function<bool()>& condition) {
  const auto end = steady_clock::now() + std::chrono::seconds(20);
  while (!condition() && steady_clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return condition();
}

int Code(const Result<StepResult>& result) {
  return result ? 0 : static_cast<int>(result.error().code);
}

BOOST_AUTO_TEST_SUITE(http_engine_client)

// Guards against one call per step, and against answers that reach another step's callback.
BOOST_AUTO_TEST_CASE(steps_that_wait_share_a_call) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  ScriptedServer server([&](const ScriptedRequest& request) {
    released.wait();
    return AnswerSteps(request);
  });
  HttpEngineClientOptions options;
  options.batching.max_inflight_batches = 1;
  const auto client = MakeHttpEngineClient(options);
  std::vector<std::future<Result<StepResult>>> answers;
  for (int i = 0; i < 20; ++i) {
    answers.push_back(Send(client.get(), DecodeStep(server.Address(), "s" + std::to_string(i))));
  }
  release.set_value();
  for (int i = 0; i < 20; ++i) {
    const Result<StepResult> result = answers[static_cast<size_t>(i)].get();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().sequence == "s" + std::to_string(i));
    BOOST_TEST(result.value().token == 7u);
    BOOST_TEST(result.value().load.running == 3);
  }
  BOOST_TEST(server.Requests() == 2);
}

// Guards against a frozen engine that holds up other engines or keeps its connections for ever.
BOOST_AUTO_TEST_CASE(a_frozen_engine_delays_only_its_own_steps) {
  ScriptedServer frozen([](const ScriptedRequest&) { return Hang(); });
  ScriptedServer healthy(AnswerSteps);
  HttpEngineClientOptions options;
  options.batching.max_inflight_batches = 2;
  const auto client = MakeHttpEngineClient(options);
  std::vector<std::future<Result<StepResult>>> late;
  const auto start = steady_clock::now();
  for (int i = 0; i < 200; ++i) {
    late.push_back(Send(client.get(),
                        DecodeStep(frozen.Address(), "f" + std::to_string(i), Milliseconds(1500))));
  }
  for (int i = 0; i < 50; ++i) {
    const auto sent = steady_clock::now();
    const Result<StepResult> answer = Send(client.get(), DecodeStep(healthy.Address(), "h")).get();
    BOOST_TEST(answer.has_value(), (answer ? "" : answer.error().message));
    BOOST_TEST((steady_clock::now() - sent < Milliseconds(1000)));
  }
  for (auto& answer : late) {
    BOOST_TEST(Code(answer.get()) == static_cast<int>(ResultCode::kUpstreamTimeout));
  }
  BOOST_TEST((steady_clock::now() - start < std::chrono::seconds(10)));
  BOOST_TEST(Eventually([&] { return frozen.Open() == 0; }));
  // The calls in flight, and those that followed when these were abandoned.
  BOOST_TEST(frozen.Connections() <= 2 * options.batching.max_inflight_batches);
}

// Guards against a refused connection that counts as work which may have run.
BOOST_AUTO_TEST_CASE(unreachable_engine) {
  std::string address;
  { address = ScriptedServer(AnswerSteps).Address(); }
  const auto client = MakeHttpEngineClient();
  const Result<StepResult> result = Send(client.get(), DecodeStep(address, "s")).get();
  BOOST_TEST(Code(result) == static_cast<int>(ResultCode::kUpstreamUnreachable));
  BOOST_TEST((result.error().outcome == RunOutcome::kNotRun));
}

// Guards against crashes and wrong successes on replies that break the protocol.
BOOST_AUTO_TEST_CASE(broken_replies) {
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "{}",
      R"({"results":[]})",
      R"({"results":[{},{}]})",
      R"({"results":[7]})",
      R"({"results":[{"status":"ok"}]})",
      R"({"results":[{"status":"ok","sequence":"other","attempt":1,"first_token":5,"token_count":1}]})",
      R"({"results":[{"status":"ok","sequence":"s","attempt":1,"first_token":4,"token_count":1}]})",
      R"({"results":[{"status":"ok","sequence":"s","attempt":1,"first_token":5,"token_count":2}]})"};
  for (const std::string& body : bodies) {
    ScriptedServer server([&](const ScriptedRequest&) { return Body(body); });
    const auto client = MakeHttpEngineClient();
    const Result<StepResult> result = Send(client.get(), DecodeStep(server.Address(), "s")).get();
    BOOST_TEST(Code(result) == static_cast<int>(ResultCode::kUpstreamProtocol), body);
  }
}

// Guards against an engine's refusal that is taken for another one or for work done.
BOOST_AUTO_TEST_CASE(refusals_of_engines) {
  const std::vector<std::pair<std::string, ResultCode>> errors = {
      {"stale_attempt", ResultCode::kStaleAttempt},
      {"unknown_sequence", ResultCode::kUnknownSequence},
      {"leaving", ResultCode::kUpstreamLeaving},
      {"overloaded", ResultCode::kOverloaded},
      {"fetch_failed", ResultCode::kFetchFailed},
      {"out_of_order", ResultCode::kUpstreamRefused},
      {"moved", ResultCode::kUpstreamRefused},
      {"not_loaded", ResultCode::kUpstreamRefused}};
  for (const auto& [name, code] : errors) {
    const std::string error = name;
    ScriptedServer server([&](const ScriptedRequest&) {
      return Body(R"({"results":[{"status":"error","executed":false,"error":")" + error +
                  R"("}]})");
    });
    const auto client = MakeHttpEngineClient();
    const Result<StepResult> result = Send(client.get(), DecodeStep(server.Address(), "s")).get();
    BOOST_TEST(Code(result) == static_cast<int>(code), name);
    BOOST_TEST((result.error().outcome == RunOutcome::kNotRun));
  }
}

// Guards against a raise that is sent twice, the second of which is refused as stale.
BOOST_AUTO_TEST_CASE(a_raise_is_sent_once) {
  ScriptedServer server([](const ScriptedRequest& request) {
    ScriptedReply reply = Body(R"({"tokens":4,"attempt":2,"outputs":[]})");
    reply.action = request.number > 1 ? ScriptedReply::kClose : ScriptedReply::kReply;
    return reply;
  });
  const auto client = MakeHttpEngineClient();
  for (const bool answered : {true, false}) {
    std::promise<bool> done;
    client->RaiseAttempt(server.Address(), "s", 2, [&](const Result<AttemptReply>& reply) {
      done.set_value(reply.has_value());
    });
    BOOST_TEST(done.get_future().get() == answered);
  }
  BOOST_TEST(server.Requests() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
