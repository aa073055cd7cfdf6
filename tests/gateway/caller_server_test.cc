// The HTTP interface for callers over real connections: answers, streams, and every kind of
// refusal.

#include "azuregw/gateway/caller_server.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway/gateway_fixture.h"
#include "tests/support/http_client.h"

namespace azuregw::testing {
namespace {

using nlohmann::json;

const char kChatPath[] = "/v1/chat/completions";
const char kBody[] =
    R"({"model":"design","messages":[{"role":"user","content":"a theme"}],"max_tokens":4})";
const char kStreamBody[] =
    R"({"model":"design","messages":[{"role":"user","content":"a theme"}],"stream":true})";

Headers Auth() { return {{"Authorization", "Bearer key"}, {"Content-Type", "application/json"}}; }

Headers With(Headers headers, const std::string& name, const std::string& value) {
  headers[name] = value;
  return headers;
}

void AnswerTwoTokens(AnswerSink* sink) {
  sink->OnResumeToken("resume-1");
  sink->OnToken(0, "one ", false);
  sink->OnToken(1, "two", true);
  sink->OnFinish(Finish{FinishReason::kStop, 3, 2});
}

// Checks status, code, body shape, headers and the report of one refusal.
void CheckRefusal(GatewayFixture* fixture, const HttpResult& result, ResultCode code,
                  const std::string& workspace) {
  BOOST_TEST_CONTEXT("code " << static_cast<int>(code)) {
    BOOST_TEST(result.status == HttpStatus(code), result.body << result.error);
    json error = json::parse(result.body, nullptr, false);
    error = error.is_object() ? error.value("error", json::object()) : json::object();
    BOOST_TEST(error.value("code", 0) == static_cast<int>(code));
    BOOST_TEST(error.value("name", "") == std::string(ResultCodeName(code)));
    BOOST_TEST(error.value("outcome", "") == "not_run");
    const auto id = result.headers.find("x-request-id");
    BOOST_TEST((id != result.headers.end() && error.value("request_id", "") == id->second));
    auto refusals = fixture->refusals.Take();
    BOOST_TEST(refusals.size() == 1u);
    refusals.resize(1);
    BOOST_TEST(refusals[0].first == workspace);
    BOOST_TEST(static_cast<int>(refusals[0].second) == static_cast<int>(code));
  }
}

BOOST_FIXTURE_TEST_SUITE(caller_server, GatewayFixture)

// Guards against a change of the OpenAI-compatible shape.
BOOST_AUTO_TEST_CASE(whole_answer) {
  runner.script = AnswerTwoTokens;
  const HttpResult result = SendRequest("POST", server->Address(), kChatPath, kBody,
                                        With(Auth(), "X-Request-Id", "caller-7"));
  BOOST_REQUIRE(result.status == 200);
  const json answer = json::parse(result.body);
  BOOST_TEST(answer["object"] == "chat.completion");
  BOOST_TEST(answer["choices"][0]["message"]["content"] == "one two");
  BOOST_TEST(answer["choices"][0]["finish_reason"] == "stop");
  BOOST_TEST(answer["usage"]["total_tokens"] == 5);
  BOOST_TEST(result.headers.at("x-request-id") == "caller-7");
  BOOST_TEST(runner.last_request.prompt == "a theme");
  BOOST_TEST(runner.last_request.workspace == "ws");
  BOOST_TEST(runner.last_request.max_tokens == 4);
  BOOST_TEST(metrics.Value("azuregw_requests_total{outcome=\"ok\"}") == 1);
}

// Guards against streams without positions, resume token or end mark.
BOOST_AUTO_TEST_CASE(streamed_answer) {
  runner.script = AnswerTwoTokens;
  std::vector<SseEvent> seen;
  const StreamResult result =
      StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth(), [&](const SseEvent& e) {
        seen.push_back(e);
        return true;
      });
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.text == "one two");
  BOOST_TEST(result.done);
  BOOST_REQUIRE(seen.size() >= 3u);
  BOOST_TEST(seen[0].id == "0");
  BOOST_TEST(seen[1].id == "1");
  BOOST_TEST(json::parse(seen[0].data)["azuregw"]["resume_token"] == "resume-1");
  BOOST_TEST(!json::parse(seen[1].data).contains("azuregw"));
  BOOST_TEST(result.headers.at("content-type") == "text/event-stream");
}

