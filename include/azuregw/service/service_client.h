// Calls on plain services. The wire format is in docs/assumptions.md.

#ifndef AZUREGW_SERVICE_SERVICE_CLIENT_H_
#define AZUREGW_SERVICE_SERVICE_CLIENT_H_

#include <functional>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

struct ServiceRequest {
  std::string address;  // "IP:port"
  std::string method;
  std::string path;  // With query, starting with '/'.
  std::string content_type;
  std::string body;
  std::string request_id;
  std::string idempotency_key;  // Empty: none.
  Milliseconds timeout{30000};
};

struct ServiceReply {
  int status = 200;
  std::string content_type;
  std::string body;
};

struct ServiceLoad {
  int running = 0;
  int waiting = 0;
  int capacity = 1;
};

class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  // Sends the call once; never repeats it. The callback runs exactly once, on an unspecified
  // thread. Errors with outcome kNotRun: kUpstreamUnreachable (nothing was sent), kUpstreamRefused
  // (the upstream said that it did not run). Errors with outcome kUnknown: kUpstreamTimeout,
  // kUpstreamProtocol.
  virtual void Call(ServiceRequest request, std::function<void(Result<ServiceReply>)> done) = 0;
  virtual void FetchLoad(const std::string& address,
                         std::function<void(Result<ServiceLoad>)> done) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SERVICE_SERVICE_CLIENT_H_
