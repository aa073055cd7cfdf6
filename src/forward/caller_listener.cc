// HTTP server for callers, on Boost.Beast.

#include "azuregw/forward/caller_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "azuregw/forward/transfer_limits.h"
#include "azuregw/net/endpoint.h"
#include "forward/exchange_base.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Idle timeout before the first configuration.
constexpr Milliseconds kDefaultIdleTimeout{10000};
// Idle timeout of connections after a stop signal.
constexpr Milliseconds kDrainIdleTimeout{2500};
// Delay after accept() failed, for example for lack of file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};

class CallerConnection;
// All open connections. Shared, since pending handlers may keep connections alive after the
// listener.
using ConnectionSet = std::set<CallerConnection*>;

// Connection of one caller. Owned by its pending handlers.
class CallerConnection final : public CallerResponder,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(std::shared_ptr<ConnectionSet> set, ForwardContext* context,
                   asio::io_context* io, tcp::socket socket);
  ~CallerConnection() override;

  void Start() { WaitForRequest(); }
  void Drain();
  bool Active() const { return m_exchange != nullptr; }

  // ---- CallerResponder ----
  void SendResponse(BufferedResponse reply) override;
  void BeginStream(const BufferedResponse& head, std::optional<uint64_t> length) override;
  void SendChunk(std::string_view bytes) override;
  void EndStream() override;
  void AbortStream() override { Abort(); }
  bool Backlogged() const override { return m_unsent_bytes >= kUnsentWindowBytes; }

 private:
  CallerLimits Limits() const {
    const auto& config = m_context->routes->Config();
    CallerLimits limits;
    if (config != nullptr) {
      return config->limits;
    }
    limits.idle_timeout = kDefaultIdleTimeout;
    return limits;
  }
  // Waits for the first byte of the next request.
  void WaitForRequest();
  void ReadRequestHeader();
  void ReadBody();
  // Returns whether a read succeeded; otherwise rejects the request or closes the connection.
  bool CheckRead(error_code error);
  // Passes the parsed request to an exchange.
  void Dispatch();
  // Sends an error response to an unreadable request; the connection is closed after it.
  void Reject(int status, ResultCode code, const std::string& reason);
  // Detects that the caller closes the connection while its request is served.
  void WatchForClose();
  void Write(std::string bytes);
  void WriteNext();
  void OnResponseWritten();
  // Closes the connection after `delay` unless the timer is replaced or reset.
  void CloseAfter(Milliseconds delay);
  // Closes with a TCP reset, so that a truncated response cannot look complete.
  void Abort();
  void Close();
  // Destroys the exchange in a later turn of the event loop.
  void ReleaseExchange();

  const std::shared_ptr<ConnectionSet> m_connection_set;
  ForwardContext* const m_context;
  asio::io_context* const m_io;
  tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::unique_ptr<Timer> m_timer;               // Read timeout; not set while a request is served.
  std::unique_ptr<ForwardExchange> m_exchange;  // Set while a request is served.
  bool m_keep_alive = false;
  bool m_head_request = false;
  bool m_chunked = false;              // The response that is sent in parts is chunked.
  bool m_response_queued = false;      // True once the end of the response is queued.
  bool m_waiting_for_request = false;  // True while no byte of the next request has arrived.
  bool m_draining = false;
  std::deque<std::string> m_unsent;  // Response bytes not yet passed to the socket.
  size_t m_unsent_bytes = 0;         // Bytes queued or being written.
  bool m_writing = false;
  bool m_closed = false;
  // Self-reference that keeps the connection alive while a request is served and the next one is
  // already received.
  std::shared_ptr<CallerConnection> m_pipelined;
};

class BeastListener final : public CallerListener {
 public:
  BeastListener(asio::io_context* io, ForwardContext* context)
      : m_io(io), m_context(context), m_acceptor(*io), m_retry(*io) {}

  Result<void> Listen() {
    return OpenAcceptor(m_context->settings.caller_address, "callers' address", &m_acceptor);
  }

  void Accept() override {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (error) {
        // For example out of file descriptors. New connections stay in the listen backlog.
        m_context->log->Write("accept_failed", {{"reason", error.message()}}, false);
        m_retry.expires_after(kAcceptRetryDelay);
        m_retry.async_wait([this](error_code cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
        return;
      }
      error_code ignored;  // The option only reduces latency.
      socket.set_option(tcp::no_delay(true), ignored);
      auto connection =
          std::make_shared<CallerConnection>(m_connections, m_context, m_io, std::move(socket));
      if (m_draining) {
        connection->Drain();
      }
      connection->Start();
      Accept();
    });
  }

