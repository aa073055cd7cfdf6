// Asynchronous reads and writes of a SyncConnection.

#include "sync/sync_connection.h"

#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Fits an upstream list of several thousand entries of about 150 bytes.
constexpr size_t kMaxFrameBytes = size_t{1} << 20;
// The connection is closed when this many frames are queued: about 2 s of updates.
constexpr size_t kMaxUnsentFrames = 12;

}  // namespace

SyncConnection::SyncConnection(asio::ip::tcp::socket socket, EventLoop* loop)
    : m_socket(std::move(socket)),
      m_loop(loop),
      m_last_received(loop->Now()),
      m_decoder(kMaxFrameBytes) {}

void SyncConnection::Connect(const asio::ip::tcp::endpoint& endpoint) {
  m_socket.async_connect(endpoint, [self = shared_from_this()](error_code error) {
    if (error) {
      self->Close();
    } else if (!self->m_closed) {
      self->Start();
    }
  });
}

void SyncConnection::Start() {
  m_open = true;
  error_code ignored;  // The option only reduces latency.
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void SyncConnection::Send(SharedFrame frame) {
  if (!Open()) {
    return;
  }
  if (m_unsent.size() >= kMaxUnsentFrames) {
    Close();
    return;
  }
  m_unsent.push_back(std::move(frame));
  if (m_frames_in_write == 0) {
    // Frames queued in the same event loop iteration are written in one call.
    m_frames_in_write = 1;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->Write(); });
  }
}

void SyncConnection::Close() {
  m_closed = true;
  error_code ignored;  // The connection is abandoned either way.
  m_socket.close(ignored);
}

void SyncConnection::Read() {
  m_socket.async_read_some(
      asio::buffer(m_bytes), [self = shared_from_this()](error_code error, size_t count) {
        if (self->m_closed) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->m_decoder.Push({self->m_bytes.data(), count});
        while (!self->m_closed) {
          auto payload = self->m_decoder.Next();
          if (!payload) {
            self->Close();
            return;
          }
          if (!payload.value()) {
            break;
          }
          std::optional<SyncMessage> message = DecodeSyncMessage(*payload.value());
          if (!message) {
            self->Close();
            return;
          }
          self->m_last_received = self->m_loop->Now();
          self->m_handler(std::move(*message));
        }
        if (!self->m_closed) {
          self->Read();
        }
      });
}

void SyncConnection::Write() {
  if (m_closed) {
    return;
  }
  m_frames_in_write = m_unsent.size();
  std::vector<asio::const_buffer> buffers;
  for (const SharedFrame& frame : m_unsent) {
    buffers.emplace_back(frame->data(), frame->size());
  }
  asio::async_write(m_socket, buffers, [self = shared_from_this()](error_code error, size_t) {
    if (self->m_closed) {
      return;
    }
    if (error) {
      self->Close();
      return;
    }
    self->m_unsent.erase(
        self->m_unsent.begin(),
        self->m_unsent.begin() + static_cast<std::ptrdiff_t>(self->m_frames_in_write));
    self->m_frames_in_write = 0;
    if (!self->m_unsent.empty()) {
      self->Write();
    }
  });
}

}  // namespace azuregw
