// Status of an instance as JSON.

#include "serve/status_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace azuregw {

using nlohmann::json;

namespace {

json MembersToJson(const Snapshot& snapshot) {
  json members = json::array();
  for (const MemberView& member : snapshot.members) {
    members.push_back(json{{"name", member.name},
                           {"failure_domain", member.failure_domain},
                           {"peer_address", member.peer_address},
                           {"admin_address", member.admin_address},
                           {"revision", member.preset_revision},
                           {"leaving", member.leaving}});
  }
  return members;
}

json UpstreamsToJson(const Snapshot& snapshot) {
  json upstreams = json::array();
  if (snapshot.preset == nullptr) {
    return upstreams;
  }
  const auto add = [&](const std::string& name, const char* type, const std::string& address,
                       const std::string& domain) {
    upstreams.push_back(json{{"name", name},
                             {"type", type},
                             {"address", address},
                             {"failure_domain", domain},
                             {"leaving", snapshot.leaving_upstreams.count(name) != 0}});
  };
  for (const auto& [name, engine] : snapshot.preset->engines) {
    add(name, "engine", engine.address, engine.failure_domain);
  }
  for (const auto& [name, upstream] : snapshot.preset->service_upstreams) {
    add(name, "service", upstream.address, upstream.failure_domain);
  }
  return upstreams;
}

}  // namespace

json StatusToJson(const Snapshot& snapshot, const Readiness& readiness) {
  return json{{"instance", snapshot.self},
              {"failure_domain", snapshot.failure_domain},
              {"revision", snapshot.preset_revision},
              {"preset", snapshot.preset == nullptr ? "" : snapshot.preset->name},
              {"ready", readiness.ready},
              {"reason",
               {{"code", static_cast<int>(readiness.code)},
                {"name", ResultCodeName(readiness.code)},
                {"message", readiness.message}}},
              {"draining", snapshot.draining},
              {"members", MembersToJson(snapshot)},
              {"upstreams", UpstreamsToJson(snapshot)}};
}

}  // namespace azuregw
