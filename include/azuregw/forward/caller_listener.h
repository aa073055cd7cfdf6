// Accepts callers' connections and answers their requests one after the other.

#ifndef AZUREGW_FORWARD_CALLER_LISTENER_H_
#define AZUREGW_FORWARD_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "azuregw/base/result.h"
#include "azuregw/forward/exchange.h"

namespace azuregw {

class CallerListener {
 public:
  virtual ~CallerListener() = default;
  // Begins to accept connections; before, they wait in the system's queue.
  virtual void Accept() = 0;
  // Answers carry `Connection: close` from now on, and connections that are idle are closed after a
  // short time in which requests on their way still arrive.
  virtual void Drain() = 0;
  virtual int Connections() const = 0;
  virtual int ActiveExchanges() const = 0;
};

// Errors: kPortInUse. `io` and `context` must outlive the listener.
Result<std::unique_ptr<CallerListener>> MakeCallerListener(boost::asio::io_context* io,
                                                           ForwardContext* context);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_CALLER_LISTENER_H_
