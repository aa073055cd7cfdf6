// Result codes, errors and the Result type that all modules return in place of exceptions.
// The numbers are listed in docs/errors.md and never change their meaning.

#ifndef AZUREGW_BASE_RESULT_H_
#define AZUREGW_BASE_RESULT_H_

#include <boost/outcome/result.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace azuregw {

enum class ResultCode : int {
  kOk = 0,
  // 1xxx: the caller's request.
  kMalformedJson = 1001,
  kInvalidField = 1002,
  kUnknownModel = 1003,
  kUnauthorized = 1004,
  kBodyTooLarge = 1005,
  kUnknownService = 1006,
  kMissingIdempotencyKey = 1007,
  kIdempotencyKeyReused = 1008,
  kUnknownRoute = 1009,
  kInvalidResumeToken = 1010,
  kHeaderTooLarge = 1011,
  kMethodNotAllowed = 1012,
  kCallerTooSlow = 1013,
  // 2xxx: routing, admission and upstreams.
  kNoChain = 2001,
  kUpstreamUnreachable = 2002,
  kUpstreamTimeout = 2003,
  kUpstreamRefused = 2004,
  kUpstreamProtocol = 2005,
  kUpstreamLeaving = 2006,
  kStaleAttempt = 2007,
  kUnknownSequence = 2008,
  kOverloaded = 2009,
  kDeadlineUnreachable = 2010,
  kWorkspaceLimit = 2011,
  kDraining = 2012,
  kRetryBudgetExhausted = 2013,
  kCallerGone = 2014,
  kFetchFailed = 2015,
  kStaleFencing = 2016,
  kPromptQuarantined = 2017,
  // 3xxx: orders.
  kOrderInProgress = 3001,
  kOrderOutcomeUnknown = 3002,
  kOrderClaimUnavailable = 3003,
  kOrderClaimLost = 3004,
  // 4xxx: platform and control.
  kKvUnavailable = 4001,
  kKvConflict = 4002,
  kKvOutcomeUnknown = 4003,
  kKvNotFound = 4004,
  kLeaseLapsed = 4005,
  kNoPreset = 4006,
  kPresetConflict = 4007,
  kPresetOutcomeUnknown = 4008,
  kListUnavailable = 4009,
  kNotReady = 4010,
  kComponentFailed = 4011,
  kKvHistoryGone = 4012,
  // 5xxx: settings and presets.
  kSettingsUnreadable = 5001,
  kSettingsInvalid = 5002,
  kPresetInvalid = 5003,
  kPortInUse = 5004,
  // 6xxx: peer protocol.
  kFrameTooLarge = 6001,
  kFrameDamaged = 6002,
  kFrameForeign = 6003,
  kPeerUnauthenticated = 6004,
  kPeerUnreachable = 6005,
  kPeerTimeout = 6006,
  // 7xxx: command line.
  kUsage = 7001,
  kAdminUnreachable = 7002,
  kWaitTimeout = 7003,
  // 9xxx: faults of azuregw itself.
  kInternal = 9001,
};

// Whether the work behind a request took place. kNotRun is used only when it is proved.
enum class RunOutcome { kRun, kNotRun, kUnknown };

struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;
  RunOutcome outcome = RunOutcome::kUnknown;
  std::optional<std::chrono::milliseconds> retry_after;
};

// Result<T> holds a T or an Error; calling value() on an error terminates the process.
template <class T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

// Builds an Error whose request is known not to have run.
inline Error NotRun(ResultCode code, std::string message) {
  return Error{code, std::move(message), RunOutcome::kNotRun, std::nullopt};
}

// Builds an Error whose request may have run.
inline Error Unknown(ResultCode code, std::string message) {
  return Error{code, std::move(message), RunOutcome::kUnknown, std::nullopt};
}

// Returns the stable lower-case name of a code, such as "unknown_model".
std::string_view ResultCodeName(ResultCode code);

// Returns the HTTP status that a refusal with this code carries towards callers.
int HttpStatus(ResultCode code);

// Returns "run", "not_run" or "unknown".
std::string_view RunOutcomeName(RunOutcome outcome);

}  // namespace azuregw

#endif  // AZUREGW_BASE_RESULT_H_
