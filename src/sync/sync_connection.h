// Bidirectional connection between two instances for SyncMessage frames.

#ifndef AZUREGW_SYNC_SYNC_CONNECTION_H_
#define AZUREGW_SYNC_SYNC_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "azuregw/base/event_loop.h"
#include "azuregw/peer/frame_decoder.h"
#include "sync/sync_frames.h"

namespace azuregw {

// Sends and receives SyncMessages over a TCP socket. Closes itself on any error, so the owner polls
// Closed(). Runs on the event loop's thread; create it with std::make_shared.
class SyncConnection final : public std::enable_shared_from_this<SyncConnection> {
 public:
  // A connection without incoming messages for longer counts as dead; messages arrive several times
  // a second.
  static constexpr Milliseconds kSilenceTimeout{2000};

  SyncConnection(boost::asio::ip::tcp::socket socket, EventLoop* loop);

  // Sets the callback for each received message. Not called after Close().
  void SetHandler(std::function<void(SyncMessage)> handler) { m_handler = std::move(handler); }
  // Connects and then starts; closes the connection on failure.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Starts to read from a socket that is already connected.
  void Start();
  // Queues a frame. Closes the connection if the peer reads too slowly.
  void Send(SharedFrame frame);
  void Close();

  // Returns whether the connection is established.
  bool Open() const { return m_open && !m_closed; }
  bool Closed() const { return m_closed; }
  // Returns whether nothing has arrived for kSilenceTimeout.
  bool Silent() const { return m_loop->Now() - m_last_received > kSilenceTimeout; }

 private:
  void Read();
  void Write();

  boost::asio::ip::tcp::socket m_socket;
  EventLoop* const m_loop;
  std::function<void(SyncMessage)> m_handler;
  TimePoint m_last_received;
  FrameDecoder m_decoder;
  std::array<uint8_t, 4096> m_bytes;
  std::deque<SharedFrame> m_unsent;
  size_t m_frames_in_write = 0;  // Number of frames at the front of m_unsent being written.
  bool m_open = false;
  bool m_closed = false;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_CONNECTION_H_
