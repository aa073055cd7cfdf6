// Gossip protocol that distributes the active preset from the watchers to all instances. Performs
// no I/O.
//
// An instance that obtains a higher revision sends a notice to `fanout` random peers. A peer that
// lacks the revision pulls it from the sender: as a JSON patch (RFC 6902) if the sender still holds
// the revision of the puller, otherwise as a full document. Heartbeats carry the revision, so that
// instances whose notices were lost catch up. Only the watchers read the key-value service.

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
  size_t fanout = 4;         // Peers notified per round.
  size_t notice_rounds = 2;  // Rounds of notices per revision.
  Milliseconds round_interval{300};
  Milliseconds pull_timeout{500};
  size_t max_kept_documents = 4;       // Current document, and the bases for patches.
  bool reject_lower_revisions = true;  // False only in tests, to show that the rule is needed.
  bool verify_document_hash = true;    // False only in tests, to show that the check is needed.
};

// A message that the caller must send.
struct OutgoingPeerMessage {
  std::string peer;  // Name of the receiving instance.
  wire::EnvelopeT envelope;
};

// A preset that was received from a peer.
struct DeliveredPreset {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> document;  // JSON text.
};

// Actions that the caller must perform after an event.
struct PresetActions {
  std::vector<OutgoingPeerMessage> sends;
  std::optional<DeliveredPreset> delivered;  // Preset to activate.
};

// Distribution state of one instance: the caller reports events and performs the returned actions.
// Not thread-safe.
class PresetDistribution {
 public:
  virtual ~PresetDistribution() = default;

  // Sets the names of the other live instances.
  virtual void SetPeers(std::vector<std::string> peers) = 0;
  // Reports that this instance activated `document`, from the key-value service or from a peer.
  virtual PresetActions OnPresetActivated(uint64_t revision, const std::string& document,
                                          TimePoint now) = 0;
  // Handles a heartbeat of `from`, which has `revision` active.
  virtual PresetActions OnPeerRevision(const std::string& from, uint64_t revision,
                                       TimePoint now) = 0;
  // Handles a notice: pulls the announced revision if it is higher than the current one.
  virtual PresetActions OnNotice(const std::string& from, const wire::PresetNoticeT& notice,
                                 TimePoint now) = 0;
  // Handles a pull request: replies with a patch or a full document.
  virtual PresetActions OnRequest(const std::string& from, const wire::PresetRequestT& request,
                                  TimePoint now) = 0;
  // Handles the reply to a pull: delivers the preset if it is newer and matches its hash.
  virtual PresetActions OnReply(const std::string& from, const wire::PresetReplyT& reply,
                                TimePoint now) = 0;
  // Handles timeouts and rounds of notices. Must be called at least every 100 ms.
  virtual PresetActions Tick(TimePoint now) = 0;

  // Returns the current revision of this instance; 0 if there is none. Never decreases.
  virtual uint64_t Revision() const = 0;
  // Returns whether a peer is known to have a higher revision that was not yet obtained.
  virtual bool IsBehind() const = 0;
};

// Creates the distribution state of an instance without a preset. `random` chooses the peers to
// notify.
std::unique_ptr<PresetDistribution> MakePresetDistribution(PresetDistributionOptions options,
                                                           std::unique_ptr<Random> random);

}  // namespace azuregw

#endif  // AZUREGW_DISTRIBUTION_PRESET_DISTRIBUTION_H_
