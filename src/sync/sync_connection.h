// A connection to another instance that carries frames in both directions.

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

class SyncConnection final : public std::enable_shared_from_this<SyncConnection> {
 public:
  // A link on which nothing arrives for longer is of no use; frames come several times a second.
  static constexpr Milliseconds kSilence{2000};

  SyncConnection(boost::asio::ip::tcp::socket socket, EventLoop* loop);

  // The handler is called for each message until the link is closed.
  void SetHandler(std::function<void(SyncMessage)> handler) { m_handler = std::move(handler); }
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // For a socket that is connected.
  void Begin();
  // Drops the link when its peer reads too slowly.
  void Send(SharedFrame frame);
  void Close();

  bool Open() const { return m_open && !m_closed; }
  bool Closed() const { return m_closed; }
  bool Silent() const { return m_loop->Now() - m_heard > kSilence; }

 private:
  void Read();
  void Write();

  boost::asio::ip::tcp::socket m_socket;
  EventLoop* const m_loop;
  std::function<void(SyncMessage)> m_handler;
  TimePoint m_heard;
  FrameDecoder m_decoder;
  std::array<uint8_t, 4096> m_bytes;
  std::deque<SharedFrame> m_unsent;
  size_t m_writing = 0;  // Frames at the front of m_unsent that are being written.
  bool m_open = false;
  bool m_closed = false;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_CONNECTION_H_
