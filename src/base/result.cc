// Names and HTTP statuses of the result codes.

#include "azuregw/base/result.h"

namespace azuregw {
namespace {

struct CodeEntry {
  ResultCode code;
  std::string_view name;
  int http_status;
};

constexpr CodeEntry kCodes[] = {
    {ResultCode::kOk, "ok", 200},
    {ResultCode::kMalformedJson, "malformed_json", 400},
    {ResultCode::kInvalidField, "invalid_field", 400},
    {ResultCode::kUnknownModel, "unknown_model", 404},
    {ResultCode::kUnauthorized, "unauthorized", 401},
    {ResultCode::kBodyTooLarge, "body_too_large", 413},
    {ResultCode::kUnknownService, "unknown_service", 404},
    {ResultCode::kMissingIdempotencyKey, "missing_idempotency_key", 400},
    {ResultCode::kIdempotencyKeyReused, "idempotency_key_reused", 422},
    {ResultCode::kUnknownRoute, "unknown_route", 404},
    {ResultCode::kInvalidResumeToken, "invalid_resume_token", 400},
    {ResultCode::kHeaderTooLarge, "header_too_large", 431},
    {ResultCode::kMethodNotAllowed, "method_not_allowed", 405},
    {ResultCode::kCallerTooSlow, "caller_too_slow", 408},
    {ResultCode::kNoChain, "no_chain", 503},
    {ResultCode::kUpstreamUnreachable, "upstream_unreachable", 502},
    {ResultCode::kUpstreamTimeout, "upstream_timeout", 504},
    {ResultCode::kUpstreamRefused, "upstream_refused", 503},
    {ResultCode::kUpstreamProtocol, "upstream_protocol", 502},
    {ResultCode::kUpstreamLeaving, "upstream_leaving", 503},
    {ResultCode::kStaleAttempt, "stale_attempt", 409},
    {ResultCode::kUnknownSequence, "unknown_sequence", 404},
    {ResultCode::kOverloaded, "overloaded", 503},
    {ResultCode::kDeadlineUnreachable, "deadline_unreachable", 503},
    {ResultCode::kWorkspaceLimit, "workspace_limit", 429},
    {ResultCode::kDraining, "draining", 503},
    {ResultCode::kRetryBudgetExhausted, "retry_budget_exhausted", 503},
    {ResultCode::kCallerGone, "caller_gone", 499},
    {ResultCode::kFetchFailed, "fetch_failed", 502},
    {ResultCode::kStaleFencing, "stale_fencing", 409},
    {ResultCode::kPromptQuarantined, "prompt_quarantined", 503},
    {ResultCode::kOrderInProgress, "order_in_progress", 409},
    {ResultCode::kOrderOutcomeUnknown, "order_outcome_unknown", 409},
    {ResultCode::kOrderClaimUnavailable, "order_claim_unavailable", 503},
    {ResultCode::kOrderClaimLost, "order_claim_lost", 409},
    {ResultCode::kKvUnavailable, "kv_unavailable", 503},
    {ResultCode::kKvConflict, "kv_conflict", 409},
    {ResultCode::kKvOutcomeUnknown, "kv_outcome_unknown", 503},
    {ResultCode::kKvNotFound, "kv_not_found", 404},
    {ResultCode::kLeaseLapsed, "lease_lapsed", 409},
    {ResultCode::kNoPreset, "no_preset", 503},
    {ResultCode::kPresetConflict, "preset_conflict", 409},
    {ResultCode::kPresetOutcomeUnknown, "preset_outcome_unknown", 503},
    {ResultCode::kListUnavailable, "list_unavailable", 503},
    {ResultCode::kNotReady, "not_ready", 503},
    {ResultCode::kComponentFailed, "component_failed", 503},
    {ResultCode::kKvHistoryGone, "kv_history_gone", 503},
    {ResultCode::kSettingsUnreadable, "settings_unreadable", 500},
    {ResultCode::kSettingsInvalid, "settings_invalid", 500},
    {ResultCode::kPresetInvalid, "preset_invalid", 422},
    {ResultCode::kPortInUse, "port_in_use", 500},
    {ResultCode::kFrameTooLarge, "frame_too_large", 500},
    {ResultCode::kFrameDamaged, "frame_damaged", 500},
    {ResultCode::kFrameForeign, "frame_foreign", 500},
    {ResultCode::kPeerUnauthenticated, "peer_unauthenticated", 500},
    {ResultCode::kPeerUnreachable, "peer_unreachable", 500},
    {ResultCode::kPeerTimeout, "peer_timeout", 500},
    {ResultCode::kUsage, "usage", 400},
    {ResultCode::kAdminUnreachable, "admin_unreachable", 503},
    {ResultCode::kWaitTimeout, "wait_timeout", 504},
    {ResultCode::kInternal, "internal", 500},
};

const CodeEntry& Find(ResultCode code) {
  for (const CodeEntry& entry : kCodes) {
    if (entry.code == code) {
      return entry;
    }
  }
  return kCodes[std::size(kCodes) - 1];
}

}  // namespace

std::string_view ResultCodeName(ResultCode code) { return Find(code).name; }

int HttpStatus(ResultCode code) { return Find(code).http_status; }

std::string_view RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kRun:
      return "run";
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace azuregw
