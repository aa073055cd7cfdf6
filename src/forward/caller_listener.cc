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
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/admission/receive_budget.h"
#include "azuregw/forward/transfer_limits.h"
#include "azuregw/net/body_framing.h"
#include "azuregw/net/endpoint.h"
#include "azuregw/net/head_memory.h"
#include "forward/exchange_base.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Phase = ReceiveBudget::Phase;

// Idle timeout before the first configuration.
constexpr Milliseconds kDefaultIdleTimeout{10000};
// Idle timeout of connections after a stop signal.
constexpr Milliseconds kDrainIdleTimeout{2500};
// Delay after accept() failed, for example for lack of file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};
// Bytes read at once, before and after the end of the head. Usual requests fit into the first.
constexpr size_t kHeadReadBytes = 2048;
constexpr size_t kBodyReadBytes = 16384;
// Buffers up to this size stay with an idle connection.
constexpr size_t kIdleBufferBytes = 4096;
// Limit of chunk headers, extensions and trailers, as a multiple of the body that they carry, or in
// bytes if that is more. Chunks of one byte need five bytes each.
constexpr uint64_t kMaxFramingRatio = 8;
constexpr uint64_t kMaxFramingBytes = uint64_t{64} << 10;
// Limit of the received bytes that wait in the system while a request is served.
constexpr int kReceiveBufferBytes = 64 * 1024;
// What a rejected caller still sends is read and discarded up to this size and time, since closing
// at once could destroy the response on its way.
constexpr size_t kMaxDiscardedBytes = size_t{256} << 10;
constexpr Milliseconds kDiscardTime{500};
// Interval of the check for callers that do not read their responses.
constexpr Milliseconds kSweepInterval{1000};
// Retry-After of requests that were rejected for lack of memory: memory is free again when the
// requests of other callers end, after some hundred ms.
constexpr Milliseconds kNoMemoryRetryAfter{500};

class CallerConnection;

// State that all connections share. Pending handlers may keep connections alive after the listener.
struct ListenerState {
  explicit ListenerState(ReceiveBudget::Limits limits) : budget(limits) {}
  ReceiveBudget budget;
  std::unordered_map<ReceiveBudget::ConnectionId, CallerConnection*> connections;
  ReceiveBudget::ConnectionId next_id = 0;
};

