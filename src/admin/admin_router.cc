// Dispatch of operators' requests.

#include "admin/admin_router.h"

#include <nlohmann/json.hpp>

namespace azuregw {

AdminReply MakeErrorReply(const Error& error) {
  AdminReply reply;
  reply.status = HttpStatus(error.code);
  nlohmann::json body = {{"error",
                          {{"code", static_cast<int>(error.code)},
                           {"name", ResultCodeName(error.code)},
                           {"message", error.message},
                           {"outcome", RunOutcomeName(error.outcome)}}}};
  if (error.retry_after) {
    body["error"]["retry_after_ms"] = error.retry_after->count();
  }
  reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

bool EqualSecrets(std::string_view expected, std::string_view given) {
  unsigned difference = expected.size() == given.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const char reference = expected.empty() ? '\0' : expected[i % expected.size()];
    difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(reference);
  }
  return difference == 0 && !expected.empty();
}

void AdminRouter::Register(const std::string& method, const std::string& path,
                           AdminServer::Handler handler) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_paths[path][method] = std::move(handler);
}

bool AdminRouter::IsAuthorized(std::string_view path, std::string_view authorization) const {
  constexpr std::string_view kScheme = "Bearer ";
  if (path == kReadyPath) {
    return true;
  }
  return authorization.substr(0, kScheme.size()) == kScheme &&
         EqualSecrets(m_key, authorization.substr(kScheme.size()));
}

const AdminRouter::Methods* AdminRouter::Find(const std::string& path) const {
  const Methods* best = nullptr;
  size_t best_length = 0;
  for (const auto& [registered, methods] : m_paths) {
    const bool covers =
        registered.back() == '/' && path.compare(0, registered.size(), registered) == 0;
    if ((registered == path || covers) && registered.size() >= best_length) {
      best = &methods;
      best_length = registered.size();
    }
  }
  return best;
}

AdminReply AdminRouter::Handle(const AdminRequest& request, std::string_view authorization) const {
  if (!IsAuthorized(request.path, authorization)) {
    return MakeErrorReply(NotRun(ResultCode::kUnauthorized, "expected the operators' bearer key"));
  }
  AdminServer::Handler handler;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Methods* methods = Find(request.path);
    if (methods == nullptr) {
      return MakeErrorReply(NotRun(ResultCode::kUnknownRoute, "no such path"));
    }
    const auto found = methods->find(request.method);
    if (found == methods->end()) {
      return MakeErrorReply(NotRun(ResultCode::kMethodNotAllowed, "no such method on this path"));
    }
    handler = found->second;
  }
  return handler(request);
}

}  // namespace azuregw
