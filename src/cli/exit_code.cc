// Maps result codes to exit codes.

#include "azuregw/cli/exit_code.h"

namespace azuregw {

ExitCode ExitCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return ExitCode::kSuccess;
    case ResultCode::kUsage:
    case ResultCode::kSettingsUnreadable:
    case ResultCode::kSettingsInvalid:
    case ResultCode::kPresetInvalid:
      return ExitCode::kUsageOrInvalid;
    case ResultCode::kPresetConflict:
    case ResultCode::kKvConflict:
      return ExitCode::kConflict;
    case ResultCode::kPresetOutcomeUnknown:
    case ResultCode::kKvOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    case ResultCode::kKvUnavailable:
    case ResultCode::kListUnavailable:
    case ResultCode::kAdminUnreachable:
      return ExitCode::kUnreachable;
    case ResultCode::kWaitTimeout:
      return ExitCode::kWaitTimeout;
    case ResultCode::kPortInUse:
      return ExitCode::kPortInUse;
    default:
      return ExitCode::kFailure;
  }
}

}  // namespace azuregw
