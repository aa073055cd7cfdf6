// Exit codes of the azuregw binary; docs/operators.md lists them.

#ifndef AZUREGW_CLI_EXIT_CODE_H_
#define AZUREGW_CLI_EXIT_CODE_H_

#include "azuregw/base/result.h"

namespace azuregw {

// Exit code of the process. Scripts of operators depend on the values.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,         // Any other error.
  kUsageOrInvalid = 2,  // Invalid command line, settings or preset.
  kWorkCut = 3,         // A shutdown aborted requests or left outcomes of orders unwritten.
  kConflict = 4,        // Nothing was changed because of a concurrent change.
  kOutcomeUnknown = 5,  // The change may have taken effect.
  kUnreachable = 6,     // The platform or the instances do not respond.
  kWaitTimeout = 7,     // The condition waited for did not occur in time.
  kPortInUse = 8,       // A port to listen on is in use by another process.
};

// Returns the exit code for the result of a command.
ExitCode ExitCodeOf(ResultCode code);

}  // namespace azuregw

#endif  // AZUREGW_CLI_EXIT_CODE_H_
