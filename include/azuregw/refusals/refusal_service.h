// Runs the ledger of this instance: sends its reports, receives those of others when this instance
// is an aggregator, and writes the records.

#ifndef AZUREGW_REFUSALS_REFUSAL_SERVICE_H_
#define AZUREGW_REFUSALS_REFUSAL_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/peer/peer_service.h"
#include "azuregw/refusals/refusal_recorder.h"

namespace azuregw {

struct RefusalServiceOptions {
  std::string instance;
  std::string failure_domain;
  uint64_t incarnation = 0;            // Above that of every earlier process of this instance.
  Milliseconds report_interval{5000};  // Bounds the loss when this process is killed.
  Milliseconds write_interval{60000};
  Milliseconds final_report_limit{3000};  // Wait for the last report at the end.
};

// All must outlive the service.
struct RefusalServiceDependencies {
  const SnapshotSource* snapshots = nullptr;
  PeerService* peers = nullptr;
  KeyValueStore* kv = nullptr;
  const Clock* clock = nullptr;
};

class RefusalService {
 public:
  virtual ~RefusalService() = default;
  virtual RefusalRecorder* Recorder() = 0;
  virtual void Start() = 0;
  // Sends the last report and, on an aggregator, writes what was received. Before the peers stop.
  virtual void Stop() = 0;
};

std::unique_ptr<RefusalService> MakeRefusalService(RefusalServiceOptions options,
                                                   RefusalServiceDependencies dependencies);

}  // namespace azuregw

#endif  // AZUREGW_REFUSALS_REFUSAL_SERVICE_H_
