// TCP transport: accepts and opens connections, and keeps one link per peer address.
//
// A link sends over the newest open connection with its peer, whichever side opened it. Frames that
// arrive while a connection is being opened wait in the link, bounded; they are dropped when the
// peer cannot be reached, and no new attempt is made until the back-off has passed.

#include "azuregw/peer/tcp_peer_transport.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <map>
#include <set>
#include <string_view>
#include <thread>
#include <utility>

#include "azuregw/logging/log.h"
#include "peer/peer_connection.h"

namespace azuregw {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kComponent = "peer";
constexpr size_t kReadBufferBytes = size_t{64} << 10;
constexpr Milliseconds kSweepInterval{500};
// Accepting fails at once, again and again, while the process has no free file descriptor.
constexpr Milliseconds kAcceptRetryDelay{100};

Result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size() || address.size() > colon + 6) {
    return NotRun(ResultCode::kPeerUnreachable, "not an address: " + address);
  }
  unsigned port = 0;
  for (size_t i = colon + 1; i < address.size(); ++i) {
    if (address[i] < '0' || address[i] > '9') {
      return NotRun(ResultCode::kPeerUnreachable, "not an address: " + address);
    }
    port = port * 10 + static_cast<unsigned>(address[i] - '0');
  }
  error_code error;
  const asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || port > 65535) {
    return NotRun(ResultCode::kPeerUnreachable, "not an address: " + address);
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

struct Link {
  std::shared_ptr<PeerConnection> connection;  // Null, being opened, or open.
  std::deque<std::vector<uint8_t>> waiting;    // Frames that wait for the connection to open.
  size_t waiting_bytes = 0;
  Milliseconds backoff{0};  // After a failure; zero after success.
  TimePoint next_attempt{};
};

class TcpPeerTransport final : public PeerTransport, public PeerConnectionOwner {
 public:
  explicit TcpPeerTransport(TcpPeerOptions options)
      : m_options(std::move(options)),
        m_acceptor(m_context),
        m_sweep_timer(m_context),
        m_accept_timer(m_context),
        m_read_buffer(kReadBufferBytes) {}
  ~TcpPeerTransport() override { Stop(); }

  void SetHandler(Handler handler) override { m_handler = std::move(handler); }
  Result<void> Start() override;
  void Stop() override;
  std::string ListenAddress() const override { return m_listen_address; }
  void Send(const std::string& address, std::vector<uint8_t> payload) override;
  uint64_t BytesSent() const override { return m_bytes_sent; }
  uint64_t BytesReceived() const override { return m_bytes_received; }

 private:
  void OnOpen(PeerConnection* connection) override;
  void OnPayload(PeerConnection* connection, gsl::span<const uint8_t> payload) override;
  void OnClosed(PeerConnection* connection, const Error& error) override;
  void CountSent(size_t bytes) override { m_bytes_sent += bytes; }
  void CountReceived(size_t bytes) override { m_bytes_received += bytes; }
  std::vector<uint8_t>& ReadBuffer() override { return m_read_buffer; }

  void Accept();
  void SendOnThread(const std::string& address, std::vector<uint8_t> frame);
  void Connect(const std::string& address, Link* link);
  void FailLink(const std::string& address, Link* link);
  void Sweep();
  void SweepConnection(PeerConnection* connection, TimePoint now);
  PeerIdentity Self() const { return PeerIdentity{m_options.name, m_listen_address}; }

  const TcpPeerOptions m_options;
  Handler m_handler;
  asio::io_context m_context{1};
  tcp::acceptor m_acceptor;
  asio::steady_timer m_sweep_timer;
  asio::steady_timer m_accept_timer;
  std::vector<uint8_t> m_read_buffer;
  std::string m_listen_address;
  std::thread m_thread;
  std::atomic<uint64_t> m_bytes_sent{0};
  std::atomic<uint64_t> m_bytes_received{0};
  std::atomic<size_t> m_posted_bytes{0};  // Of frames that the I/O thread has not taken yet.
  // I/O thread only.
  std::map<std::string, Link> m_links;  // By peer address.
  std::set<std::shared_ptr<PeerConnection>> m_connections;
  bool m_stopping = false;
};

Result<void> TcpPeerTransport::Start() {
  const Result<tcp::endpoint> endpoint = ParseEndpoint(m_options.listen_address);
  if (!endpoint) {
    return NotRun(ResultCode::kPortInUse, endpoint.error().message);
  }
  error_code error;
  m_acceptor.open(endpoint.value().protocol(), error);
  if (!error) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint.value(), error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return NotRun(ResultCode::kPortInUse, m_options.listen_address + ": " + error.message());
  }
  const tcp::endpoint bound = m_acceptor.local_endpoint(error);
  m_listen_address = bound.address().to_string() + ":" + std::to_string(bound.port());
  Accept();
  Sweep();
  m_thread = std::thread([this] { m_context.run(); });
  return boost::outcome_v2::success();
}