// Connection of one caller. Owned by its pending handlers.
class CallerConnection final : public CallerResponder,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(std::shared_ptr<ListenerState> state, ForwardContext* context,
                   asio::io_context* io, tcp::socket socket);
  ~CallerConnection() override;

  // Returns the connection that has to be closed in exchange, if any.
  std::optional<ReceiveBudget::ConnectionId> Register();
  void Start() { WaitForRequest(); }
  void Drain();
  bool Active() const { return m_exchange != nullptr; }
  // Ends the response of the request that is being served, if any.
  void EndRequest() {
    if (m_exchange != nullptr) {
      m_exchange->OnStopDeadline();
    }
  }
  // Ends the connection because a limit that all connections share is exceeded.
  void Evict(const char* limit);
  // Reports the unsent bytes of a write that was already pending at the last call.
  void ReportStalledWrite();

  // ---- CallerResponder ----
  void SendResponse(BufferedResponse reply) override;
  void BeginStream(const BufferedResponse& head, std::optional<uint64_t> length) override;
  void SendChunk(std::string_view bytes) override;
  void EndStream() override;
  void AbortStream() override { Abort(); }
  bool Backlogged() const override { return m_unsent_bytes >= kUnsentWindowBytes; }

 private:
  CallerLimits Limits() const;
  ReceiveBudget& Budget() { return m_state->budget; }
  // Waits for the first byte of the next request.
  void WaitForRequest();
  // Reads bytes of the request, or of what is discarded after a rejected one.
  void Read();
  void OnRead(error_code error, size_t count);
  // Parses the received bytes; dispatches the request if it is complete and reads on otherwise.
  void Parse();
  // Passes the received bytes to the parser; returns how many it took.
  size_t PutBytes(error_code* error);
  // Handles the end of the head while the body is incomplete.
  void OnHead();
  // Returns whether the head, if it is complete, tells where the body ends; otherwise rejects the
  // request.
  bool CheckBodyLength();
  // Returns whether the request is within the limits so far; otherwise rejects it.
  bool CheckFraming();
  // Rejects a request that the parser or its buffer cannot take.
  void OnParseError(error_code error);
  // Checks the progress of an incomplete request.
  void StartReceiveTimer(Milliseconds delay);
  void OnReceiveTimer();
  // Passes the parsed request to an exchange.
  void Dispatch();
  // Sends an error response to a request that is not served; the connection is closed after it.
  // `limit` names the limit that was exceeded, for the log and the metrics.
  void Reject(int status, ResultCode code, const char* limit, const std::string& reason,
              std::optional<Milliseconds> retry_after = std::nullopt);
  // Logs and counts that a limit was enforced.
  void RecordLimit(const char* limit, int status, const std::string& reason);
  // Reports the memory of the connection, and ends those that have to make room for it.
  void UpdateHeld();
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

  const std::shared_ptr<ListenerState> m_state;
  const ReceiveBudget::ConnectionId m_id;
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

  // ---- Request that is being received ----
  bool m_receiving = false;
  bool m_reading = false;      // A read is pending, which uses `m_buffer`.
  bool m_head_read = false;    // The head is complete.
  bool m_discarding = false;   // The request was rejected; the rest of it is discarded.
  uint64_t m_received = 0;     // Bytes of the request so far; of discarded ones after that.
  uint64_t m_head_bytes = 0;   // Bytes of the head.
  uint64_t m_head_memory = 0;  // Memory of the parsed head.
  // Limit of the head, and of a chunk header with its extensions or all trailers, which the parser
  // takes only as a whole.
  uint32_t m_max_head_bytes = 0;
  uint64_t m_progress = 0;      // `m_received` at the last progress.
  TimePoint m_progress_at;      // Last time at which kProgressBytes more were received.
  TimePoint m_receiving_since;  // Arrival of the first byte.

  std::deque<std::string> m_unsent;  // Response bytes not yet passed to the socket.
  size_t m_unsent_bytes = 0;         // Bytes queued or being written.
  uint64_t m_request_bytes = 0;      // Memory of the request that is being served.
  bool m_writing = false;
  uint64_t m_writes = 0;           // Writes begun.
  uint64_t m_pending_write = 0;    // Value of `m_writes` at the last ReportStalledWrite().
  bool m_unsent_reported = false;  // The budget knows of unsent bytes.
  bool m_closed = false;
  // Self-reference that keeps the connection alive while a request is served and the next one is
  // already received.
  std::shared_ptr<CallerConnection> m_pipelined;
};

class BeastListener final : public CallerListener {
 public:
  BeastListener(asio::io_context* io, ForwardContext* context)
      : m_io(io),
        m_context(context),
        m_acceptor(*io),
        m_retry(*io),
        m_state(std::make_shared<ListenerState>(ReceiveBudget::LimitsOf(
            context->settings.memory_bytes, context->settings.max_descriptors))) {}

  Result<void> Listen() {
    const Result<void> listening =
        OpenAcceptor(m_context->settings.caller_address, "callers' address", &m_acceptor);
    if (listening) {
      error_code ignored;  // Without the limit, unread bytes take more memory of the machine.
      m_acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
      Sweep();
    }
    return listening;
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
          std::make_shared<CallerConnection>(m_state, m_context, m_io, std::move(socket));
      if (const auto excess = connection->Register()) {
        Evict(*excess, "connections");
      }
      if (m_draining) {
        connection->Drain();
      }
      connection->Start();
      Accept();
    });
  }

  void Drain() override {
    m_draining = true;
    for (const auto& [id, connection] : m_state->connections) {
      connection->Drain();
    }
  }
  void EndRequests() override {
    // Ending a response may close its connection and others.
    std::vector<std::weak_ptr<CallerConnection>> open;
    for (const auto& [id, connection] : m_state->connections) {
      open.push_back(connection->weak_from_this());
    }
    for (const auto& entry : open) {
      if (const auto connection = entry.lock()) {
        connection->EndRequest();
      }
    }
  }
  int Connections() const override { return static_cast<int>(m_state->connections.size()); }
  int ActiveExchanges() const override {
    return static_cast<int>(
        std::count_if(m_state->connections.begin(), m_state->connections.end(),
                      [](const auto& entry) { return entry.second->Active(); }));
  }
  uint64_t HeldBytes() const override { return m_state->budget.HeldBytes(); }

 private:
  void Evict(ReceiveBudget::ConnectionId id, const char* limit) {
    const auto found = m_state->connections.find(id);
    if (found != m_state->connections.end()) {
      found->second->Evict(limit);
    }
  }

  // Ends connections whose callers do not read their responses.
  void Sweep() {
    m_sweep_timer = m_context->loop->After(kSweepInterval, [this] {
      std::vector<ReceiveBudget::ConnectionId> open;
      for (const auto& [id, connection] : m_state->connections) {
        open.push_back(id);
      }
      for (const auto id : open) {
        const auto found = m_state->connections.find(id);
        if (found != m_state->connections.end()) {
          found->second->ReportStalledWrite();  // May end others.
        }
      }
      const auto& config = m_context->routes->Config();
      const Milliseconds limit =
          config == nullptr ? kDefaultIdleTimeout : config->limits.idle_timeout;
      for (const auto id : m_state->budget.NotReading(limit, m_context->loop->Now())) {
        Evict(id, "reading_time");
      }
      Sweep();
    });
  }

  asio::io_context* const m_io;
  ForwardContext* const m_context;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_retry;
  const std::shared_ptr<ListenerState> m_state;
  std::unique_ptr<Timer> m_sweep_timer;
  bool m_draining = false;
};