  void Drain() override {
    m_draining = true;
    for (CallerConnection* connection : *m_connections) {
      connection->Drain();
    }
  }
  int Connections() const override { return static_cast<int>(m_connections->size()); }
  int ActiveExchanges() const override {
    return static_cast<int>(
        std::count_if(m_connections->begin(), m_connections->end(),
                      [](const CallerConnection* connection) { return connection->Active(); }));
  }

 private:
  asio::io_context* const m_io;
  ForwardContext* const m_context;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_retry;
  const std::shared_ptr<ConnectionSet> m_connections = std::make_shared<ConnectionSet>();
  bool m_draining = false;
};

CallerConnection::CallerConnection(std::shared_ptr<ConnectionSet> set, ForwardContext* context,
                                   asio::io_context* io, tcp::socket socket)
    : m_connection_set(std::move(set)), m_context(context), m_io(io), m_socket(std::move(socket)) {
  m_connection_set->insert(this);
}

CallerConnection::~CallerConnection() { m_connection_set->erase(this); }

void CallerConnection::CloseAfter(Milliseconds delay) {
  m_timer = m_context->loop->After(delay, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->Close();
    }
  });
}

void CallerConnection::Drain() {
  m_draining = true;
  if (m_waiting_for_request) {
    CloseAfter(kDrainIdleTimeout);
  }
}

void CallerConnection::WaitForRequest() {
  if (m_closed) {
    return;
  }
  const CallerLimits limits = Limits();
  m_parser.emplace();
  m_parser->header_limit(limits.max_header_bytes);
  m_parser->body_limit(limits.max_body_bytes);
  m_response_queued = false;
  if (m_buffer.size() > 0) {
    ReadRequestHeader();
    return;
  }
  m_waiting_for_request = true;
  CloseAfter(m_draining ? kDrainIdleTimeout : limits.idle_timeout);
  m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (error || self->m_closed) {
      self->Close();
      return;
    }
    self->ReadRequestHeader();
  });
}

void CallerConnection::ReadRequestHeader() {
  m_waiting_for_request = false;
  CloseAfter(Limits().header_timeout);
  http::async_read_header(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](error_code error, size_t) {
                            if (!self->m_closed && self->CheckRead(error)) {
                              self->ReadBody();
                            }
                          });
}

bool CallerConnection::CheckRead(error_code error) {
  if (!error) {
    return true;
  }
  if (error == http::error::header_limit) {
    Reject(431, ResultCode::kHeaderTooLarge, "the header is too large");
  } else if (error == http::error::body_limit) {
    Reject(413, ResultCode::kBodyTooLarge, "the body is too large");
  } else if (error == http::error::end_of_stream || error == http::error::partial_message ||
             error.category() != make_error_code(http::error::bad_value).category()) {
    Close();  // The caller or the network closed the connection.
  } else {
    Reject(400, ResultCode::kInvalidField, "malformed request: " + error.message());
  }
  return false;
}

void CallerConnection::ReadBody() {
  if (m_parser->get()[http::field::expect] == "100-continue") {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  http::async_read(m_socket, m_buffer, *m_parser,
                   [self = shared_from_this()](error_code error, size_t) {
                     if (!self->m_closed && self->CheckRead(error)) {
                       self->Dispatch();
                     }
                   });
}

void CallerConnection::Reject(int status, ResultCode code, const std::string& reason) {
  m_keep_alive = false;
  m_head_request = false;
  m_context->log->Write("connection_rejected", {{"status", status}, {"reason", reason}}, false);
  SendResponse(MakeErrorResponse(status, code, RunOutcome::kNotRun, reason, "",
                                 m_context->wire->RequestIdHeader(), std::nullopt));
}

void CallerConnection::Dispatch() {
  m_timer.reset();
  m_keep_alive = m_parser->keep_alive();
  m_head_request = m_parser->get().method() == http::verb::head;
  IncomingRequest request{m_parser->release(), m_context->loop->Now()};
  m_exchange = MakeExchange(m_context, std::move(request), this);
  WatchForClose();
  m_exchange->Start();
}

void CallerConnection::WatchForClose() {
  // The pending wait also keeps the connection alive while its request is served.
  m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->m_closed || self->m_response_queued || self->m_exchange == nullptr) {
      return;
    }
    if (error) {
      self->Close();
      return;
    }
    char byte = 0;
    const ssize_t count = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      self->WatchForClose();
    } else if (count <= 0) {
      self->Close();
    } else {
      // The next request arrived early. If the caller has closed the connection after sending it,
      // the read of that request detects the close.
      self->m_pipelined = self;
    }
  });
}

