// Tests of the HTTP server for callers, on real sockets.

#include "azuregw/forward/caller_listener.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

// Returns a TCP port that is currently free.
uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  BOOST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

// Blocking TCP client.
class Caller {
 public:
  explicit Caller(uint16_t port) : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    BOOST_REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  }
  ~Caller() { Close(); }
  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  void Send(const std::string& text) {
    BOOST_REQUIRE(send(m_fd, text.data(), text.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(text.size()));
  }
  // Returns the bytes received so far. Sets `ended` if the connection was closed or reset.
  std::string Received() {
    char buffer[4096];
    while (true) {
      const ssize_t count = recv(m_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count > 0) {
        m_received.append(buffer, static_cast<size_t>(count));
        continue;
      }
      ended = ended || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      return m_received;
    }
  }
  bool ended = false;

 private:
  int m_fd;
  std::string m_received;
};

struct Fixture : GatewayFixture {
  Fixture() : real_loop(MakeEventLoop(&io)) {
    context.loop = real_loop.get();
    context.settings.caller_address = {boost::asio::ip::make_address("127.0.0.1"), FreePort()};
    auto made = MakeCallerListener(&io, &context);
    BOOST_REQUIRE(made.has_value());
    listener = std::move(made.value());
    listener->Accept();
  }
  // Exchanges that are destroyed with `io` read the time, so they need a loop that still exists.
  ~Fixture() { context.loop = &loop; }
  // Runs the loop until `condition` holds. The limit of 20 s allows for a loaded machine.
  bool Until(const std::function<bool()>& condition) {
    const TimePoint end = real_loop->Now() + Milliseconds(20000);
    while (!condition() && real_loop->Now() < end) {
      io.restart();
      io.run_for(Milliseconds(2));
    }
    return condition();
  }
  std::string Request(const std::string& target, const std::string& more = "") {
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" + more +
           "Content-Length: 2\r\n\r\nhi";
  }
  uint16_t Port() const { return context.settings.caller_address.port(); }

  boost::asio::io_context io;
  std::unique_ptr<EventLoop> real_loop;
  std::unique_ptr<CallerListener> listener;
};

BOOST_AUTO_TEST_SUITE(caller_listener)

BOOST_AUTO_TEST_CASE(connection_is_reused_for_further_requests) {
  Fixture f;
  Caller caller(f.Port());
  for (size_t i = 0; i < 2; ++i) {
    caller.Send(f.Request("/order/" + std::to_string(i)));
    BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == i + 1; }));
    BOOST_TEST(f.Call(i).request.body() == "hi");
    f.Call(i).Respond(200, "answer" + std::to_string(i));
    BOOST_TEST(f.Until(
        [&] { return caller.Received().find("answer" + std::to_string(i)) != std::string::npos; }));
  }
  BOOST_TEST(!caller.ended);
}

BOOST_AUTO_TEST_CASE(chunked_request_body_is_accepted) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(
      "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n");
  caller.Send("2\r\nde\r\n0\r\n\r\n");
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 1; }));
  BOOST_TEST(f.Call(0).request.body() == "abcde");
}

// A connection must not be destroyed while its request is served, and requests to upstreams must be
// cancelled when the caller disconnects.
BOOST_AUTO_TEST_CASE(disconnect_cancels_the_upstream_request) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(f.Request("/stream/1"));
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 1; }));
  f.io.restart();
  f.io.run_for(Milliseconds(20));
  BOOST_TEST(!f.Call(0).Cancelled());
  caller.Close();
  BOOST_TEST(f.Until([&] { return f.Call(0).Cancelled(); }));
  BOOST_TEST(f.Until([&] { return f.listener->Connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(stream_is_sent_in_chunks_with_a_last_chunk) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(f.Request("/stream/1"));
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 1; }));
  f.Call(0).SendHead(200, true);
  f.Call(0).SendBody("id: 1\ndata: x\n\n");
  BOOST_TEST(f.Until([&] { return caller.Received().find("data: x") != std::string::npos; }));
  BOOST_TEST(caller.Received().find("0\r\n\r\n") == std::string::npos);
  f.Call(0).Finish();
  BOOST_TEST(f.Until([&] { return caller.Received().find("0\r\n\r\n") != std::string::npos; }));
}

// Guards against a body in the response to HEAD, which the caller takes for the begin of the next
// response.
BOOST_AUTO_TEST_CASE(response_to_head_on_a_streaming_route_has_no_body) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send("HEAD /stream/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n\r\n");
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 1; }));
  f.Call(0).SendHead(200, true);
  f.Call(0).Finish();
  BOOST_REQUIRE(f.Until([&] { return caller.Received().find("\r\n\r\n") != std::string::npos; }));
  caller.Send(f.Request("/order/2"));
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 2; }));
  f.Call(1).Respond(200, "next");
  BOOST_REQUIRE(f.Until([&] { return caller.Received().find("next") != std::string::npos; }));
  const std::string received = caller.Received();
  BOOST_TEST(received.find("\r\n\r\n") + 4 == received.find("HTTP/1.1 ", 1));
}