CallerConnection::CallerConnection(std::shared_ptr<ListenerState> state, ForwardContext* context,
                                   asio::io_context* io, tcp::socket socket)
    : m_state(std::move(state)),
      m_id(m_state->next_id++),
      m_context(context),
      m_io(io),
      m_socket(std::move(socket)) {}

CallerConnection::~CallerConnection() {
  m_state->connections.erase(m_id);
  Budget().Remove(m_id);
}

std::optional<ReceiveBudget::ConnectionId> CallerConnection::Register() {
  m_state->connections[m_id] = this;
  return Budget().Add(m_id, m_context->loop->Now());
}

CallerLimits CallerConnection::Limits() const {
  const auto& config = m_context->routes->Config();
  CallerLimits limits;
  if (config != nullptr) {
    limits = config->limits;
  } else {
    limits.idle_timeout = kDefaultIdleTimeout;
  }
  limits.max_header_bytes = std::min(limits.max_header_bytes, kMaxRequestHeadBytes);
  // What a request takes beside its body: the head in the buffer and parsed, and one read.
  const uint64_t overhead =
      limits.max_header_bytes + MaxHeadMemoryBytes(limits.max_header_bytes) + kBodyReadBytes;
  limits.max_body_bytes =
      std::min(limits.max_body_bytes, m_state->budget.LargestRequest() - overhead);
  return limits;
}

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

void CallerConnection::Evict(const char* limit) {
  if (m_closed) {
    return;
  }
  if (m_receiving && m_head_read) {
    Reject(503, ResultCode::kOverloaded, limit, "the instance cannot hold more unfinished requests",
           kNoMemoryRetryAfter);
    return;
  }
  RecordLimit(limit, 0, m_receiving ? "the head is incomplete" : "the caller does not read or ask");
  if (m_exchange != nullptr) {
    Abort();
  } else {
    Close();
  }
}

void CallerConnection::RecordLimit(const char* limit, int status, const std::string& reason) {
  m_context->log->Write("caller_limited",
                        {{"limit", limit},
                         {"status", status},
                         {"reason", reason},
                         {"received_bytes", m_received},
                         {"unsent_bytes", m_unsent_bytes},
                         {"held_bytes_of_all", Budget().HeldBytes()},
                         {"connections", m_state->connections.size()}},
                        false);
  m_context->metrics->Add("azuregw_callers_limited_total", std::string("limit=\"") + limit + "\"",
                          1);
}

void CallerConnection::UpdateHeld() {
  if (m_closed) {
    return;
  }
  uint64_t held = m_buffer.capacity() + m_unsent_bytes;
  if (m_receiving && m_parser) {
    held += m_head_memory + m_parser->get().body().size();
  } else if (m_exchange != nullptr) {
    held += m_request_bytes;
  }
  m_unsent_reported = m_unsent_bytes > 0;
  for (const auto id : Budget().SetHeld(m_id, held, m_unsent_bytes)) {
    const auto found = m_state->connections.find(id);
    if (found != m_state->connections.end()) {
      found->second->Evict("memory");
    }
  }
}

void CallerConnection::ReportStalledWrite() {
  if (m_writing && m_writes == m_pending_write && !m_unsent_reported) {
    UpdateHeld();
  }
  m_pending_write = m_writes;
}

