// Status answers on Boost.Beast.

#include "azuregw/net/status_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "azuregw/net/body_framing.h"
#include "azuregw/net/endpoint.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using Answer = std::function<StatusReply(const std::string&)>;

// Askers come once a second or every few seconds.
constexpr std::chrono::seconds kIdleTimeout{15};
constexpr std::chrono::milliseconds kAcceptRetry{50};
// Limit of what is received and not parsed yet. Requests are a few hundred bytes.
constexpr size_t kMaxBufferedBytes = 16384;

class Connection final : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<const Answer> answer, asio::io_context* io)
      : m_socket(std::move(socket)), m_timer(*io), m_answer(std::move(answer)) {}

  void Read() {
    m_timer.expires_after(kIdleTimeout);
    m_timer.async_wait([self = weak_from_this()](error_code error) {
      const auto connection = self.lock();
      if (!error && connection != nullptr) {
        error_code ignored;  // The connection is given up either way.
        connection->m_socket.close(ignored);
      }
    });
    m_request = {};
    http::async_read(
        m_socket, m_buffer, m_request, [self = shared_from_this()](error_code error, size_t) {
          const auto& request = self->m_request;
          // An ambiguous request ends its connection with the last reference.
          if (!error && BodyLengthAmbiguity(request.base(), request.version()).empty()) {
            self->Reply();
          }
        });
  }

 private:
  void Reply() {
    const auto target = m_request.target();
    StatusReply reply = (*m_answer)({target.data(), target.size()});
    m_response = {};
    m_response.result(static_cast<unsigned>(reply.status));
    m_response.version(11);
    m_response.set(http::field::content_type, reply.content_type);
    m_response.keep_alive(m_request.keep_alive());
    m_response.body() = std::move(reply.body);
    m_response.prepare_payload();
    http::async_write(m_socket, m_response, [self = shared_from_this()](error_code error, size_t) {
      if (!error && self->m_response.keep_alive()) {
        self->Read();
      }
    });
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  const std::shared_ptr<const Answer> m_answer;
  beast::flat_buffer m_buffer{kMaxBufferedBytes};
  http::request<http::string_body> m_request;
  http::response<http::string_body> m_response;
};

class BeastStatusServer final : public StatusServer {
 public:
  BeastStatusServer(asio::io_context* io, Answer answer)
      : m_io(io),
        m_acceptor(*io),
        m_retry(*io),
        m_answer(std::make_shared<const Answer>(std::move(answer))) {}

  Result<void> Listen(const tcp::endpoint& endpoint) {
    const Result<void> opened = OpenAcceptor(endpoint, "status address", &m_acceptor);
    if (!opened) {
      return opened;
    }
    Accept();
    return boost::outcome_v2::success();
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (error) {
        m_retry.expires_after(kAcceptRetry);
        m_retry.async_wait([this](error_code cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
        return;
      }
      std::make_shared<Connection>(std::move(socket), m_answer, m_io)->Read();
      Accept();
    });
  }

  asio::io_context* const m_io;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_retry;
  const std::shared_ptr<const Answer> m_answer;
};

}  // namespace

Result<std::unique_ptr<StatusServer>> MakeStatusServer(
    asio::io_context* io, const tcp::endpoint& endpoint,
    std::function<StatusReply(const std::string& target)> answer) {
  auto server = std::make_unique<BeastStatusServer>(io, std::move(answer));
  const Result<void> listening = server->Listen(endpoint);
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<StatusServer>(std::move(server));
}

}  // namespace azuregw
