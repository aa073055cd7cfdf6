// Spreads the preset in force from the watchers to all instances. No I/O.
//
// An instance that obtains a higher revision sends a notice to `fanout` random peers. A peer that
// lacks the revision pulls it from the sender: as a JSON patch (RFC 6902) when the sender still
// holds the puller's revision, else as a whole document. The revision in heartbeats repairs what
// notices missed. The key-value service is read by the watchers only.

#ifndef AZUREGW_DISTRIBUTION_PRESET_DISTRIBUTION_H_
#define AZUREGW_DISTRIBUTION_PRESET_DISTRIBUTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

struct PresetDistributionOptions {
  size_t fanout = 4;
  size_t notice_rounds = 2;  // Rounds of `fanout` notices per revision.
  Milliseconds round_interval{300};
  Milliseconds pull_timeout{500};
  size_t max_kept_documents = 4;       // Revisions from which a patch can be made.
  bool reject_lower_revisions = true;  // Off only in tests, to show what the rule guards.
  bool verify_document_hash = true;    // Off only in tests, likewise.
};

struct OutgoingPeerMessage {
  std::string peer;  // Name.
  wire::EnvelopeT envelope;
};

struct DeliveredPreset {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> document;  // JSON text.
};

struct PresetActions {
  std::vector<OutgoingPeerMessage> sends;
  std::optional<DeliveredPreset> delivered;  // To be put in force.
};

// Owned by one thread.
class PresetDistribution {
 public:
  virtual ~PresetDistribution() = default;

  // Names of the other live instances.
  virtual void SetPeers(std::vector<std::string> peers) = 0;
  // This instance put `document` in force, from the key-value service or from a peer.
  virtual PresetActions OnPresetActivated(uint64_t revision, const std::string& document,
                                          TimePoint now) = 0;
  // A heartbeat of `from` named the revision that it has in force.
  virtual PresetActions OnPeerRevision(const std::string& from, uint64_t revision,
                                       TimePoint now) = 0;
  virtual PresetActions OnNotice(const std::string& from, const wire::PresetNoticeT& notice,
                                 TimePoint now) = 0;
  virtual PresetActions OnRequest(const std::string& from, const wire::PresetRequestT& request,
                                  TimePoint now) = 0;
  virtual PresetActions OnReply(const std::string& from, const wire::PresetReplyT& reply,
                                TimePoint now) = 0;
  // To be called at least every 100 ms.
  virtual PresetActions Tick(TimePoint now) = 0;

  // Revision held here; 0 when none. Never decreases.
  virtual uint64_t Revision() const = 0;
  // Whether a peer is known to have a higher revision that is still being pulled.
  virtual bool IsBehind() const = 0;
};

std::unique_ptr<PresetDistribution> MakePresetDistribution(PresetDistributionOptions options,
                                                           std::unique_ptr<Random> random);

}  // namespace azuregw

#endif  // AZUREGW_DISTRIBUTION_PRESET_DISTRIBUTION_H_