// Guards against a refusal without its code, id, outcome or report.
BOOST_AUTO_TEST_CASE(refusals_of_requests) {
  const std::string& address = server->Address();
  const auto post = [&](const std::string& body, const Headers& headers) {
    return SendRequest("POST", address, kChatPath, body, headers);
  };
  CheckRefusal(this, post("{", Auth()), ResultCode::kMalformedJson, "ws");
  CheckRefusal(this, post("", Auth()), ResultCode::kMalformedJson, "ws");
  CheckRefusal(this, post("[1]", Auth()), ResultCode::kMalformedJson, "ws");
  CheckRefusal(this, post(std::string(4000, '['), Auth()), ResultCode::kMalformedJson, "ws");
  CheckRefusal(this, post("{}", Auth()), ResultCode::kInvalidField, "ws");
  CheckRefusal(this, post(R"({"model":"design","messages":[7]})", Auth()),
               ResultCode::kInvalidField, "ws");
  CheckRefusal(
      this, post(R"({"model":"design","messages":[{"role":"user","content":"x"}],"n":2})", Auth()),
      ResultCode::kInvalidField, "ws");
  CheckRefusal(this, post(R"({"model":"none","messages":[{"role":"user","content":"x"}]})", Auth()),
               ResultCode::kUnknownModel, "ws");
  CheckRefusal(this, post(kBody, With(Auth(), "X-Azuregw-Deadline-Ms", "soon")),
               ResultCode::kInvalidField, "ws");
  CheckRefusal(this, post(kBody, {}), ResultCode::kUnauthorized, "");
  CheckRefusal(this, post(kBody, {{"Authorization", "Bearer wrong"}}), ResultCode::kUnauthorized,
               "");
  CheckRefusal(this, post(kBody, {{"Authorization", "Basic key"}}), ResultCode::kUnauthorized, "");
  CheckRefusal(this, post(std::string(5000, 'x'), Auth()), ResultCode::kBodyTooLarge, "ws");
  CheckRefusal(this, post(kBody, With(Auth(), "X-Large", std::string(20000, 'x'))),
               ResultCode::kHeaderTooLarge, "");
  Headers many = Auth();
  for (int i = 0; i < 150; ++i) {
    many["X-Many-" + std::to_string(i)] = "1";
  }
  CheckRefusal(this, post(kBody, many), ResultCode::kHeaderTooLarge, "");
  CheckRefusal(this, SendRequest("GET", address, kChatPath, "", Auth()),
               ResultCode::kMethodNotAllowed, "");
  CheckRefusal(this, SendRequest("GET", address, "/v2", "", Auth()), ResultCode::kUnknownRoute, "");
  CheckRefusal(this, SendRequest("POST", address, "/v1/services/none/x", "{}", Auth()),
               ResultCode::kUnknownService, "ws");
  BOOST_TEST(runner.Sink() == nullptr);
  // A caller may read its answer before the server has noted that it was sent.
  BOOST_TEST(Eventually([this] { return server->InProgress() == 0; }));
}

// Guards against an unbounded body without a length, and against broken requests that end the
// server.
BOOST_AUTO_TEST_CASE(raw_requests) {
  std::string chunked =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 100; ++i) {
    chunked += "400\r\n" + std::string(1024, 'x') + "\r\n";
  }
  chunked += "0\r\n\r\n";
  const std::string answer = RawExchange(server->Address(), chunked, Milliseconds(1000));
  BOOST_TEST(answer.find("body_too_large") != std::string::npos, answer);
  for (const std::string& bytes :
       {std::string("\r\n\r\n"), std::string("nonsense\r\n\r\n"), std::string(200, '\0'),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer key\r\n"
                    "Content-Length: 100\r\n\r\n{"),
        std::string("GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n")}) {
    RawExchange(server->Address(), bytes, Milliseconds(200));
  }
  BOOST_TEST(SendRequest("GET", server->Address(), "/healthz", "", {}).status == 200);
  BOOST_TEST(Eventually([this] { return server->InProgress() == 0; }));
}

