// The client of plain services: a call is sent once, and "not run" is said only when nothing ran.

#include "azuregw/service/http_service_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>

#include "engine/http_transport.h"
#include "tests/engine/scripted_server.h"

namespace azuregw::testing {
namespace {

ServiceRequest Deposit(const std::string& address, Milliseconds timeout = Milliseconds(10000)) {
  ServiceRequest request;
  request.address = address;
  request.method = "POST";
  request.path = "/deposits?x=1";
  request.content_type = "application/json";
  request.body = R"({"eur":5})";
  request.request_id = "r1";
  request.idempotency_key = "k1";
  request.timeout = timeout;
  return request;
}

Result<ServiceReply> Call(ServiceClient* client, ServiceRequest request) {
  std::promise<Result<ServiceReply>> promise;
  client->Call(std::move(request),
               [&](Result<ServiceReply> reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

// Answers the first request and closes the connection on the later ones.
ScriptedReply AnswerFirst(const ScriptedRequest& request) {
  ScriptedReply reply;
  reply.body = "{}";
  reply.action = request.number > 1 ? ScriptedReply::kClose : ScriptedReply::kReply;
  return reply;
}

void CheckError(const Result<ServiceReply>& reply, ResultCode code, RunOutcome outcome) {
  BOOST_REQUIRE(!reply);
  BOOST_TEST(static_cast<int>(reply.error().code) == static_cast<int>(code), reply.error().message);
  BOOST_TEST((reply.error().outcome == outcome));
}

BOOST_AUTO_TEST_SUITE(http_service_client)

// Guards against a call that loses its method, path or body.
BOOST_AUTO_TEST_CASE(passes_the_call_on) {
  ScriptedRequest seen;
  ScriptedServer server([&](const ScriptedRequest& request) {
    seen = request;
    ScriptedReply reply;
    reply.status = 422;
    reply.body = "no";
    reply.headers["Content-Type"] = "text/plain";
    return reply;
  });
  const auto client = MakeHttpServiceClient();
  const auto reply = Call(client.get(), Deposit(server.Address()));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply.value().status == 422);
  BOOST_TEST(reply.value().body == "no");
  BOOST_TEST(reply.value().content_type == "text/plain");
  BOOST_TEST(seen.method == "POST");
  BOOST_TEST(seen.target == "/deposits?x=1");
  BOOST_TEST(seen.body == R"({"eur":5})");
}

// Guards against "not run" for a call that may have run, and "unknown" for one that cannot have.
BOOST_AUTO_TEST_CASE(outcomes) {
  const auto client = MakeHttpServiceClient();
  std::string address;
  { address = ScriptedServer(AnswerFirst).Address(); }
  CheckError(Call(client.get(), Deposit(address)), ResultCode::kUpstreamUnreachable,
             RunOutcome::kNotRun);
  ScriptedServer closing([](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.action = ScriptedReply::kClose;
    return reply;
  });
  CheckError(Call(client.get(), Deposit(closing.Address())), ResultCode::kUpstreamProtocol,
             RunOutcome::kUnknown);
  ScriptedServer hanging([](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.action = ScriptedReply::kHang;
    return reply;
  });
  CheckError(Call(client.get(), Deposit(hanging.Address(), Milliseconds(200))),
             ResultCode::kUpstreamTimeout, RunOutcome::kUnknown);
  ScriptedServer refusing([](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.status = 503;
    reply.headers["X-Not-Executed"] = "true";
    return reply;
  });
  CheckError(Call(client.get(), Deposit(refusing.Address())), ResultCode::kUpstreamRefused,
             RunOutcome::kNotRun);
  ScriptedServer busy([](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.status = 503;
    return reply;
  });
  const auto plain = Call(client.get(), Deposit(busy.Address()));
  BOOST_REQUIRE(plain.has_value());
  BOOST_TEST(plain.value().status == 503);
}

// Guards against a call that takes effect twice: the upstream closes the connection after it has
// read the call.
BOOST_AUTO_TEST_CASE(a_call_is_never_repeated) {
  ScriptedServer server(AnswerFirst);
  const auto client = MakeHttpServiceClient();
  BOOST_TEST(Call(client.get(), Deposit(server.Address())).has_value());
  for (int i = 0; i < 5; ++i) {
    CheckError(Call(client.get(), Deposit(server.Address())), ResultCode::kUpstreamProtocol,
               RunOutcome::kUnknown);
  }
  BOOST_TEST(server.Requests() == 6);
  BOOST_TEST(server.Connections() == 6);
}

// Guards against a check that cannot fail: over a pooled connection the library repeats the call.
// A connection returns to the pool shortly after its reply, so the first tries may find none there.
BOOST_AUTO_TEST_CASE(a_pooled_connection_repeats_the_call) {
  std::atomic<bool> closing{false};
  ScriptedServer server([&](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.action = closing ? ScriptedReply::kClose : ScriptedReply::kReply;
    return reply;
  });
  const auto transport = MakeHttpTransport(server.Address(), Milliseconds(10000));
  const auto call_once = [&] {
    HttpCall call;
    call.method = "POST";
    call.path = "/deposits";
    call.content_type = "application/json";
    call.body = "{}";
    std::promise<void> done;
    transport->Call(std::move(call), [&](const Result<HttpReply>&) { done.set_value(); });
    done.get_future().get();
  };
  bool repeated = false;
  for (int i = 0; i < 100 && !repeated; ++i) {
    closing = false;
    call_once();
    closing = true;
    const int before = server.Requests();
    call_once();
    repeated = server.Requests() - before == 2;
  }
  BOOST_TEST(repeated);
}

// Guards against a second run through a redirect.
BOOST_AUTO_TEST_CASE(redirects_are_not_followed) {
  ScriptedServer server([](const ScriptedRequest&) {
    ScriptedReply reply;
    reply.status = 307;
    reply.headers["Location"] = "/deposits-again";
    return reply;
  });
  const auto client = MakeHttpServiceClient();
  const auto reply = Call(client.get(), Deposit(server.Address()));
  BOOST_TEST((!reply || reply.value().status == 307));
  BOOST_TEST(server.Requests() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
