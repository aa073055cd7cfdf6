// Reads and writes of an untrusted caller.

#include "tests/support/hostile_caller.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

namespace azuregw::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kMaxReceived = 4096;

class Connection final : public HostileCaller {
 public:
  Connection(asio::io_context* io, HostileRequest request)
      : m_state(std::make_shared<State>(io, std::move(request))) {}
  ~Connection() override { m_state->Close(); }

  void Open(const tcp::endpoint& endpoint) {
    m_state->socket.async_connect(endpoint, [state = m_state](error_code error) {
      if (error) {
        state->Close();
        return;
      }
      if (state->request.reads) {
        Read(state);
      }
      Write(state, state->request.head);
    });
  }
  bool Finished() const override { return m_state->finished || m_state->closed; }
  bool Closed() const override { return m_state->closed; }
  const std::string& Received() const override { return m_state->received; }

 private:
  struct State {
    State(asio::io_context* io, HostileRequest hostile)
        : socket(*io), request(std::move(hostile)), left(request.piece_bytes) {}
    void Close() {
      closed = true;
      error_code ignored;  // The connection is given up either way.
      socket.close(ignored);
    }
    tcp::socket socket;
    const HostileRequest request;
    uint64_t left;  // Bytes of the pieces that are not sent yet.
    std::string received;
    std::array<char, 4096> buffer;
    bool finished = false;
    bool closed = false;
  };

  static void Write(const std::shared_ptr<State>& state, std::string_view bytes) {
    asio::async_write(
        state->socket, asio::buffer(bytes.data(), bytes.size()), [state](error_code error, size_t) {
          if (error || state->closed) {
            state->Close();
            return;
          }
          const size_t next = std::min<uint64_t>(state->left, state->request.piece.size());
          state->left -= next;
          if (next == 0) {
            state->finished = true;
            return;
          }
          Write(state, std::string_view(state->request.piece).substr(0, next));
        });
  }
  static void Read(const std::shared_ptr<State>& state) {
    state->socket.async_read_some(asio::buffer(state->buffer),
                                  [state](error_code error, size_t count) {
                                    if (error || state->closed) {
                                      state->Close();
                                      return;
                                    }
                                    if (state->received.size() < kMaxReceived) {
                                      state->received.append(state->buffer.data(), count);
                                    }
                                    Read(state);
                                  });
  }

  const std::shared_ptr<State> m_state;
};

}  // namespace

std::unique_ptr<HostileCaller> MakeHostileCaller(asio::io_context* io,
                                                 const tcp::endpoint& endpoint,
                                                 HostileRequest request) {
  auto connection = std::make_unique<Connection>(io, std::move(request));
  connection->Open(endpoint);
  return connection;
}

}  // namespace azuregw::testing
