// Limits of the bytes that an instance holds for requests and responses, in one place so that they
// cannot contradict each other.
//
// A response is passed on as it arrives. It is held only where it has to be judged as a whole:
//   - a plain response up to kHeldResponseBytes, since one that breaks off early, or an error, can
//     still be replaced by that of another upstream; a longer one is begun with these bytes and can
//     only be broken off after that;
//   - an error response to a stream up to kMaxErrorResponseBytes, likewise; a longer one counts as
//     a broken attempt;
//   - an incomplete event up to kMaxEventBytes, since only complete events are sent; a longer one
//     counts as a broken attempt.

#ifndef AZUREGW_FORWARD_TRANSFER_LIMITS_H_
#define AZUREGW_FORWARD_TRANSFER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "azuregw/base/result.h"
#include "azuregw/forward/gateway_settings.h"

namespace azuregw {

// Responses of the known services are below 5 KB, so that nearly all of them can be replaced.
constexpr size_t kHeldResponseBytes = size_t{64} << 10;
constexpr size_t kMaxErrorResponseBytes = size_t{256} << 10;
// Usual events take a few hundred bytes.
constexpr size_t kMaxEventBytes = size_t{256} << 10;
// Bytes that wait for a caller before the upstream is read no further.
constexpr size_t kUnsentWindowBytes = size_t{64} << 10;
// Bytes that wait for a caller beyond which its connection is reset. A fault of this program, since
// the upstream is no longer read long before.
constexpr size_t kMaxUnsentBytes = size_t{1} << 20;
// Largest head of a request, whatever the configuration allows. The library cannot store longer
// field values.
constexpr uint32_t kMaxRequestHeadBytes = 65000;
// Largest head of a response from an upstream.
constexpr size_t kMaxResponseHeadBytes = size_t{32} << 10;

// What one turn of the event loop may add to a full window, as a whole response or as events.
static_assert(kUnsentWindowBytes + kMaxErrorResponseBytes + kMaxResponseHeadBytes < kMaxUnsentBytes,
              "an error response to a stream must fit");
static_assert(kUnsentWindowBytes + kHeldResponseBytes + kMaxResponseHeadBytes < kMaxUnsentBytes,
              "a held response must fit");
static_assert(kUnsentWindowBytes + kMaxEventBytes + kMaxResponseHeadBytes < kMaxUnsentBytes,
              "a complete event must fit");

// Returns an error that names the settings which contradict these limits or each other.
Result<void> CheckTransferLimits(const GatewaySettings& settings);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_TRANSFER_LIMITS_H_
