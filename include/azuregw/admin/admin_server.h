// HTTP interface for operators and metrics collectors, on a port of its own.
//
// Every request needs the operators' bearer key, but for GET /readyz, which load balancers call.

#ifndef AZUREGW_ADMIN_ADMIN_SERVER_H_
#define AZUREGW_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "azuregw/base/result.h"

namespace azuregw {

struct AdminRequest {
  std::string method;
  std::string path;  // Decoded, without query.
  std::map<std::string, std::string> query;
  std::string body;
};

struct AdminReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// The reply for an error, in the form of docs/design.md, section 12.
AdminReply MakeErrorReply(const Error& error);

class AdminServer {
 public:
  using Handler = std::function<AdminReply(const AdminRequest& request)>;
  enum class Execution {
    kInline,  // On a thread of the HTTP pool; must not block.
    kWorker,  // One at a time on a thread of the server; may make blocking calls.
  };

  virtual ~AdminServer() = default;
  // A path that ends with '/' covers all paths below it; the longest match wins. Thread-safe.
  virtual void Register(const std::string& method, const std::string& path, Handler handler,
                        Execution execution = Execution::kInline) = 0;
  // Errors: kPortInUse.
  virtual Result<void> Start() = 0;
  virtual void Stop() = 0;
};

// `address` is "IP:port" with a port above 0.
std::unique_ptr<AdminServer> MakeAdminServer(const std::string& address, std::string key);

}  // namespace azuregw

#endif  // AZUREGW_ADMIN_ADMIN_SERVER_H_