void TcpPeerTransport::Stop() {
  if (!m_thread.joinable()) {
    return;
  }
  asio::post(m_context, [this] {
    m_stopping = true;
    error_code ignored;
    m_acceptor.close(ignored);
    const std::set<std::shared_ptr<PeerConnection>> connections = m_connections;
    for (const std::shared_ptr<PeerConnection>& connection : connections) {
      connection->Close(NotRun(ResultCode::kOk, "transport stops"));
    }
    m_context.stop();
  });
  m_thread.join();
}

void TcpPeerTransport::Send(const std::string& address, std::vector<uint8_t> payload) {
  const size_t bytes = payload.size() + kFrameHeaderBytes;
  if (payload.empty() || payload.size() > kMaxFramePayloadBytes) {
    LogEvent(LogLevel::kWarning, kComponent, "peer_message_dropped", "", ResultCode::kFrameTooLarge,
             std::to_string(payload.size()) + " bytes for " + address);
    return;
  }
  if (m_posted_bytes.fetch_add(bytes) + bytes > m_options.max_total_queue_bytes) {
    m_posted_bytes -= bytes;
    return;
  }
  asio::post(m_context, [this, address, bytes, frame = EncodeFrame(payload)]() mutable {
    m_posted_bytes -= bytes;
    SendOnThread(address, std::move(frame));
  });
}

void TcpPeerTransport::SendOnThread(const std::string& address, std::vector<uint8_t> frame) {
  if (m_stopping) {
    return;
  }
  size_t total = 0;
  for (const std::shared_ptr<PeerConnection>& connection : m_connections) {
    total += connection->QueuedBytes();
  }
  if (total + frame.size() > m_options.max_total_queue_bytes) {
    return;
  }
  Link& link = m_links[address];
  if (link.connection && link.connection->IsOpen()) {
    if (link.connection->QueuedBytes() + frame.size() <= m_options.max_queue_bytes) {
      link.connection->Write(std::move(frame));
    }
    return;
  }
  if (!link.connection && SystemClock().Now() < link.next_attempt) {
    return;
  }
  if (link.waiting_bytes + frame.size() > m_options.max_queue_bytes) {
    return;
  }
  link.waiting_bytes += frame.size();
  link.waiting.push_back(std::move(frame));
  if (!link.connection) {
    Connect(address, &link);
  }
}

void TcpPeerTransport::Connect(const std::string& address, Link* link) {
  const Result<tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint || m_connections.size() >= m_options.max_connections) {
    FailLink(address, link);
    return;
  }
  link->connection = std::make_shared<PeerConnection>(this, tcp::socket(m_context), Self(),
                                                      m_options.key, endpoint.value());
  m_connections.insert(link->connection);
  link->connection->Start();
}

void TcpPeerTransport::FailLink(const std::string& address, Link* link) {
  link->connection.reset();
  link->waiting.clear();
  link->waiting_bytes = 0;
  link->backoff = link->backoff.count() == 0 ? m_options.first_backoff
                                             : std::min(link->backoff * 2, m_options.max_backoff);
  link->next_attempt = SystemClock().Now() + link->backoff;
}

