// Sessions on Boost.Beast.

#include "tests/fakes/stand_in_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <set>
#include <utility>

namespace azuregw::fakes {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

class Session final : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, StandInHandler handler)
      : m_socket(std::move(socket)), m_handler(std::move(handler)) {}

  void Read() {
    m_request = {};
    http::async_read(m_socket, m_buffer, m_request,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error || self->m_closed) {
                         self->Close();
                         return;
                       }
                       self->Handle();
                     });
  }
  void Close() {
    m_closed = true;
    error_code ignored;  // The connection is given up either way.
    m_socket.close(ignored);
  }
  bool Closed() const { return m_closed; }

  // What follows the bytes.
  enum class After { kMore, kNextRequest, kClose };
  void Send(std::string bytes, After after) {
    if (m_closed) {
      return;
    }
    m_unsent.push_back({std::move(bytes), after});
    if (m_unsent.size() == 1) {
      Write();
    }
  }

 private:
  struct Part {
    std::string bytes;
    After after;
  };

  void Handle();
  void Write() {
    asio::async_write(m_socket, asio::buffer(m_unsent.front().bytes),
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error || self->m_closed) {
                          self->Close();
                          return;
                        }
                        const After after = self->m_unsent.front().after;
                        self->m_unsent.pop_front();
                        if (!self->m_unsent.empty()) {
                          self->Write();
                        } else if (after == After::kNextRequest) {
                          self->Read();
                        } else if (after == After::kClose) {
                          self->Close();
                        }
                      });
  }

  tcp::socket m_socket;
  const StandInHandler m_handler;
  beast::flat_buffer m_buffer;
  StandInRequest m_request;
  std::deque<Part> m_unsent;
  bool m_closed = false;
};

class SessionReply final : public StandInReply {
 public:
  explicit SessionReply(std::shared_ptr<Session> session) : m_session(std::move(session)) {}

  void Whole(int status, const StandInFields& fields, const std::string& body) override {
    m_session->Send(
        Head(status, fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        Session::After::kNextRequest);
  }
  void Begin(const StandInFields& fields, bool framed) override {
    m_framed = framed;
    m_session->Send(Head(200, fields) + (framed ? "Transfer-Encoding: chunked\r\n\r\n"
                                                : "Connection: close\r\n\r\n"),
                    Session::After::kMore);
  }
  void Chunk(const std::string& bytes) override {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    m_session->Send(m_framed ? size + bytes + "\r\n" : bytes, Session::After::kMore);
  }
  void End() override {
    if (m_framed) {
      m_session->Send("0\r\n\r\n", Session::After::kNextRequest);
    } else {
      m_session->Send("", Session::After::kClose);
    }
  }
  void Cut() override { m_session->Close(); }
  bool Open() const override { return !m_session->Closed(); }

 private:
  static std::string Head(int status, const StandInFields& fields) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : fields) {
      head += name + ": " + value + "\r\n";
    }
    return head;
  }

  const std::shared_ptr<Session> m_session;
  bool m_framed = true;
};

void Session::Handle() { m_handler(m_request, std::make_shared<SessionReply>(shared_from_this())); }

class AsioStandInServer final : public StandInServer {
 public:
  AsioStandInServer(asio::io_context* io, StandInHandler handler)
      : m_acceptor(*io), m_handler(std::move(handler)) {}
  ~AsioStandInServer() override { AsioStandInServer::Stop(); }

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
  void Stop() override {
    *m_alive = false;
    error_code ignored;  // It may be stopped already.
    m_acceptor.close(ignored);
    for (const std::weak_ptr<Session>& session : m_sessions) {
      if (const auto open = session.lock()) {
        open->Close();
      }
    }
    m_sessions.clear();
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this, alive = m_alive](error_code error, tcp::socket socket) {
      if (!*alive) {
        return;
      }
      if (!error) {
        auto session = std::make_shared<Session>(std::move(socket), m_handler);
        m_sessions.insert(session);
        session->Read();
      }
      Accept();
    });
  }

  tcp::acceptor m_acceptor;
  const StandInHandler m_handler;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::set<std::weak_ptr<Session>, std::owner_less<std::weak_ptr<Session>>> m_sessions;
};

}  // namespace

std::unique_ptr<StandInServer> MakeStandInServer(asio::io_context* io, const tcp::endpoint& address,
                                                 StandInHandler handler) {
  auto server = std::make_unique<AsioStandInServer>(io, std::move(handler));
  if (!server->Listen(address)) {
    return nullptr;
  }
  return server;
}

std::string PathOf(const StandInRequest& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const StandInRequest& request, const std::string& name) {
  const std::string target(request.target());
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const size_t end = target.find('&', begin + 1);
    const std::string part = target.substr(begin + 1, end - begin - 1);
    if (part.rfind(name + "=", 0) == 0) {
      std::string value;
      for (size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value.push_back(static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)));
          i += 2;
        } else {
          value.push_back(part[i]);
        }
      }
      return value;
    }
    begin = end;
  }
  return "";
}

}  // namespace azuregw::fakes
