// Asynchronous HTTP/1.1 client with kept connections, for one event loop.
//
// A call reports how far it got, so that its owner can tell a request that was never sent from one
// that may have run. The client never sends a request twice.

#ifndef AZUREGW_NET_HTTP_CLIENT_H_
#define AZUREGW_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "azuregw/base/clock.h"

namespace azuregw {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseHead = boost::beast::http::response_header<>;

struct HttpCallOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  // Connections that were idle for longer are not used; 0 opens a new one. A server may close an
  // idle connection while the request is on its way, which leaves its outcome unknown.
  Milliseconds max_idle{0};
  Milliseconds connect_timeout{1000};
  // Body of the request in place of request.body(), which then must be empty. Several calls share
  // it, so that a large request is held once. The request states its length.
  std::shared_ptr<const std::string> shared_body;
};

struct HttpFailure {
  // False proves that the server has received no byte of the request.
  bool maybe_sent = true;
  // Whether the server answered with bytes that are no valid answer.
  bool protocol_error = false;
  std::string reason;
  // Whether the host answered that nothing listens at the address.
  bool refused = false;
};

// Receives the events of one call, each from the event loop and never from within Start().
class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  // Returns whether this answer belongs to the call. An answer that does not is skipped, and the
  // next one on the connection is read.
  virtual bool OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  // The answer is complete. No event follows.
  virtual void OnDone() = 0;
  // The answer is missing or incomplete. No event follows.
  virtual void OnFailed(const HttpFailure& failure) = 0;
};

class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Closes the connection; the handler receives no further event and may be destroyed.
  virtual void Cancel() = 0;
  // Reads no more of the answer until Resume(), so that the server has to wait.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
  // Whether any byte of the request was handed to the network.
  virtual bool MaybeSent() const = 0;
  // Whether the connection has served another call before. Bytes that its server wrote too often
  // may then come in place of the answer.
  virtual bool Reused() const = 0;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  // `handler` must live until its last event or Cancel().
  virtual std::shared_ptr<ClientCall> Start(const HttpCallOptions& options, HttpRequest request,
                                            HttpCallHandler* handler) = 0;
  // Closes all kept connections.
  virtual void CloseIdle() = 0;
  // Connections opened since the start.
  virtual uint64_t ConnectionsOpened() const = 0;
  // Kept connections that no call uses.
  virtual size_t IdleConnections() const = 0;
};

// Longest idle time of a kept connection; calls reuse none that is older.
constexpr Milliseconds kMaxKeptIdle{10000};

// Connections that were idle for longer than `max_idle` are closed when a later call starts.
std::unique_ptr<HttpClient> MakeHttpClient(boost::asio::io_context* loop,
                                           Milliseconds max_idle = kMaxKeptIdle);

}  // namespace azuregw

#endif  // AZUREGW_NET_HTTP_CLIENT_H_
