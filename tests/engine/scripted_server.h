// An HTTP server whose handler decides per request whether to reply, to hang or to close the
// connection. One thread per connection.

#ifndef TESTS_ENGINE_SCRIPTED_SERVER_H_
#define TESTS_ENGINE_SCRIPTED_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace azuregw::testing {

struct ScriptedReply {
  enum Action { kReply, kHang, kClose };
  Action action = kReply;
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
};

struct ScriptedRequest {
  std::string method;
  std::string target;
  std::string body;
  int number = 0;  // From 1, over all connections.
};

class ScriptedServer {
 public:
  using Handler = std::function<ScriptedReply(const ScriptedRequest&)>;
  using Tcp = boost::asio::ip::tcp;

  explicit ScriptedServer(Handler handler)
      : m_handler(std::move(handler)),
        m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Accept(); }) {}

  ~ScriptedServer() {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopped = true;
      for (const auto& socket : m_sockets) {
        boost::system::error_code ignored;
        socket->shutdown(Tcp::socket::shutdown_both, ignored);
      }
    }
    // Wakes the blocking accept.
    boost::asio::io_context context;
    boost::system::error_code ignored;
    Tcp::socket(context).connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  int Requests() const { return Locked(m_requests); }
  int Connections() const { return Locked(m_connections); }
  // Connections that the client has not closed.
  int Open() const { return Locked(m_open); }

 private:
  int Locked(const int& value) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return value;
  }

  void Accept() {
    while (true) {
      auto socket = std::make_shared<Tcp::socket>(m_context);
      boost::system::error_code error;
      m_acceptor.accept(*socket, error);
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (error || m_stopped) {
        return;
      }
      ++m_connections;
      ++m_open;
      m_sockets.push_back(socket);
      m_threads.emplace_back([this, socket] { Serve(socket.get()); });
    }
  }

  void Serve(Tcp::socket* socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
      http::request<http::string_body> request;
      http::read(*socket, buffer, request, error);
      if (error) {
        break;
      }
      const ScriptedReply reply = m_handler(Note(request));
      if (reply.action == ScriptedReply::kClose) {
        break;
      }
      if (reply.action == ScriptedReply::kHang) {
        char byte = 0;
        socket->read_some(boost::asio::buffer(&byte, 1), error);  // Until the client closes.
        break;
      }
      http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
      for (const auto& [name, value] : reply.headers) {
        response.set(name, value);
      }
      response.body() = reply.body;
      response.prepare_payload();
      http::write(*socket, response, error);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_open;
    socket->shutdown(Tcp::socket::shutdown_both, error);
  }

  template <class Request>
  ScriptedRequest Note(const Request& request) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {std::string(request.method_string()), std::string(request.target()), request.body(),
            ++m_requests};
  }

  const Handler m_handler;
  boost::asio::io_context m_context;
  Tcp::acceptor m_acceptor;
  mutable std::mutex m_mutex;
  bool m_stopped = false;
  int m_requests = 0;
  int m_connections = 0;
  int m_open = 0;
  std::vector<std::shared_ptr<Tcp::socket>> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_thread;
};

}  // namespace azuregw::testing

#endif  // TESTS_ENGINE_SCRIPTED_SERVER_H_
