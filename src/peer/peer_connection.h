// One TCP connection between two instances: handshake, framed reads, queued writes.
// Used on the transport's I/O thread only.

#ifndef AZUREGW_SRC_PEER_PEER_CONNECTION_H_
#define AZUREGW_SRC_PEER_PEER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/peer/frame_decoder.h"
#include "azuregw/peer/peer_handshake.h"

namespace azuregw {

class PeerConnection;

// What a connection reports to the transport that owns it.
class PeerConnectionOwner {
 public:
  virtual ~PeerConnectionOwner() = default;
  virtual void OnOpen(PeerConnection* connection) = 0;
  virtual void OnPayload(PeerConnection* connection, gsl::span<const uint8_t> payload) = 0;
  // The connection is closed; `code` is kOk when the other side or the transport ended it.
  virtual void OnClosed(PeerConnection* connection, const Error& error) = 0;
  virtual void CountSent(size_t bytes) = 0;
  virtual void CountReceived(size_t bytes) = 0;
  // Shared by all connections, because only one of them reads at a time.
  virtual std::vector<uint8_t>& ReadBuffer() = 0;
};

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  // An accepted socket.
  PeerConnection(PeerConnectionOwner* owner, Socket socket, PeerIdentity self,
                 const std::string& key);
  // A socket to be connected to `target`.
  PeerConnection(PeerConnectionOwner* owner, Socket socket, PeerIdentity self,
                 const std::string& key, const boost::asio::ip::tcp::endpoint& target);

  void Start();
  // Queues a frame; only while the connection is open.
  void Write(std::vector<uint8_t> frame);
  void Close(const Error& error);

  bool IsOpen() const { return !m_closed && m_handshake.IsDone(); }
  const PeerIdentity& Peer() const { return m_handshake.Peer(); }
  const std::string& Remote() const { return m_remote; }
  bool IsInbound() const { return m_inbound; }
  size_t QueuedBytes() const { return m_queued_bytes; }
  TimePoint StartedAt() const { return m_started_at; }
  TimePoint LastUsed() const { return m_last_used; }
  // Time since the pending write made progress; zero without one.
  Milliseconds WriteStall(TimePoint now) const;

 private:
  void OnConnected(const boost::system::error_code& error);
  void WaitForData();
  void OnReadable(const boost::system::error_code& error);
  bool HandleFrames();
  bool HandlePayload(const std::vector<uint8_t>& payload);
  bool HandleHello(const wire::Envelope& envelope);
  void SendHello(const wire::HelloT& hello);
  void QueueFrame(std::vector<uint8_t> frame);
  void StartWrite();
  void OnWritten(const boost::system::error_code& error, size_t bytes);

  PeerConnectionOwner* const m_owner;  // Outlives the connection while it is not closed.
  Socket m_socket;
  const bool m_inbound;
  const boost::asio::ip::tcp::endpoint m_target;  // Only for an outbound connection.
  std::string m_remote;
  PeerHandshake m_handshake;
  FrameDecoder m_decoder;
  std::deque<std::vector<uint8_t>> m_queue;  // The front m_writing frames are being written.
  size_t m_writing = 0;
  size_t m_queued_bytes = 0;  // Sum of the sizes in m_queue.
  bool m_closed = false;
  TimePoint m_started_at;
  TimePoint m_last_used;
  TimePoint m_write_started;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PEER_PEER_CONNECTION_H_
