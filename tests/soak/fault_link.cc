// Relayed connections.

#include "tests/soak/fault_link.h"

#include <array>
#include <boost/asio/write.hpp>
#include <list>
#include <string>
#include <utility>

namespace azuregw::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Milliseconds kDelay{300};

class Pair;

struct LinkState {
  FaultLink::Trouble trouble = FaultLink::Trouble::kNone;
  EventLoop* loop = nullptr;
};

class Pair final : public std::enable_shared_from_this<Pair> {
 public:
  Pair(tcp::socket caller, asio::io_context* io, std::shared_ptr<LinkState> state)
      : m_caller(std::move(caller)), m_server(*io), m_state(std::move(state)) {}

  void Start(const tcp::endpoint& target) {
    m_server.async_connect(target, [self = shared_from_this()](error_code error) {
      if (error) {
        self->Close();
        return;
      }
      self->Pump(&self->m_caller, &self->m_server, &self->m_up, false);
      self->Pump(&self->m_server, &self->m_caller, &self->m_down, true);
    });
  }
  void Close() {
    error_code ignored;  // Both ends are given up.
    m_caller.close(ignored);
    m_server.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Pump(tcp::socket* from, tcp::socket* to, Buffer* buffer, bool answer) {
    from->async_read_some(asio::buffer(*buffer), [self = shared_from_this(), from, to, buffer,
                                                  answer](error_code error, size_t count) {
      if (error) {
        self->Close();
        return;
      }
      using Trouble = FaultLink::Trouble;
      const Trouble trouble = self->m_state->trouble;
      if (trouble == Trouble::kSilent || (trouble == Trouble::kSilentAnswer && answer)) {
        // Bytes on a silent connection are lost, and it stays silent.
        self->Pump(from, to, buffer, answer);
        return;
      }
      const auto pass = [self, from, to, buffer, answer, count] {
        asio::async_write(*to, asio::buffer(buffer->data(), count),
                          [self, from, to, buffer, answer](error_code failed, size_t) {
                            if (failed) {
                              self->Close();
                            } else {
                              self->Pump(from, to, buffer, answer);
                            }
                          });
      };
      if (trouble == Trouble::kDelay) {
        (answer ? self->m_down_timer : self->m_up_timer) = self->m_state->loop->After(kDelay, pass);
      } else {
        pass();
      }
    });
  }

  tcp::socket m_caller;
  tcp::socket m_server;
  const std::shared_ptr<LinkState> m_state;
  Buffer m_up;
  Buffer m_down;
  std::unique_ptr<Timer> m_up_timer;
  std::unique_ptr<Timer> m_down_timer;
};

class AsioFaultLink final : public FaultLink {
 public:
  AsioFaultLink(asio::io_context* io, EventLoop* loop, const tcp::endpoint& target)
      : m_io(io), m_target(target), m_acceptor(*io), m_state(std::make_shared<LinkState>()) {
    m_state->loop = loop;
  }
  ~AsioFaultLink() override {
    *m_alive = false;
    CloseAll();
  }

  bool Listen(const tcp::endpoint& address) {
    error_code error;
    m_acceptor.open(address.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(address, error);
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      Accept();
    }
    return !error;
  }

  void SetTrouble(Trouble trouble) override {
    // Connections that were silent once lost bytes, so they end with the trouble.
    const bool lost = m_state->trouble == Trouble::kSilent ||
                      m_state->trouble == Trouble::kSilentAnswer || trouble == Trouble::kReset;
    m_state->trouble = trouble;
    if (lost) {
      CloseAll();
    }
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this, alive = m_alive](error_code error, tcp::socket socket) {
      if (!*alive) {
        return;
      }
      if (!error && m_state->trouble != Trouble::kReset) {
        auto pair = std::make_shared<Pair>(std::move(socket), m_io, m_state);
        m_pairs.push_back(pair);
        pair->Start(m_target);
      }
      m_pairs.remove_if([](const std::weak_ptr<Pair>& pair) { return pair.expired(); });
      Accept();
    });
  }
  void CloseAll() {
    for (const std::weak_ptr<Pair>& weak : m_pairs) {
      if (const auto pair = weak.lock()) {
        pair->Close();
      }
    }
    m_pairs.clear();
  }

  asio::io_context* const m_io;
  const tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::shared_ptr<LinkState> m_state;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::list<std::weak_ptr<Pair>> m_pairs;
};

}  // namespace

std::unique_ptr<FaultLink> MakeFaultLink(asio::io_context* io, EventLoop* loop,
                                         const tcp::endpoint& listen, const tcp::endpoint& target) {
  auto link = std::make_unique<AsioFaultLink>(io, loop, target);
  if (!link->Listen(listen)) {
    return nullptr;
  }
  return link;
}

}  // namespace azuregw::soak
