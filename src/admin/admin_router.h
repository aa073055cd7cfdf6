// Finds the handler of a request and checks the operators' key. No I/O.

#ifndef SRC_ADMIN_ADMIN_ROUTER_H_
#define SRC_ADMIN_ADMIN_ROUTER_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "azuregw/admin/admin_server.h"

namespace azuregw {

// Path that needs no key.
constexpr std::string_view kReadyPath = "/readyz";

// Compares in a time that depends only on the length of `given`.
bool EqualSecrets(std::string_view expected, std::string_view given);

class AdminRouter {
 public:
  explicit AdminRouter(std::string key) : m_key(std::move(key)) {}

  struct Route {
    AdminServer::Handler handler;
    AdminServer::Execution execution = AdminServer::Execution::kInline;
  };

  void Register(const std::string& method, const std::string& path, Route route);

  // `authorization` is the value of the header, or empty. Errors: kUnauthorized, kUnknownRoute,
  // kMethodNotAllowed.
  Result<Route> Find(const std::string& method, const std::string& path,
                     std::string_view authorization) const;

 private:
  using Methods = std::map<std::string, Route>;

  bool IsAuthorized(std::string_view path, std::string_view authorization) const;
  // Null when no registered path covers `path`. The lock is held.
  const Methods* FindMethods(const std::string& path) const;

  const std::string m_key;
  mutable std::mutex m_mutex;
  std::map<std::string, Methods> m_paths;
};

}  // namespace azuregw

#endif  // SRC_ADMIN_ADMIN_ROUTER_H_
