// Counts the instances that have a revision.

#include "cli/revision_count.h"

#include <nlohmann/json.hpp>

namespace azuregw {

RevisionCount CountRevision(const std::vector<AdminResponse>& responses, uint64_t revision) {
  RevisionCount count;
  count.instances = responses.size();
  for (const AdminResponse& response : responses) {
    const std::string name =
        response.target.name.empty() ? response.target.address : response.target.name;
    if (!response.body) {
      count.missing.push_back(name + " (no answer)");
      continue;
    }
    const nlohmann::json status = nlohmann::json::parse(response.body.value(), nullptr, false);
    const bool valid = status.is_object() && status.contains("revision") &&
                       status["revision"].is_number_unsigned();
    const uint64_t instance_revision = valid ? status["revision"].get<uint64_t>() : 0;
    if (instance_revision >= revision) {
      ++count.have;
    } else {
      count.missing.push_back(name + " (revision " + std::to_string(instance_revision) + ")");
    }
  }
  return count;
}

}  // namespace azuregw
