// Check of the settings against the limits of transfers.

#include "azuregw/forward/transfer_limits.h"

#include <string>

#include "azuregw/admission/receive_budget.h"
#include "azuregw/net/head_memory.h"
#include "azuregw/routes/key_age.h"

namespace azuregw {
namespace {

// Smallest request that each instance has to take: the largest head, in the buffer and parsed, with
// a body of 1 MiB.
constexpr uint64_t kMinLargestRequest =
    (uint64_t{1} << 20) + kMaxRequestHeadBytes + MaxHeadMemoryBytes(kMaxRequestHeadBytes);
constexpr size_t kMinConnections = 16;

}  // namespace

Result<void> CheckTransferLimits(const GatewaySettings& settings) {
  const ReceiveBudget budget(
      ReceiveBudget::LimitsOf(settings.memory_bytes, settings.max_descriptors));
  if (budget.LargestRequest() < kMinLargestRequest) {
    return NotRun(ResultCode::kSettingsInvalid,
                  "memory of " + std::to_string(settings.memory_bytes >> 20) +
                      " MB leaves callers less than one request of 1 MiB");
  }
  if (budget.MaxUse().connections < kMinConnections) {
    return NotRun(ResultCode::kSettingsInvalid, std::to_string(settings.max_descriptors) +
                                                    " descriptors leave callers fewer than " +
                                                    std::to_string(kMinConnections) +
                                                    " connections");
  }
  if (settings.key_removal_bound.count() > 0 && settings.key_removal_bound <= kMinKeyRemovalBound) {
    return NotRun(ResultCode::kSettingsInvalid,
                  "the bound of " + std::to_string(settings.key_removal_bound.count()) +
                      " ms for removed keys is not above the " +
                      std::to_string(kMinKeyRemovalBound.count()) +
                      " ms in which a removal is noticed");
  }
  return boost::outcome_v2::success();
}

}  // namespace azuregw