void CallerConnection::WaitForRequest() {
  if (m_closed) {
    return;
  }
  const CallerLimits limits = Limits();
  m_max_head_bytes = limits.max_header_bytes;
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(limits.max_header_bytes);
  m_parser->body_limit(limits.max_body_bytes);
  m_response_queued = false;
  m_receiving = false;
  m_head_read = false;
  m_head_bytes = 0;
  m_head_memory = 0;
  m_progress = 0;
  m_received = m_buffer.size();
  Budget().SetPhase(m_id, Phase::kIdle, m_context->loop->Now());
  if (m_buffer.size() > 0) {
    Parse();
    return;
  }
  if (m_buffer.capacity() > kIdleBufferBytes) {
    m_buffer = beast::flat_buffer();
  }
  m_buffer.max_size(m_max_head_bytes + kBodyReadBytes);
  UpdateHeld();
  m_waiting_for_request = true;
  CloseAfter(m_draining ? kDrainIdleTimeout : limits.idle_timeout);
  m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (error || self->m_closed) {
      self->Close();
      return;
    }
    self->m_waiting_for_request = false;
    self->Read();
  });
}

void CallerConnection::Read() {
  m_reading = true;
  const size_t most = m_head_read || m_discarding ? kBodyReadBytes : kHeadReadBytes;
  const size_t room = m_buffer.max_size() - m_buffer.size();
  m_socket.async_read_some(
      m_buffer.prepare(std::min(most, room)),
      [self = shared_from_this()](error_code error, size_t count) { self->OnRead(error, count); });
}

void CallerConnection::OnRead(error_code error, size_t count) {
  m_reading = false;
  if (m_closed) {
    return;
  }
  if (error) {
    Close();  // The caller or the network closed the connection.
    return;
  }
  m_received += count;
  if (m_discarding) {
    m_buffer.clear();
    if (m_received > kMaxDiscardedBytes) {
      Close();
    } else {
      Read();
    }
    return;
  }
  m_buffer.commit(count);
  Parse();
}

void CallerConnection::Parse() {
  const TimePoint now = m_context->loop->Now();
  const bool begins = !m_receiving;
  if (begins) {
    m_receiving = true;
    m_receiving_since = now;
    m_progress_at = now;
    Budget().SetPhase(m_id, Phase::kReceiving, now);
  }
  error_code error;
  while (!m_parser->is_done() && m_buffer.size() > 0 && !error) {
    m_buffer.consume(PutBytes(&error));
  }
  if (error && error != http::error::need_more) {
    OnParseError(error);
    return;
  }
  if (!CheckBodyLength()) {
    return;
  }
  if (m_parser->is_done()) {
    Dispatch();
    return;
  }
  if (!m_head_read && m_parser->is_header_done()) {
    OnHead();
  }
  Budget().OnReceived(m_id, m_received, now);
  if (m_received >= m_progress + ReceiveBudget::kProgressBytes) {
    m_progress = m_received;
    m_progress_at = now;
  }
  if (!CheckFraming()) {
    return;
  }
  if (begins) {
    StartReceiveTimer(Limits().header_timeout);
  }
  UpdateHeld();
  if (m_receiving && !m_closed) {  // The budget may have ended this connection.
    Read();
  }
}

size_t CallerConnection::PutBytes(error_code* error) {
  try {
    return m_parser->put(m_buffer.cdata(), *error);
  } catch (const std::length_error&) {
    // A field, such as a trailer, is longer than the library can store.
    *error = http::error::header_limit;
    return 0;
  }
}

void CallerConnection::OnHead() {
  m_head_read = true;
  const auto& request = m_parser->get();
  m_head_bytes = m_received - m_buffer.size() - request.body().size();
  m_head_memory = HeadMemoryBytes(request.base(), m_head_bytes);
  m_progress_at = m_context->loop->Now();
  if (m_parser->get()[http::field::expect] == "100-continue") {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

bool CallerConnection::CheckBodyLength() {
  if (m_head_read || !m_parser->is_header_done()) {
    return true;
  }
  const auto& head = m_parser->get();
  const std::string_view ambiguity = BodyLengthAmbiguity(head.base(), head.version());
  if (ambiguity.empty()) {
    return true;
  }
  Reject(400, ResultCode::kInvalidField, "body_length",
         "the head states " + std::string(ambiguity));
  return false;
}

bool CallerConnection::CheckFraming() {
  if (!m_head_read) {
    if (m_buffer.size() < m_buffer.max_size()) {
      return true;
    }
    OnParseError(http::error::header_limit);
    return false;
  }
  const uint64_t body = m_parser->get().body().size();
  const uint64_t framing = m_received - m_head_bytes - body - m_buffer.size();
  if (m_buffer.size() <= m_max_head_bytes &&
      framing <= std::max(kMaxFramingBytes, body * kMaxFramingRatio)) {
    return true;
  }
  Reject(400, ResultCode::kInvalidField, "framing",
         "the chunk headers, extensions or trailers are too large");
  return false;
}

void CallerConnection::OnParseError(error_code error) {
  if (error == http::error::header_limit) {
    Reject(431, ResultCode::kHeaderTooLarge, "head", "the header is too large");
  } else if (error == http::error::body_limit) {
    Reject(413, ResultCode::kBodyTooLarge, "body", "the body is too large");
  } else {
    Reject(400, ResultCode::kInvalidField, "syntax", "malformed request: " + error.message());
  }
}

void CallerConnection::StartReceiveTimer(Milliseconds delay) {
  m_timer = m_context->loop->After(delay, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->OnReceiveTimer();
    }
  });
}

