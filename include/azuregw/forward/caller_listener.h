// Accepts HTTP connections of callers and serves the requests of each connection in order.

#ifndef AZUREGW_FORWARD_CALLER_LISTENER_H_
#define AZUREGW_FORWARD_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "azuregw/base/result.h"
#include "azuregw/forward/exchange.h"

namespace azuregw {

// HTTP server for callers. Runs on one event loop; not thread-safe.
//
// Callers are not trusted. A ReceiveBudget bounds the memory and the connections of all of them
// together. A request that exceeds a limit gets 400, 408, 413, 431 or, for lack of memory, 503,
// which all mean that it has not run; where no head could be read, the connection is closed.
class CallerListener {
 public:
  virtual ~CallerListener() = default;
  // Starts accepting connections. Until then, they wait in the backlog of the listening socket.
  virtual void Accept() = 0;
  // Sends `Connection: close` with every later response. Idle connections are closed after a short
  // timeout, so that requests already in flight are still served.
  virtual void Drain() = 0;
  // Ends the response of each request that is being served, because the process exits shortly.
  virtual void EndRequests() = 0;
  // Returns the number of open connections.
  virtual int Connections() const = 0;
  // Returns the number of requests that are being served.
  virtual int ActiveExchanges() const = 0;
  // Returns the memory that callers' connections hold.
  virtual uint64_t HeldBytes() const = 0;
};

// Listens on `context->settings.caller_address`. Errors: kPortInUse. `io` and `context` must
// outlive the listener.
Result<std::unique_ptr<CallerListener>> MakeCallerListener(boost::asio::io_context* io,
                                                           ForwardContext* context);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_CALLER_LISTENER_H_
