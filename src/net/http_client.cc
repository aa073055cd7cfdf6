// HTTP client on Boost.Beast.

#include "azuregw/net/http_client.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/net/body_framing.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Per read of an answer's body; larger than most events and plain answers.
constexpr size_t kBodyBufferBytes = 8192;
// Limit of an answer's header block; engines send a few hundred bytes.
constexpr uint32_t kMaxResponseHeaderBytes = 32 * 1024;
// Fields of an answer's head. Engines send about ten; parsed, each takes a hundred bytes and more.
constexpr std::ptrdiff_t kMaxResponseFields = 512;
// Limit of the bytes that are buffered before they are parsed: a header block and one read of a
// body. Without it, a chunk header without end would fill the memory.
constexpr size_t kMaxBufferedBytes = kMaxResponseHeaderBytes + kBodyBufferBytes;
// Interim responses (1xx) that are skipped before the connection is given up.
constexpr int kMaxInterimResponses = 4;
// Status codes of final responses. Others are no answer in the protocol: the bytes after such a
// head could be taken for another response.
constexpr int kMinFinalStatus = 200;
constexpr int kMaxFinalStatus = 599;
constexpr int kMinInterimStatus = 100;
// An upgrade was not asked for.
constexpr int kSwitchingProtocols = 101;
// Bytes of answers to other requests that are skipped before the connection is given up.
constexpr size_t kMaxForeignBytes = size_t{256} << 10;
// Answers of other requests that are skipped before the connection is given up.
constexpr int kMaxForeignAnswers = 3;
// Kept connections per server. More than that are open only during bursts.
constexpr size_t kMaxIdlePerEndpoint = 16;
// Limit of the received bytes that wait in the system while a call is paused.
constexpr int kReceiveBufferBytes = 64 * 1024;
// Ends a connection whose peer acknowledges nothing, such as one behind a partition.
constexpr int kUserTimeoutMs = 3000;

struct Connection {
  explicit Connection(asio::io_context* loop) : socket(*loop) {}
  tcp::socket socket;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  TimePoint idle_since;
};

class BeastClient;

class BeastCall final : public ClientCall, public std::enable_shared_from_this<BeastCall> {
 public:
  BeastCall(BeastClient* client, asio::io_context* loop, const HttpCallOptions& options,
            HttpRequest request, HttpCallHandler* handler)
      : m_client(client),
        m_loop(loop),
        m_options(options),
        m_request(std::move(request)),
        m_is_head_request(m_request.method() == http::verb::head),
        m_handler(handler),
        m_timer(*loop) {}

  void Begin(std::unique_ptr<Connection> kept);
  void Cancel() override {
    m_handler = nullptr;
    m_timer.cancel();
    if (m_connection != nullptr) {
      error_code ignored;  // The connection is given up either way.
      m_connection->socket.close(ignored);
    }
  }
  void Pause() override { m_paused = true; }
  void Resume() override {
    m_paused = false;
    if (m_read_due && m_handler != nullptr) {
      m_read_due = false;
      // The caller may be inside a handler of this call.
      asio::post(*m_loop, [self = shared_from_this()] {
        if (self->m_handler != nullptr) {
          self->ReadBody();
        }
      });
    }
  }
  bool MaybeSent() const override { return m_writing; }
  bool Reused() const override { return m_reused; }

 private:
  void Connect();
  void Write();
  void ReadHead();
  void ReadBody();
  void Finish();
  void Fail(const std::string& reason, bool protocol_error);

  BeastClient* const m_client;
  asio::io_context* const m_loop;
  const HttpCallOptions m_options;
  HttpRequest m_request;
  const bool m_is_head_request;
  // Takes the place of `m_request` when the body is shared.
  std::optional<http::request<http::span_body<const char>>> m_shared_request;
  HttpCallHandler* m_handler;  // Null after the last event.
  asio::steady_timer m_timer;
  std::unique_ptr<Connection> m_connection;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  std::array<char, kBodyBufferBytes> m_body;
  bool m_writing = false;  // Bytes of the request may have left.
  bool m_reused = false;   // The connection was kept from another call.
  bool m_written = false;  // The whole request was written.
  bool m_refused = false;  // The host refused the connection.
  bool m_paused = false;
  bool m_read_due = false;  // ReadBody() was put off while the call was paused.
  bool m_foreign = false;   // The answer being read belongs to another request.
  int m_foreign_answers = 0;
  size_t m_foreign_bytes = 0;  // Body bytes of such answers.
  int m_interim_responses = 0;
};

class BeastClient final : public HttpClient {
 public:
  BeastClient(asio::io_context* loop, Milliseconds max_idle) : m_loop(loop), m_max_idle(max_idle) {}