// Guards against refusals by admission that lose the hint when to retry.
BOOST_AUTO_TEST_CASE(admission_refusal_carries_retry_after) {
  admission.refusal = NotRun(ResultCode::kOverloaded, "busy");
  admission.refusal->retry_after = Milliseconds(1500);
  const HttpResult result = SendRequest("POST", server->Address(), kChatPath, kBody, Auth());
  BOOST_TEST(result.headers.at("retry-after") == "2");
  BOOST_TEST(json::parse(result.body)["error"]["retry_after_ms"] == 1500);
  CheckRefusal(this, result, ResultCode::kOverloaded, "ws");
}

// Guards against an error that is hidden once the stream has begun.
BOOST_AUTO_TEST_CASE(failure_before_and_after_the_first_token) {
  runner.script = [](AnswerSink* sink) { sink->OnFail(NotRun(ResultCode::kNoChain, "none")); };
  StreamResult result = StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth());
  BOOST_TEST(result.status == 503);
  runner.script = [](AnswerSink* sink) {
    sink->OnToken(0, "one ", false);
    sink->OnFail(Unknown(ResultCode::kUpstreamTimeout, "late"));
  };
  result = StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth());
  BOOST_TEST(result.status == 200);
  BOOST_TEST(result.text == "one ");
  BOOST_TEST(!result.done);
  BOOST_TEST(result.error.find("upstream_timeout") != std::string::npos, result.error);
}

// Guards against engines that go on working for a caller that has left.
BOOST_AUTO_TEST_CASE(caller_disconnects) {
  runner.script = [](AnswerSink* sink) { sink->OnToken(0, "one ", false); };
  StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth(),
                   [](const SseEvent&) { return false; });
  int position = 1;
  BOOST_TEST(Eventually([&] {
    runner.Sink()->OnToken(position++, "more ", false);
    return runner.generation->Gone().has_value();
  }));
  BOOST_TEST((runner.generation->Gone() == ResultCode::kCallerGone));
  BOOST_TEST(Eventually([this] { return server->InProgress() == 0; }));
}

// Guards against memory that grows with a caller that does not read.
BOOST_AUTO_TEST_CASE(caller_does_not_read) {
  std::atomic<bool> stop{false};
  std::thread caller([&] {
    StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth(), [&](const SseEvent&) {
      Eventually([&] { return stop.load(); });
      return false;
    });
  });
  BOOST_REQUIRE(Eventually([this] { return runner.Sink() != nullptr; }));
  int position = 0;
  BOOST_TEST(Eventually([&] {
    runner.Sink()->OnToken(position++, std::string(8000, 'x'), false);
    return runner.generation->Gone().has_value();
  }));
  BOOST_TEST((runner.generation->Gone() == ResultCode::kCallerTooSlow));
  BOOST_TEST(Eventually([this] { return server->InProgress() == 0; }));
  stop = true;
  caller.join();
}

// Guards against a shutdown that cuts off a stream in progress (I6).
BOOST_AUTO_TEST_CASE(drain_waits_for_streams_and_refuses_new_requests) {
  StreamResult result;
  std::thread caller(
      [&] { result = StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth()); });
  BOOST_REQUIRE(Eventually([this] { return runner.Sink() != nullptr; }));
  const auto sink = runner.Sink();
  runner.Forget();
  sink->OnToken(0, "one ", false);
  server->BeginDrain();
  const HttpResult refused = SendRequest("POST", server->Address(), kChatPath, kBody, Auth());
  CheckRefusal(this, refused, ResultCode::kDraining, "ws");
  BOOST_TEST(!server->WaitIdle(std::chrono::steady_clock::now() + Milliseconds(50)));
  BOOST_TEST(server->InProgress() == 1);
  sink->OnToken(1, "two", true);
  sink->OnFinish(Finish{FinishReason::kStop, 1, 2});
  BOOST_TEST(server->WaitIdle(std::chrono::steady_clock::now() + std::chrono::seconds(20)));
  caller.join();
  BOOST_TEST(result.text == "one two");
  BOOST_TEST(result.done);
}

