// AdminServer over a real socket.

#include "azuregw/admin/admin_server.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "azuregw/base/http_call.h"
#include "azuregw/base/listen_address.h"
#include "tests/fakes/scripted_server.h"

namespace azuregw {
namespace {

constexpr const char* kKey = "operator-key-0123456789";

struct Fixture {
  Fixture() : address(ChooseListenAddress("127.0.0.1:0").value()) {
    server = MakeAdminServer(address, kKey);
    server->Register("POST", "/echo/", [](const AdminRequest& request) {
      AdminReply reply;
      reply.body = request.path + "|" + request.query.at("q") + "|" + request.body;
      return reply;
    });
  }
  Result<HttpCallReply> Call(const std::string& body, const std::string& key) {
    HttpCallRequest request;
    request.method = "POST";
    request.path = "/echo/a%20b";
    request.query = {{"q", "x y&z"}};
    request.body = body;
    request.bearer = key;
    return MakeHttpCaller(address, Milliseconds(5000))->Call(request);
  }
  std::string address;
  std::unique_ptr<AdminServer> server;
};

BOOST_FIXTURE_TEST_SUITE(admin_server, Fixture)

BOOST_AUTO_TEST_CASE(request_is_decoded_and_checked) {
  BOOST_REQUIRE(server->Start());
  BOOST_TEST(Call("body", kKey).value().body == "/echo/a b|x y&z|body");
  BOOST_TEST(Call("body", "wrong").value().status == 401);
  BOOST_TEST(Call(std::string(100000, 'x'), kKey).value().status == 413);
}

// Guards against a process that runs on without its admin port.
BOOST_AUTO_TEST_CASE(port_in_use_is_numbered) {
  ScriptedServer other([](size_t, const std::string&) { return ScriptedServer::Step(); });
  const auto second = MakeAdminServer(other.Address(), kKey);
  const Result<void> started = second->Start();
  BOOST_REQUIRE(!started);
  BOOST_TEST((started.error().code == ResultCode::kPortInUse));
  const Result<std::string> chosen = ChooseListenAddress(other.Address());
  BOOST_REQUIRE(!chosen);
  BOOST_TEST((chosen.error().code == ResultCode::kPortInUse));
}

// Guards against a connection that waits for ever when a handler fails.
BOOST_AUTO_TEST_CASE(failing_handler_gives_an_error_reply) {
  server->Register("POST", "/echo/a b",
                   [](const AdminRequest&) -> AdminReply { throw std::runtime_error("broken"); });
  BOOST_REQUIRE(server->Start());
  BOOST_TEST(Call("", kKey).value().status == 500);
}

// Guards against blocking calls on the threads that serve the blocking calls' own replies.
BOOST_AUTO_TEST_CASE(worker_handlers_may_call_the_server_itself) {
  server->Register(
      "POST", "/echo/a b",
      [this](const AdminRequest&) {
        HttpCallRequest request;
        request.method = "GET";
        request.path = "/readyz";
        AdminReply reply;
        reply.body = MakeHttpCaller(address, Milliseconds(5000))->Call(request).value().body;
        return reply;
      },
      AdminServer::Execution::kWorker);
  server->Register("GET", "/readyz", [](const AdminRequest&) {
    AdminReply reply;
    reply.body = "inner";
    return reply;
  });
  BOOST_REQUIRE(server->Start());
  BOOST_TEST(Call("", kKey).value().body == "inner");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
