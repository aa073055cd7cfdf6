// List of instances over HTTP.

#include "azuregw/discovery/http_instance_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "azuregw/base/http_call.h"

namespace azuregw {
namespace {

using nlohmann::json;

Error ListError(const std::string& detail) {
  return NotRun(ResultCode::kListUnavailable, "list of instances: " + detail);
}

std::string Text(const json& entry, const char* key) {
  const auto it = entry.find(key);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool DecodeEntry(const json& entry, ListedInstance* out) {
  if (!entry.is_object()) {
    return false;
  }
  const std::string role = Text(entry, "role");
  if (role == "azuregw") {
    out->role = ListedRole::kInstance;
  } else if (role == "engine") {
    out->role = ListedRole::kEngine;
  } else if (role == "service") {
    out->role = ListedRole::kService;
  } else {
    return false;
  }
  out->name = Text(entry, "name");
  out->address = Text(entry, "address");
  out->admin_address = Text(entry, "admin_address");
  out->failure_domain = Text(entry, "failure_domain");
  out->leaving = Text(entry, "state") == "leaving";
  return !out->name.empty();
}

class HttpInstanceList final : public InstanceList {
 public:
  HttpInstanceList(const std::string& address, Milliseconds call_timeout)
      : m_caller(MakeHttpCaller(address, call_timeout)) {}

  Result<std::vector<ListedInstance>> Fetch() override {
    HttpCallRequest request;
    request.method = "GET";
    request.path = "/v1/instances";
    request.repeatable = true;
    const Result<HttpCallReply> reply = m_caller->Call(request);
    if (!reply) {
      return ListError(reply.error().message);
    }
    if (reply.value().status != 200) {
      return ListError("status " + std::to_string(reply.value().status));
    }
    return DecodeInstanceList(reply.value().body);
  }

 private:
  std::unique_ptr<HttpCaller> m_caller;
};

}  // namespace

Result<std::vector<ListedInstance>> DecodeInstanceList(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object() || !document.contains("instances") ||
      !document["instances"].is_array()) {
    return ListError("damaged reply");
  }
  std::vector<ListedInstance> instances;
  for (const json& entry : document["instances"]) {
    ListedInstance instance;
    if (DecodeEntry(entry, &instance)) {
      instances.push_back(std::move(instance));
    }
  }
  return instances;
}

std::unique_ptr<InstanceList> MakeHttpInstanceList(const std::string& address,
                                                   Milliseconds call_timeout) {
  return std::make_unique<HttpInstanceList>(address, call_timeout);
}

}  // namespace azuregw
