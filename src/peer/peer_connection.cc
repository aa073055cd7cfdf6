// One TCP connection between two instances.

#include "peer/peer_connection.h"

#include <openssl/rand.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <utility>

namespace azuregw {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr size_t kMaxGatheredFrames = 32;
// Keeps one busy connection from delaying the others on the I/O thread.
constexpr int kMaxReadsPerWake = 16;

std::vector<uint8_t> FreshNonce() {
  std::vector<uint8_t> nonce(PeerHandshake::kNonceBytes);
  RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
  return nonce;
}

std::string EndpointText(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Error Unreachable(const error_code& error) {
  return NotRun(ResultCode::kPeerUnreachable, error.message());
}

Error EndedByPeer() { return NotRun(ResultCode::kOk, "closed by the other side"); }

}  // namespace

PeerConnection::PeerConnection(PeerConnectionOwner* owner, Socket socket, PeerIdentity self,
                               const std::string& key)
    : m_owner(owner),
      m_socket(std::move(socket)),
      m_inbound(true),
      m_handshake(PeerHandshake::Role::kAcceptor, std::move(self), key, FreshNonce()),
      m_decoder(kMaxHelloPayloadBytes) {
  error_code error;
  m_remote = EndpointText(m_socket.remote_endpoint(error));
}

PeerConnection::PeerConnection(PeerConnectionOwner* owner, Socket socket, PeerIdentity self,
                               const std::string& key, const asio::ip::tcp::endpoint& target)
    : m_owner(owner),
      m_socket(std::move(socket)),
      m_inbound(false),
      m_target(target),
      m_remote(EndpointText(target)),
      m_handshake(PeerHandshake::Role::kConnector, std::move(self), key, FreshNonce()),
      m_decoder(kMaxHelloPayloadBytes) {}

void PeerConnection::Start() {
  m_started_at = SystemClock().Now();
  m_last_used = m_started_at;
  if (m_inbound) {
    OnConnected(error_code());
    return;
  }
  m_socket.async_connect(
      m_target, [self = shared_from_this()](const error_code& error) { self->OnConnected(error); });
}

void PeerConnection::OnConnected(const error_code& error) {
  if (m_closed) {
    return;
  }
  if (error) {
    Close(Unreachable(error));
    return;
  }
  error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  if (!m_inbound) {
    SendHello(m_handshake.FirstHello());
  }
  WaitForData();
}

void PeerConnection::Write(std::vector<uint8_t> frame) {
  assert(IsOpen());
  m_last_used = SystemClock().Now();
  QueueFrame(std::move(frame));
}

void PeerConnection::Close(const Error& error) {
  if (m_closed) {
    return;
  }
  m_closed = true;
  error_code ignored;
  m_socket.close(ignored);
  m_owner->OnClosed(this, error);
}

Milliseconds PeerConnection::WriteStall(TimePoint now) const {
  if (m_writing == 0) {
    return Milliseconds(0);
  }
  return std::chrono::duration_cast<Milliseconds>(now - m_write_started);
}

void PeerConnection::WaitForData() {
  m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->OnReadable(error);
  });
}

void PeerConnection::OnReadable(const error_code& error) {
  if (m_closed) {
    return;
  }
  if (error) {
    Close(Unreachable(error));
    return;
  }
  std::vector<uint8_t>& buffer = m_owner->ReadBuffer();
  for (int i = 0; i < kMaxReadsPerWake; ++i) {
    error_code read_error;
    const size_t bytes = m_socket.read_some(asio::buffer(buffer), read_error);
    if (read_error == asio::error::would_block || read_error == asio::error::try_again) {
      break;
    }
    if (read_error) {
      Close(read_error == asio::error::eof ? EndedByPeer() : Unreachable(read_error));
      return;
    }
    m_owner->CountReceived(bytes);
    m_decoder.Push(gsl::span<const uint8_t>(buffer.data(), bytes));
    if (!HandleFrames()) {
      return;
    }
  }
  WaitForData();
}

// Returns false when the connection was closed.
bool PeerConnection::HandleFrames() {
  while (true) {
    auto next = m_decoder.Next();
    if (!next) {
      Close(next.error());
      return false;
    }
    if (!next.value()) {
      return true;
    }
    if (!HandlePayload(*next.value())) {
      return false;
    }
  }
}

bool PeerConnection::HandlePayload(const std::vector<uint8_t>& payload) {
  const Result<const wire::Envelope*> envelope = VerifyEnvelope(payload);
  if (!envelope) {
    Close(envelope.error());
    return false;
  }
  const bool is_hello = envelope.value()->body_type() == wire::Body::Hello;
  if (is_hello) {
    return HandleHello(*envelope.value());
  }
  if (!m_handshake.IsDone()) {
    Close(NotRun(ResultCode::kPeerUnauthenticated, "message before the handshake"));
    return false;
  }
  m_last_used = SystemClock().Now();
  m_owner->OnPayload(this, payload);
  return !m_closed;
}

bool PeerConnection::HandleHello(const wire::Envelope& envelope) {
  wire::HelloT hello;
  envelope.body_as_Hello()->UnPackTo(&hello);
  auto reply = m_handshake.OnHello(hello);
  if (!reply) {
    Close(reply.error());
    return false;
  }
  if (reply.value()) {
    SendHello(*reply.value());
  }
  if (m_handshake.IsDone()) {
    m_decoder.SetMaxPayload(kMaxFramePayloadBytes);
    m_owner->OnOpen(this);
  }
  return !m_closed;
}

void PeerConnection::SendHello(const wire::HelloT& hello) {
  QueueFrame(EncodeFrame(EncodeEnvelope(MakeEnvelope(hello))));
}

void PeerConnection::QueueFrame(std::vector<uint8_t> frame) {
  m_queued_bytes += frame.size();
  m_queue.push_back(std::move(frame));
  StartWrite();
}

void PeerConnection::StartWrite() {
  if (m_closed || m_writing > 0 || m_queue.empty()) {
    return;
  }
  m_writing = std::min(m_queue.size(), kMaxGatheredFrames);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_writing);
  for (size_t i = 0; i < m_writing; ++i) {
    buffers.emplace_back(m_queue[i].data(), m_queue[i].size());
  }
  m_write_started = SystemClock().Now();
  asio::async_write(m_socket, buffers,
                    [self = shared_from_this()](const error_code& error, size_t bytes) {
                      self->OnWritten(error, bytes);
                    });
}

void PeerConnection::OnWritten(const error_code& error, size_t bytes) {
  if (m_closed) {
    return;
  }
  if (error) {
    Close(Unreachable(error));
    return;
  }
  m_owner->CountSent(bytes);
  assert(bytes <= m_queued_bytes);
  m_queued_bytes -= bytes;
  m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(m_writing));
  m_writing = 0;
  StartWrite();
}

}  // namespace azuregw
