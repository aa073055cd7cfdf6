// Where traffic reports each refusal of a caller; the ledger of refusal minutes is built from it.

#ifndef AZUREGW_REFUSALS_REFUSAL_RECORDER_H_
#define AZUREGW_REFUSALS_REFUSAL_RECORDER_H_

#include <cstdint>
#include <string>

#include "azuregw/base/result.h"

namespace azuregw {

class RefusalRecorder {
 public:
  virtual ~RefusalRecorder() = default;
  // `workspace` is empty when the caller was not recognised. Thread-safe; never blocks on I/O.
  virtual void OnRefusal(const std::string& workspace, ResultCode reason, int64_t wall_ms) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_REFUSALS_REFUSAL_RECORDER_H_
