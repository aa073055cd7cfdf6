// Messages of the state exchange and their wire format, defined in schemas/fleet_sync.fbs.

#ifndef AZUREGW_SYNC_SYNC_FRAMES_H_
#define AZUREGW_SYNC_SYNC_FRAMES_H_

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/base/clock.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/sync/upstream_relay.h"

namespace azuregw {

// Load report that a follower sends to the leader.
struct InstanceReport {
  std::string instance;
  int64_t stamp_us = 0;  // Time at which the report was sent, on the follower's clock.
  bool urgent = false;   // True if it contains a new health report to relay immediately.
  double cpu_share = 0;  // CPU share of the follower, in cores.
  LoadReport load;
  uint64_t config_version = 0;     // Version of the follower's configuration; 0 if it has none.
  bool config_wanted = false;      // The follower cannot read the newest version from the store.
  PromptEvidence prompt_evidence;  // New evidence; all of it in the first report to a leader.
  uint64_t store_era = 0;          // Highest era of the store that the sender has seen; 0: none.
};

// The routing configuration as relayed by the leader.
struct RelayedConfig {
  uint64_t version = 0;
  // Empty when the receiver already has this version, or should read it from the store.
  std::string document;
  // Age when the report arrived whose `stamp_us` StateUpdate::echo_us returns.
  int64_t age_us = 0;
  uint64_t revision = 0;  // Of the entry in the store; 0 if unknown.
};

// Configuration and upstream list that the leader sends to one follower.
struct StateUpdate {
  std::string leader;
  // False if the sender does not hold the lease. The last leader then continues until there is a
  // new one.
  bool lease_held = false;
  InstanceNumber receiver = 0;  // Number of the receiving follower.
  int64_t echo_us = 0;          // `stamp_us` of the receiver's last report; 0 if none has arrived.
  std::optional<RelayedConfig> config;
  bool config_absent = false;          // The store holds no configuration yet.
  uint64_t newest_config_version = 0;  // That the leader knows any instance to have.
  // Age of the list, defined as for RelayedConfig::age_us. `list` is empty if unset.
  std::optional<int64_t> list_age_us;
  UpstreamDelta list;
  PromptEvidence prompt_evidence;  // Evidence that the receiver does not have.
  uint64_t store_era = 0;          // As in InstanceReport.
};

// Total load of all instances, sent by the leader to every follower.
struct FleetTotals {
  int instances = 0;
  Milliseconds interval{0};  // Interval at which reports and totals are sent.
  double max_cpu_share = 0;  // Largest CPU share of any instance, in cores.
  LoadReport load;
};

using SyncMessage = std::variant<InstanceReport, StateUpdate, FleetTotals>;
using SharedFrame = std::shared_ptr<const std::vector<uint8_t>>;

// Returns the message as a complete frame with its header.
SharedFrame EncodeSyncMessage(const SyncMessage& message);
// Decodes a frame's payload. Returns nullopt if it is not a valid SyncMessage.
std::optional<SyncMessage> DecodeSyncMessage(gsl::span<const uint8_t> payload);

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_FRAMES_H_
