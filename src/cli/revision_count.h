// How many instances have a revision, from their status documents. No I/O.

#ifndef SRC_CLI_REVISION_COUNT_H_
#define SRC_CLI_REVISION_COUNT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cli/context.h"

namespace azuregw {

struct RevisionCount {
  size_t instances = 0;
  size_t have = 0;                   // Instances with at least the revision asked for.
  std::vector<std::string> missing;  // "name (revision N)" or "name (no answer)".
};

RevisionCount CountRevision(const std::vector<AdminAnswer>& answers, uint64_t revision);

}  // namespace azuregw

#endif  // SRC_CLI_REVISION_COUNT_H_
