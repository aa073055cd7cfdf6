// Exit codes of the azuregw binary; docs/operators.md lists them.

#ifndef AZUREGW_CLI_EXIT_CODE_H_
#define AZUREGW_CLI_EXIT_CODE_H_

#include "azuregw/base/result.h"

namespace azuregw {

enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,         // Any error without a code of its own.
  kUsageOrInvalid = 2,  // Wrong command line, settings or preset.
  kWorkCut = 3,         // A shutdown ended with work in progress.
  kConflict = 4,        // Not changed, because someone else changed it.
  kOutcomeUnknown = 5,  // The change may have taken effect.
  kUnreachable = 6,     // Platform or instances do not answer.
  kWaitTimeout = 7,
  kPortInUse = 8,
};

ExitCode ExitCodeOf(ResultCode code);

}  // namespace azuregw

#endif  // AZUREGW_CLI_EXIT_CODE_H_