  std::shared_ptr<ClientCall> Start(const HttpCallOptions& options, HttpRequest request,
                                    HttpCallHandler* handler) override {
    CloseExpired();
    auto call = std::make_shared<BeastCall>(this, m_loop, options, std::move(request), handler);
    call->Begin(TakeIdle(options));
    return call;
  }

  void CloseIdle() override { m_idle.clear(); }
  uint64_t ConnectionsOpened() const override { return m_opened; }
  size_t IdleConnections() const override {
    size_t count = 0;
    for (const auto& [endpoint, idle] : m_idle) {
      count += idle.size();
    }
    return count;
  }
  void CountConnection() { ++m_opened; }

  void Keep(const tcp::endpoint& endpoint, std::unique_ptr<Connection> connection) {
    auto& idle = m_idle[endpoint];
    connection->idle_since = SystemClock().Now();
    idle.push_back(std::move(connection));
    if (idle.size() > kMaxIdlePerEndpoint) {
      idle.pop_front();
    }
  }

 private:
  // Closes connections that were idle for too long, also those to addresses that are no longer
  // used. The oldest ones of an address come first.
  void CloseExpired() {
    const TimePoint now = SystemClock().Now();
    if (now - m_last_sweep < m_max_idle / 2) {
      return;
    }
    m_last_sweep = now;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
      auto& idle = entry->second;
      while (!idle.empty() && now - idle.front()->idle_since > m_max_idle) {
        idle.pop_front();
      }
      entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
  }

  std::unique_ptr<Connection> TakeIdle(const HttpCallOptions& options) {
    const auto found = m_idle.find(options.endpoint);
    if (found == m_idle.end()) {
      return nullptr;
    }
    const TimePoint now = SystemClock().Now();
    std::unique_ptr<Connection> result;
    while (!found->second.empty() && result == nullptr) {
      std::unique_ptr<Connection> candidate = std::move(found->second.back());
      found->second.pop_back();
      const bool fresh =
          options.max_idle.count() > 0 && now - candidate->idle_since <= options.max_idle;
      if (fresh && StillOpen(candidate.get())) {
        result = std::move(candidate);
      }
    }
    if (found->second.empty()) {
      m_idle.erase(found);
    }
    return result;
  }

  // Bytes that arrive while no request is waiting belong to no request of ours.
  static bool StillOpen(Connection* connection) {
    error_code error;
    char byte = 0;
    connection->socket.non_blocking(true, error);
    if (error) {
      return false;
    }
    connection->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  asio::io_context* const m_loop;
  const Milliseconds m_max_idle;
  TimePoint m_last_sweep;
  std::map<tcp::endpoint, std::deque<std::unique_ptr<Connection>>> m_idle;
  uint64_t m_opened = 0;
};

void BeastCall::Begin(std::unique_ptr<Connection> kept) {
  m_connection = std::move(kept);
  m_reused = m_connection != nullptr;
  auto self = shared_from_this();
  asio::post(*m_loop, [self] {
    if (self->m_handler == nullptr) {
      return;
    }
    if (self->m_connection != nullptr) {
      self->Write();
    } else {
      self->Connect();
    }
  });
}

void BeastCall::Connect() {
  m_connection = std::make_unique<Connection>(m_loop);
  m_client->CountConnection();
  auto self = shared_from_this();
  m_timer.expires_after(m_options.connect_timeout);
  m_timer.async_wait([self](error_code error) {
    if (!error && self->m_handler != nullptr && !self->m_writing) {
      self->Fail("no connection within the time limit", false);
    }
  });
  error_code ignored;  // Without the limit, a paused answer only takes more memory.
  m_connection->socket.open(tcp::v4(), ignored);
  m_connection->socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
                                  ignored);
  m_connection->socket.async_connect(m_options.endpoint, [self](error_code error) {
    if (self->m_handler == nullptr) {
      return;
    }
    self->m_timer.cancel();
    if (error) {
      self->m_refused = error == asio::error::connection_refused;
      self->Fail("connect: " + error.message(), false);
      return;
    }
    error_code ignored;  // Both options only improve latency and detection.
    auto& socket = self->m_connection->socket;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs),
        ignored);
    self->Write();
  });
}

void BeastCall::Write() {
  m_writing = true;
  // A server may answer before it has read everything, so the answer decides.
  const auto written = [self = shared_from_this()](error_code error, size_t) {
    self->m_written = !error;
  };
  if (m_options.shared_body != nullptr && !m_options.shared_body->empty()) {
    m_shared_request.emplace(std::move(m_request.base()));
    m_shared_request->body() = {m_options.shared_body->data(), m_options.shared_body->size()};
    http::async_write(m_connection->socket, *m_shared_request, written);
  } else {
    http::async_write(m_connection->socket, m_request, written);
  }
  ReadHead();
}

