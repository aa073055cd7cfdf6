// A small HTTP listener for short answers without side effects, such as readiness and metrics.

#ifndef AZUREGW_NET_STATUS_SERVER_H_
#define AZUREGW_NET_STATUS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/result.h"

namespace azuregw {

struct StatusReply {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

class StatusServer {
 public:
  virtual ~StatusServer() = default;
};

// `answer` gets the request's target and is called from the event loop. Errors: kPortInUse.
Result<std::unique_ptr<StatusServer>> MakeStatusServer(
    boost::asio::io_context* io, const boost::asio::ip::tcp::endpoint& endpoint,
    std::function<StatusReply(const std::string& target)> answer);

}  // namespace azuregw

#endif  // AZUREGW_NET_STATUS_SERVER_H_
