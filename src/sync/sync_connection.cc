// Reads and writes of one link.

#include "sync/sync_connection.h"

#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Of one frame: the list of upstreams needs some 150 bytes for each of a few thousand.
constexpr size_t kMaxFrameBytes = size_t{1} << 20;
// A link is given up when this many frames wait to be written: some two seconds of news.
constexpr size_t kMaxUnsentFrames = 12;

}  // namespace

SyncConnection::SyncConnection(asio::ip::tcp::socket socket, EventLoop* loop)
    : m_socket(std::move(socket)), m_loop(loop), m_heard(loop->Now()), m_decoder(kMaxFrameBytes) {}

void SyncConnection::Connect(const asio::ip::tcp::endpoint& endpoint) {
  m_socket.async_connect(endpoint, [self = shared_from_this()](error_code error) {
    if (error) {
      self->Close();
    } else if (!self->m_closed) {
      self->Begin();
    }
  });
}

void SyncConnection::Begin() {
  m_open = true;
  error_code ignored;  // The option only improves latency.
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
  if (m_writing == 0) {
    // Frames of the same turn leave in one call.
    m_writing = 1;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->Write(); });
  }
}

void SyncConnection::Close() {
  m_closed = true;
  error_code ignored;  // The connection is given up either way.
  m_socket.close(ignored);
}

void SyncConnection::Read() {
  m_socket.async_read_some(asio::buffer(m_bytes),
                           [self = shared_from_this()](error_code error, size_t count) {
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
                               std::optional<SyncMessage> message = DecodeSync(*payload.value());
                               if (!message) {
                                 self->Close();
                                 return;
                               }
                               self->m_heard = self->m_loop->Now();
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
  m_writing = m_unsent.size();
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
    self->m_unsent.erase(self->m_unsent.begin(),
                         self->m_unsent.begin() + static_cast<std::ptrdiff_t>(self->m_writing));
    self->m_writing = 0;
    if (!self->m_unsent.empty()) {
      self->Write();
    }
  });
}

}  // namespace azuregw
