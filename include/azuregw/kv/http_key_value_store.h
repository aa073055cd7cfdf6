// Key-value service over HTTP; the wire format is in docs/assumptions.md.

#ifndef AZUREGW_KV_HTTP_KEY_VALUE_STORE_H_
#define AZUREGW_KV_HTTP_KEY_VALUE_STORE_H_

#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/metrics/metrics.h"

namespace azuregw {

// `metrics` may be null and must outlive the store. Counts azuregw_kv_calls_total{op} and
// azuregw_kv_errors_total{op,code}, and observes azuregw_kv_call_ms{op}.
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(const std::string& address,
                                                     Milliseconds call_timeout, Metrics* metrics);

}  // namespace azuregw

#endif  // AZUREGW_KV_HTTP_KEY_VALUE_STORE_H_
