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

void AdminRouter::Register(const std::string& method, const std::string& path, Route route) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_paths[path][method] = std::move(route);
}

bool AdminRouter::IsAuthorized(std::string_view path, std::string_view authorization) const {
  constexpr std::string_view kScheme = "Bearer ";
  if (path == kReadyPath) {
    return true;
  }
  return authorization.substr(0, kScheme.size()) == kScheme &&
         EqualSecrets(m_key, authorization.substr(kScheme.size()));
}

const AdminRouter::Methods* AdminRouter::FindMethods(const std::string& path) const {
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

Result<AdminRouter::Route> AdminRouter::Find(const std::string& method, const std::string& path,
                                             std::string_view authorization) const {
  if (!IsAuthorized(path, authorization)) {
    return NotRun(ResultCode::kUnauthorized, "expected the operators' bearer key");
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Methods* methods = FindMethods(path);
  if (methods == nullptr) {
    return NotRun(ResultCode::kUnknownRoute, "no such path");
  }
  const auto found = methods->find(method);
  if (found == methods->end()) {
    return NotRun(ResultCode::kMethodNotAllowed, "no such method on this path");
  }
  return found->second;
}

}  // namespace azuregw
