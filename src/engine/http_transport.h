// One HTTP call to an upstream through cpprestsdk, with its errors as result codes.

#ifndef AZUREGW_SRC_ENGINE_HTTP_TRANSPORT_H_
#define AZUREGW_SRC_ENGINE_HTTP_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpCall {
  std::string method = "GET";
  std::string path;  // With query, starting with '/'.
  std::string content_type;
  std::string body;
  std::vector<HttpHeader> headers;
};

struct HttpReply {
  int status = 0;
  std::string content_type;
  std::string body;
  bool not_executed = false;  // Header "X-Not-Executed: true".
};

// Ends a call in progress; its connection is closed and its callback reports kUpstreamTimeout.
class HttpCallHandle {
 public:
  virtual ~HttpCallHandle() = default;
  virtual void Abandon() = 0;
};

// Calls to one address over pooled connections. Thread-safe; calls in progress keep it alive.
class HttpTransport {
 public:
  virtual ~HttpTransport() = default;
  // Calls `done` exactly once, on a library thread. Errors: kUpstreamUnreachable (kNotRun: no
  // connection was made), kUpstreamTimeout, kUpstreamProtocol (both kUnknown).
  virtual std::shared_ptr<HttpCallHandle> Call(HttpCall call,
                                               std::function<void(Result<HttpReply>)> done) = 0;
};

// `timeout` bounds each send and receive operation.
std::shared_ptr<HttpTransport> MakeHttpTransport(const std::string& address, Milliseconds timeout);

// Makes one call over a connection of its own. cpprestsdk repeats a request when the peer closed a
// pooled connection before it answered, and follows redirects; a call that must not be repeated
// therefore never uses a pooled connection.
std::shared_ptr<HttpCallHandle> CallOnce(const std::string& address, Milliseconds timeout,
                                         HttpCall call,
                                         std::function<void(Result<HttpReply>)> done);

}  // namespace azuregw

#endif  // AZUREGW_SRC_ENGINE_HTTP_TRANSPORT_H_