void BeastCall::ReadHead() {
  m_parser.emplace();
  m_parser->header_limit(kMaxResponseHeaderBytes);
  m_parser->body_limit(std::numeric_limits<uint64_t>::max());
  if (m_is_head_request) {
    m_parser->skip(true);
  }
  auto self = shared_from_this();
  http::async_read_header(
      m_connection->socket, m_connection->buffer, *m_parser, [self](error_code error, size_t) {
        if (self->m_handler == nullptr) {
          return;
        }
        if (error) {
          self->Fail(
              "answer: " + error.message(),
              error.category() == http::make_error_code(http::error::bad_line_ending).category() &&
                  error != http::error::end_of_stream);
          return;
        }
        const auto& head = self->m_parser->get();
        const std::string_view ambiguity = BodyLengthAmbiguity(head.base(), head.version());
        if (!ambiguity.empty()) {
          self->Fail("the head states " + std::string(ambiguity), true);
          return;
        }
        if (std::distance(head.begin(), head.end()) > kMaxResponseFields) {
          self->Fail("the head has too many fields", true);
          return;
        }
        const int status = static_cast<int>(head.result_int());
        if (status < kMinInterimStatus || status > kMaxFinalStatus ||
            status == kSwitchingProtocols) {
          self->Fail("the status " + std::to_string(status) + " is invalid", true);
          return;
        }
        if (status < kMinFinalStatus) {
          if (++self->m_interim_responses > kMaxInterimResponses) {
            self->Fail("too many interim responses", true);
            return;
          }
          self->ReadHead();
          return;
        }
        self->m_foreign = !self->m_handler->OnHead(self->m_parser->get().base());
        if (self->m_handler == nullptr) {
          return;  // Cancelled by the handler.
        }
        if (self->m_foreign && ++self->m_foreign_answers > kMaxForeignAnswers) {
          self->Fail("too many answers to other requests", true);
          return;
        }
        self->ReadBody();
      });
}

void BeastCall::ReadBody() {
  if (m_parser->is_done()) {
    Finish();
    return;
  }
  if (m_paused) {
    m_read_due = true;
    return;
  }
  auto& body = m_parser->get().body();
  body.data = m_body.data();
  body.size = m_body.size();
  auto self = shared_from_this();
  http::async_read_some(
      m_connection->socket, m_connection->buffer, *m_parser, [self](error_code error, size_t) {
        if (self->m_handler == nullptr) {
          return;
        }
        if (error == http::error::need_buffer) {
          error = {};
        }
        const size_t count = self->m_body.size() - self->m_parser->get().body().size;
        if (self->m_foreign) {
          self->m_foreign_bytes += count;
          if (self->m_foreign_bytes > kMaxForeignBytes) {
            self->Fail("an answer to another request is too large", true);
            return;
          }
        } else if (count > 0) {
          self->m_handler->OnBody(std::string_view(self->m_body.data(), count));
          if (self->m_handler == nullptr) {
            return;
          }
        }
        if (error) {
          self->Fail("body: " + error.message(), false);
          return;
        }
        self->ReadBody();
      });
}

void BeastCall::Finish() {
  if (m_foreign) {
    if (!m_parser->keep_alive()) {
      Fail("the connection ended after an answer to another request", true);
      return;
    }
    ReadHead();
    return;
  }
  HttpCallHandler* const handler = std::exchange(m_handler, nullptr);
  const bool reusable = m_written && m_parser->keep_alive() && m_connection->buffer.size() == 0;
  if (reusable) {
    m_client->Keep(m_options.endpoint, std::move(m_connection));
  } else {
    error_code ignored;  // Closing cannot fail in a way that matters here.
    m_connection->socket.close(ignored);
  }
  handler->OnDone();
}

void BeastCall::Fail(const std::string& reason, bool protocol_error) {
  HttpCallHandler* const handler = std::exchange(m_handler, nullptr);
  m_timer.cancel();
  error_code ignored;  // The connection is given up either way.
  m_connection->socket.close(ignored);
  handler->OnFailed(HttpFailure{m_writing, protocol_error, reason, m_refused});
}

}  // namespace

std::unique_ptr<HttpClient> MakeHttpClient(asio::io_context* loop, Milliseconds max_idle) {
  return std::make_unique<BeastClient>(loop, max_idle);
}

}  // namespace azuregw