void TcpPeerTransport::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (m_stopping || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      m_accept_timer.expires_after(kAcceptRetryDelay);
      m_accept_timer.async_wait([this](const error_code& timer_error) {
        if (!timer_error) {
          Accept();
        }
      });
      return;
    }
    if (m_connections.size() < m_options.max_connections) {
      auto connection =
          std::make_shared<PeerConnection>(this, std::move(socket), Self(), m_options.key);
      m_connections.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void TcpPeerTransport::OnOpen(PeerConnection* connection) {
  if (connection->Peer().name == m_options.name) {
    connection->Close(NotRun(ResultCode::kFrameForeign, "peer has the name of this instance"));
    return;
  }
  // The address that the peer claims is covered by its proof. A link opened under another address
  // of the same peer keeps its own connection.
  std::string address = connection->Peer().address;
  for (const auto& [link_address, link] : m_links) {
    if (link.connection.get() == connection) {
      address = link_address;
    }
  }
  Link& link = m_links[address];
  link.connection = connection->shared_from_this();
  link.backoff = Milliseconds(0);
  std::deque<std::vector<uint8_t>> waiting = std::move(link.waiting);
  link.waiting.clear();
  link.waiting_bytes = 0;
  for (std::vector<uint8_t>& frame : waiting) {
    if (connection->IsOpen()) {
      connection->Write(std::move(frame));
    }
  }
}

void TcpPeerTransport::OnPayload(PeerConnection* connection, gsl::span<const uint8_t> payload) {
  if (m_handler) {
    m_handler(connection->Peer().name, payload);
  }
}

void TcpPeerTransport::OnClosed(PeerConnection* connection, const Error& error) {
  if (error.code != ResultCode::kOk && !m_stopping) {
    LogEvent(LogLevel::kWarning, kComponent, "peer_connection_closed", "", error.code,
             connection->Remote() + ": " + error.message);
    if (m_options.on_fault) {
      m_options.on_fault(error.code, connection->Remote());
    }
  }
  for (auto& [address, link] : m_links) {
    if (link.connection.get() == connection) {
      if (connection->Peer().name.empty() || error.code != ResultCode::kOk) {
        FailLink(address, &link);
      } else {
        link.connection.reset();
      }
    }
  }
  m_connections.erase(connection->shared_from_this());
}

void TcpPeerTransport::Sweep() {
  const TimePoint now = SystemClock().Now();
  const std::set<std::shared_ptr<PeerConnection>> connections = m_connections;
  for (const std::shared_ptr<PeerConnection>& connection : connections) {
    SweepConnection(connection.get(), now);
  }
  // A link that is not in back-off and has no connection holds nothing worth keeping.
  for (auto it = m_links.begin(); it != m_links.end();) {
    const bool idle =
        !it->second.connection && now > it->second.next_attempt + m_options.max_backoff;
    it = idle ? m_links.erase(it) : std::next(it);
  }
  m_sweep_timer.expires_after(kSweepInterval);
  m_sweep_timer.async_wait([this](const error_code& error) {
    if (!error) {
      Sweep();
    }
  });
}

void TcpPeerTransport::SweepConnection(PeerConnection* connection, TimePoint now) {
  if (!connection->IsOpen()) {
    if (now - connection->StartedAt() > m_options.handshake_timeout) {
      connection->Close(NotRun(ResultCode::kPeerTimeout, "no handshake in time"));
    }
  } else if (connection->WriteStall(now) > m_options.write_timeout) {
    connection->Close(NotRun(ResultCode::kPeerTimeout, "write without progress"));
  } else if (now - connection->LastUsed() > m_options.idle_timeout) {
    connection->Close(NotRun(ResultCode::kOk, "idle"));
  }
}

}  // namespace

std::unique_ptr<PeerTransport> MakeTcpPeerTransport(TcpPeerOptions options) {
  return std::make_unique<TcpPeerTransport>(std::move(options));
}

}  // namespace azuregw
