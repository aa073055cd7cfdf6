// Frames of the state that instances share, as schemas/fleet_sync.fbs describes them.

#ifndef AZUREGW_SYNC_SYNC_FRAMES_H_
#define AZUREGW_SYNC_SYNC_FRAMES_H_

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/sync/upstream_relay.h"

namespace azuregw {

struct InstanceReport {
  std::string instance;
  int64_t stamp_us = 0;  // Of the sender's clock.
  bool urgent = false;   // Contains something new that all should know at once.
  double cpu_share = 0;  // Processor time of the instance, in cores.
  LoadReport load;
};

// The configuration as one instance passes it on to another.
struct RelayedConfig {
  uint64_t version = 0;
  std::string document;  // Empty when the receiver has this version.
  int64_t age_us = 0;    // Before the arrival of the report whose stamp is returned.
};

struct StateUpdate {
  std::string holder;
  bool held = false;            // Else the last holder goes on until there is another one.
  InstanceNumber reporter = 0;  // Of the receiver.
  int64_t echo_us = 0;          // 0: no report has arrived yet.
  std::optional<RelayedConfig> config;
  std::optional<int64_t> list_age_us;  // As in RelayedConfig; without it, `list` is empty.
  UpstreamDelta list;
};

struct FleetTotals {
  int instances = 0;
  Milliseconds interval{0};   // Between two reports and two totals.
  double most_cpu_share = 0;  // Of all instances, in cores.
  LoadReport load;
};

using SyncMessage = std::variant<InstanceReport, StateUpdate, FleetTotals>;
using SharedFrame = std::shared_ptr<const std::vector<uint8_t>>;

SharedFrame EncodeSync(const SyncMessage& message);
// Returns nullopt when the payload is damaged or foreign.
std::optional<SyncMessage> DecodeSync(gsl::span<const uint8_t> payload);

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_FRAMES_H_