void CallerConnection::SendResponse(BufferedResponse reply) {
  http::response<http::string_body> message;
  static_cast<HttpFields&>(message) = std::move(reply.fields);
  message.result(static_cast<unsigned>(reply.status));
  message.version(11);
  message.keep_alive(m_keep_alive && !m_draining);
  message.body() = std::move(reply.body);
  const bool no_body = reply.status == 204 || reply.status == 304;
  if (no_body) {
    message.body().clear();
  } else {
    message.content_length(message.body().size());
  }
  m_keep_alive = m_keep_alive && !m_draining;
  m_response_queued = true;
  std::ostringstream head;
  head << message.base();
  std::string bytes = head.str();
  if (!m_head_request && !no_body) {
    bytes += message.body();
  }
  Write(std::move(bytes));
}

void CallerConnection::BeginStream(const BufferedResponse& head, std::optional<uint64_t> length) {
  http::response<http::empty_body> message;
  static_cast<HttpFields&>(message) = head.fields;
  message.result(static_cast<unsigned>(head.status));
  message.version(11);
  m_keep_alive = m_keep_alive && !m_draining;
  message.keep_alive(m_keep_alive);
  m_chunked = !length;
  if (length) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
  std::ostringstream text;
  text << message.base();
  Write(text.str());
}

void CallerConnection::SendChunk(std::string_view bytes) {
  Write(m_chunked ? beast::buffers_to_string(
                        http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())))
                  : std::string(bytes));
}

void CallerConnection::EndStream() {
  m_response_queued = true;
  Write(m_chunked ? beast::buffers_to_string(http::make_chunk_last()) : std::string());
}

void CallerConnection::Write(std::string bytes) {
  if (m_closed) {
    return;
  }
  m_unsent_bytes += bytes.size();
  if (m_unsent_bytes > kMaxUnsentBytes) {
    m_context->log->Write("caller_too_slow", {{"unsent_bytes", m_unsent_bytes}}, true);
    Abort();
    return;
  }
  m_unsent.push_back(std::move(bytes));
  if (!m_writing) {
    // Combines the bytes queued in the same turn of the event loop into one write.
    m_writing = true;
    asio::post(*m_io, [self = shared_from_this()] { self->WriteNext(); });
  }
}

void CallerConnection::WriteNext() {
  if (m_closed) {
    return;
  }
  if (m_unsent.empty()) {
    m_writing = false;
    if (m_response_queued) {
      OnResponseWritten();
    }
    return;
  }
  auto bytes = std::make_shared<std::string>(std::move(m_unsent.front()));
  m_unsent.pop_front();
  while (!m_unsent.empty()) {
    bytes->append(m_unsent.front());
    m_unsent.pop_front();
  }
  m_unsent_bytes = bytes->size();
  asio::async_write(m_socket, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes](error_code error, size_t) {
                      if (self->m_closed) {
                        return;
                      }
                      const bool backlogged = self->Backlogged();
                      self->m_unsent_bytes -= std::min(self->m_unsent_bytes, bytes->size());
                      if (error) {
                        self->Close();
                        return;
                      }
                      if (backlogged && self->m_exchange != nullptr && !self->Backlogged()) {
                        self->m_exchange->OnCallerReads();
                      }
                      self->WriteNext();
                    });
}

void CallerConnection::OnResponseWritten() {
  m_pipelined.reset();
  ReleaseExchange();
  if (!m_keep_alive) {
    error_code ignored;  // The caller may have closed first.
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    Close();
    return;
  }
  WaitForRequest();
}

void CallerConnection::ReleaseExchange() {
  if (m_exchange != nullptr) {
    // The exchange may be on the call stack, and its callbacks may call this connection until it is
    // destroyed.
    std::shared_ptr<ForwardExchange> exchange = std::move(m_exchange);
    asio::post(*m_io, [self = shared_from_this(), exchange]() mutable { exchange.reset(); });
  }
}

void CallerConnection::Abort() {
  error_code ignored;  // The connection is closed in any case.
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void CallerConnection::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_timer.reset();
  const std::shared_ptr<CallerConnection> keep = std::move(m_pipelined);
  error_code ignored;  // The connection is abandoned in any case.
  m_socket.close(ignored);
  ReleaseExchange();
}

}  // namespace

Result<std::unique_ptr<CallerListener>> MakeCallerListener(asio::io_context* io,
                                                           ForwardContext* context) {
  auto listener = std::make_unique<BeastListener>(io, context);
  const Result<void> listening = listener->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<CallerListener>(std::move(listener));
}

}  // namespace azuregw