// The head has to come within the header timeout. A body may take longer as long as it makes
// progress, up to the sum of both timeouts.
void CallerConnection::OnReceiveTimer() {
  if (!m_head_read) {
    RecordLimit("head_time", 0, "the head is incomplete");
    Close();
    return;
  }
  const CallerLimits limits = Limits();
  const TimePoint now = m_context->loop->Now();
  const TimePoint end = std::min(m_progress_at + limits.header_timeout,
                                 m_receiving_since + limits.header_timeout + limits.idle_timeout);
  if (now >= end) {
    Reject(408, ResultCode::kDeadlineUnreachable, "body_time", "the body does not arrive in time");
    return;
  }
  StartReceiveTimer(std::chrono::ceil<Milliseconds>(end - now));
}

void CallerConnection::Reject(int status, ResultCode code, const char* limit,
                              const std::string& reason, std::optional<Milliseconds> retry_after) {
  m_keep_alive = false;
  m_head_request = false;
  m_receiving = false;
  m_discarding = true;
  RecordLimit(limit, status, reason);
  m_parser.reset();
  if (!m_reading) {
    m_buffer = beast::flat_buffer();
    m_buffer.max_size(kBodyReadBytes);
  }
  m_received = 0;
  Budget().SetPhase(m_id, Phase::kIdle, m_context->loop->Now());
  UpdateHeld();
  CloseAfter(kDiscardTime);
  SendResponse(MakeErrorResponse(status, code, RunOutcome::kNotRun, reason, "",
                                 m_context->wire->RequestIdHeader(), retry_after));
  if (!m_reading) {
    Read();
  }
}

void CallerConnection::Dispatch() {
  m_timer.reset();
  m_receiving = false;
  m_keep_alive = m_parser->keep_alive();
  m_head_request = m_parser->get().method() == http::verb::head;
  // Trailers have become fields of the head. The message to an upstream has a copy of the fields.
  const auto& received = m_parser->get();
  const uint64_t wire_bytes = m_received - m_buffer.size();
  const uint64_t head = HeadMemoryBytes(received.base(), wire_bytes - received.body().size());
  m_request_bytes = 2 * head + received.body().size();
  const TimePoint now = m_context->loop->Now();
  IncomingRequest request{m_parser->release(), now};
  m_exchange = MakeExchange(m_context, std::move(request), this);
  Budget().SetPhase(m_id, Phase::kServing, now);
  UpdateHeld();
  if (m_exchange != nullptr) {  // The budget may have ended this connection.
    WatchForClose();
    m_exchange->Start();
  }
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
  if (m_head_request) {
    return;  // The response ends with its head.
  }
  Write(m_chunked ? beast::buffers_to_string(
                        http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())))
                  : std::string(bytes));
}

void CallerConnection::EndStream() {
  m_response_queued = true;
  const bool last_chunk = m_chunked && !m_head_request;
  Write(last_chunk ? beast::buffers_to_string(http::make_chunk_last()) : std::string());
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
  if (Backlogged()) {
    UpdateHeld();
    if (m_closed) {
      return;
    }
  }
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
  ++m_writes;
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
                      if (self->m_unsent_reported) {
                        self->Budget().OnSent(self->m_id, self->m_context->loop->Now());
                        self->UpdateHeld();
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
    if (!m_discarding) {
      Close();
    }
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
  m_state->connections.erase(m_id);
  Budget().Remove(m_id);
  m_timer.reset();
  const std::shared_ptr<CallerConnection> keep = std::move(m_pipelined);
  error_code ignored;  // The connection is abandoned in any case.
  m_socket.close(ignored);
  m_parser.reset();
  m_receiving = false;
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
