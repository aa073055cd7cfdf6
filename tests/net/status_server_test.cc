// Tests of the status server against requests beyond its limits.

#include "azuregw/net/status_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace azuregw {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Sends `request` and returns what the server sends until it closes the connection.
std::string Ask(const tcp::endpoint& endpoint, const std::string& request) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(endpoint);
  error_code ignored;  // The server may close before it has read everything.
  asio::write(socket, asio::buffer(request), ignored);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), ignored);
  return received;
}

tcp::endpoint FreeEndpoint(asio::io_context* io) {
  tcp::acceptor acceptor(*io, {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint();
}

BOOST_AUTO_TEST_SUITE(status_server)

// Guards against a probe that fills the memory, or takes the endpoint away from others.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limits_are_closed) {
  asio::io_context io;
  const tcp::endpoint endpoint = FreeEndpoint(&io);
  auto server = MakeStatusServer(&io, endpoint, [](const std::string&) {
    return StatusReply{200, "text/plain", "fine\n"};
  });
  BOOST_REQUIRE(server.has_value());
  std::thread loop([&io] { io.run(); });
  const std::string begin = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& request :
       {begin + "X-A: " + std::string(1 << 20, 'a') + "\r\n\r\n",
        begin + "Content-Length: 99999999999\r\n\r\n", std::string(1 << 20, 'j'),
        begin + "Transfer-Encoding: gzip\r\n\r\n",
        begin + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n"}) {
    BOOST_TEST(Ask(endpoint, request).find("200") == std::string::npos);
  }
  const std::string answer = Ask(endpoint, begin + "Connection: close\r\n\r\n");
  BOOST_TEST(answer.find("fine") != std::string::npos);
  io.stop();
  loop.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
