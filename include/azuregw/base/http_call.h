// Blocking HTTP calls with a proof of whether the request may have reached the server.

#ifndef AZUREGW_BASE_HTTP_CALL_H_
#define AZUREGW_BASE_HTTP_CALL_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

struct HttpCallRequest {
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> query;
  std::string body;
  std::string content_type = "application/json";
  std::string bearer;  // Empty: no Authorization header.
  // Whether a second run by the server would be harmless. Other calls use a connection of their
  // own: on a reused connection that the server closed, cpprestsdk sends the request again.
  bool repeatable = false;
  Milliseconds extra_time{0};  // Added to the caller's timeout, for long polling.
};

struct HttpCallReply {
  int status = 0;
  std::string body;
};

// Thread-safe. Callers must not be threads of the cpprestsdk thread pool.
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  // Errors: kUpstreamUnreachable with outcome kNotRun (no connection was made, so nothing was
  // sent), kUpstreamTimeout and kUpstreamProtocol with outcome kUnknown.
  virtual Result<HttpCallReply> Call(const HttpCallRequest& request) = 0;
};

// `address` is "IP:port". `timeout` limits the silence of the server during one call.
std::unique_ptr<HttpCaller> MakeHttpCaller(const std::string& address, Milliseconds timeout);

}  // namespace azuregw

#endif  // AZUREGW_BASE_HTTP_CALL_H_
