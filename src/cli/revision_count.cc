// Revision per instance.

#include "cli/revision_count.h"

#include <nlohmann/json.hpp>

namespace azuregw {

RevisionCount CountRevision(const std::vector<AdminAnswer>& answers, uint64_t revision) {
  RevisionCount count;
  count.instances = answers.size();
  for (const AdminAnswer& answer : answers) {
    const std::string name =
        answer.target.name.empty() ? answer.target.address : answer.target.name;
    if (!answer.body) {
      count.missing.push_back(name + " (no answer)");
      continue;
    }
    const nlohmann::json status = nlohmann::json::parse(answer.body.value(), nullptr, false);
    const bool valid = status.is_object() && status.contains("revision") &&
                       status["revision"].is_number_unsigned();
    const uint64_t found = valid ? status["revision"].get<uint64_t>() : 0;
    if (found >= revision) {
      ++count.have;
    } else {
      count.missing.push_back(name + " (revision " + std::to_string(found) + ")");
    }
  }
  return count;
}

}  // namespace azuregw