// A truncated response must not look complete to the caller.
BOOST_AUTO_TEST_CASE(broken_stream_has_no_last_chunk) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(f.Request("/stream/1"));
  for (size_t i = 0; i < 2; ++i) {
    BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == i + 1; }));
    f.Call(i).SendHead(200, true);
    f.Call(i).SendBody("id: " + std::to_string(i + 1) + "\ndata: x\n\n");
    f.Call(i).Fail(true);
  }
  BOOST_TEST(f.Until([&] {
    caller.Received();
    return caller.ended;
  }));
  BOOST_TEST(caller.Received().find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(configured_size_limits_are_enforced) {
  Fixture f;
  Caller large_header(f.Port());
  large_header.Send("GET /order/1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x'));
  BOOST_TEST(
      f.Until([&] { return large_header.Received().find("HTTP/1.1 431 ") != std::string::npos; }));
  Caller large_body(f.Port());
  large_body.Send("POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
  BOOST_TEST(
      f.Until([&] { return large_body.Received().find("HTTP/1.1 413 ") != std::string::npos; }));
  BOOST_TEST(f.client.calls.empty());
}

// Request smuggling: a second request must not be hidden in the body of the first one.
BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(
      "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /order/2 HTTP/1.1\r\n\r\n");
  BOOST_TEST(f.Until([&] { return !caller.Received().empty() || caller.ended; }));
  BOOST_TEST(f.client.calls.empty());
}

// Guards against an order that runs without its body, and one inside that body that runs as a
// request of its own: a coding that the library does not know was taken for an empty body.
BOOST_AUTO_TEST_CASE(request_inside_a_body_of_unknown_length_does_not_run) {
  const std::string inner = "POST /order/2 HTTP/1.1\r\nHost: h\r\nId: r2\r\nKey: k\r\n\r\n";
  for (const char* fields :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip\r\nContent-Length: 2",
        "Transfer-Encoding:", "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity",
        "Content-Length: 0\r\nContent-Length: 0", "Content-Length: 0, 0"}) {
    for (const bool in_pieces : {false, true}) {
      Fixture f;
      Caller caller(f.Port());
      const std::string head = "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                               std::string(fields) + "\r\n\r\n";
      if (in_pieces) {
        caller.Send(head);
        f.io.restart();
        f.io.run_for(Milliseconds(5));
        caller.Send(inner);
      } else {
        caller.Send(head + inner);
      }
      BOOST_TEST(f.Until([&] {
        caller.Received();
        return caller.ended;
      }),
                 fields);
      const std::string received = caller.Received();
      BOOST_TEST(received.find("HTTP/1.1 400 ") == 0U, fields);
      BOOST_TEST(received.find("HTTP/1.1 ", 1) == std::string::npos, fields);
      BOOST_TEST(f.client.calls.empty(), fields);
    }
  }
}

// Guards against a length that is stated behind the body, in a trailer.
BOOST_AUTO_TEST_CASE(trailers_state_no_length) {
  for (const char* trailer : {"Content-Length: 3", "Transfer-Encoding: gzip"}) {
    Fixture f;
    Caller caller(f.Port());
    caller.Send(
        "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nTransfer-Encoding: chunked\r\n"
        "\r\n2\r\nhi\r\n0\r\n" +
        std::string(trailer) + "\r\n\r\n");
    BOOST_TEST(f.Until([&] { return !caller.Received().empty() || !f.client.calls.empty(); }));
    for (size_t i = 0; i < f.client.calls.size(); ++i) {
      BOOST_TEST(f.Call(i).request.body() == "hi");
      BOOST_TEST(f.Call(i).request.count(boost::beast::http::field::transfer_encoding) == 0U);
      BOOST_TEST(f.Call(i).request["Content-Length"] == "2");
    }
  }
}

// Draining must not truncate responses, and must announce the end of the connection to the caller.
BOOST_AUTO_TEST_CASE(draining_closes_connections_after_their_response) {
  Fixture f;
  Caller caller(f.Port());
  caller.Send(f.Request("/order/1"));
  BOOST_REQUIRE(f.Until([&] { return f.client.calls.size() == 1; }));
  f.listener->Drain();
  f.Call(0).Respond(200, "answer");
  BOOST_TEST(f.Until([&] {
    caller.Received();
    return caller.ended;
  }));
  BOOST_TEST(caller.Received().find("answer") != std::string::npos);
  BOOST_TEST(caller.Received().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