// Guards against a process that cannot exit because a stream has not ended by the drain limit.
BOOST_AUTO_TEST_CASE(stop_ends_while_a_stream_is_open) {
  StreamResult result;
  std::thread caller(
      [&] { result = StreamCompletion(server->Address(), kChatPath, kStreamBody, Auth()); });
  BOOST_REQUIRE(Eventually([this] { return runner.Sink() != nullptr; }));
  runner.Sink()->OnToken(0, "one ", false);
  std::atomic<bool> stopped{false};
  std::thread stopper([&] {
    server->Stop();
    stopped = true;
  });
  const bool ended = Eventually([&] { return stopped.load(); });
  BOOST_TEST(ended);
  if (!ended) {
    runner.Sink()->OnFinish(Finish());
  }
  stopper.join();
  caller.join();
  BOOST_TEST(!result.done);
  BOOST_TEST((runner.generation->Gone() == ResultCode::kDraining));
}

// Guards against calls on services that lose their key, query or answer.
BOOST_AUTO_TEST_CASE(service_calls) {
  orders.answer = ServiceAnswer{{201, "application/json", R"({"ok":true})"}, false};
  const HttpResult result =
      SendRequest("POST", server->Address(), "/v1/services/bookings/deposits?x=1", R"({"eur":5})",
                  With(Auth(), "Idempotency-Key", "k-1"));
  BOOST_TEST(result.status == 201);
  BOOST_TEST(result.body == R"({"ok":true})");
  BOOST_TEST(orders.last_call.service == "bookings");
  BOOST_TEST(orders.last_call.path == "/deposits?x=1");
  BOOST_TEST(orders.last_call.method == "POST");
  BOOST_TEST(orders.last_call.idempotency_key == "k-1");
  BOOST_TEST(orders.last_call.body == R"({"eur":5})");
  orders.answer = Unknown(ResultCode::kOrderOutcomeUnknown, "no reply");
  const HttpResult unknown =
      SendRequest("POST", server->Address(), "/v1/services/bookings/deposits", "{}", Auth());
  BOOST_TEST(unknown.status == 409);
  BOOST_TEST(json::parse(unknown.body)["error"]["outcome"] == "unknown");
}

// Guards against load balancers that are not told, and against open lists of models.
BOOST_AUTO_TEST_CASE(health_readiness_and_models) {
  const std::string& address = server->Address();
  BOOST_TEST(SendRequest("GET", address, "/healthz", "", {}).status == 200);
  BOOST_TEST(SendRequest("GET", address, "/readyz", "", {}).status == 200);
  not_ready = "no preset";
  const HttpResult result = SendRequest("GET", address, "/readyz", "", {});
  BOOST_TEST(result.status == 503);
  BOOST_TEST(result.body.find("no preset") != std::string::npos);
  BOOST_TEST(refusals.Take().empty());
  const HttpResult models = SendRequest("GET", address, "/v1/models", "", Auth());
  BOOST_TEST(json::parse(models.body)["data"][0]["id"] == "design");
  BOOST_TEST(SendRequest("GET", address, "/v1/models", "", {}).status == 401);
}

// Guards against a second server that seems to run on a port in use.
BOOST_AUTO_TEST_CASE(port_in_use) {
  CallerServerOptions options;
  options.address = server->Address();
  const auto second = MakeCallerServer(options, Dependencies());
  BOOST_REQUIRE(!second);
  BOOST_TEST(static_cast<int>(second.error().code) == static_cast<int>(ResultCode::kPortInUse));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
