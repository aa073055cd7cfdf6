// Counts the instances that have a revision. No I/O.

#ifndef SRC_CLI_REVISION_COUNT_H_
#define SRC_CLI_REVISION_COUNT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cli/context.h"

namespace azuregw {

// Result of CountRevision().
struct RevisionCount {
  size_t instances = 0;              // Instances that were called.
  size_t have = 0;                   // Instances that have the revision or a later one.
  std::vector<std::string> missing;  // Other instances: "name (revision N)" or "name (no answer)".
};

// Counts the instances that have at least `revision`, from their responses to /admin/status. An
// invalid status document counts as revision 0.
RevisionCount CountRevision(const std::vector<AdminResponse>& responses, uint64_t revision);

}  // namespace azuregw

#endif  // SRC_CLI_REVISION_COUNT_H_
