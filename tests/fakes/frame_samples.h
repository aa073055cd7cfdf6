// Valid envelopes of every kind and mutations of them, for tests of the peer protocol.

#ifndef AZUREGW_TESTS_FAKES_FRAME_SAMPLES_H_
#define AZUREGW_TESTS_FAKES_FRAME_SAMPLES_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/peer/frame_decoder.h"

namespace azuregw {

inline wire::HeartbeatT SampleHeartbeat() {
  wire::HeartbeatT heartbeat;
  heartbeat.incarnation = 7;
  for (int i = 0; i < 8; ++i) {
    auto update = std::make_unique<wire::MemberUpdateT>();
    update->name = "gw-" + std::to_string(i);
    update->address = "127.0.0.1:700" + std::to_string(i);
    update->failure_domain = "fd-a";
    heartbeat.members.push_back(std::move(update));
  }
  heartbeat.upstreams.push_back(std::make_unique<wire::UpstreamUpdateT>());
  heartbeat.upstreams.back()->name = "design-a1";
  return heartbeat;
}

inline wire::OutcomeRecordT SampleOutcome() {
  wire::OutcomeRecordT outcome;
  outcome.key_hash = "0123456789abcdef";
  outcome.claim_id = "claim";
  outcome.body = std::vector<uint8_t>(500, 'x');
  return outcome;
}

// One payload of every kind but Hello.
inline std::vector<std::vector<uint8_t>> SamplePayloads() {
  wire::ClaimReplyT claim_reply;
  claim_reply.outcome = std::make_unique<wire::OutcomeRecordT>(SampleOutcome());
  wire::PresetReplyT preset;
  preset.revision = 3;
  preset.document_hash = std::vector<uint8_t>(32, 1);
  preset.document = std::string(2000, '{');
  wire::RefusalReportT refusals;
  refusals.instance = "gw-0";
  refusals.counts.push_back(std::make_unique<wire::RefusalCountT>());
  wire::TimelineReplyT timeline;
  timeline.events.push_back(std::make_unique<wire::TimelineEventT>());
  timeline.events.back()->event = "stage_replaced";
  return {EncodeEnvelope(MakeEnvelope(SampleHeartbeat())),
          EncodeEnvelope(MakeEnvelope(wire::PresetNoticeT())),
          EncodeEnvelope(MakeEnvelope(wire::PresetRequestT(), 1)),
          EncodeEnvelope(MakeEnvelope(std::move(preset), 1)),
          EncodeEnvelope(MakeEnvelope(wire::ClaimRequestT(), 2)),
          EncodeEnvelope(MakeEnvelope(std::move(claim_reply), 2)),
          EncodeEnvelope(MakeEnvelope(SampleOutcome(), 3)),
          EncodeEnvelope(MakeEnvelope(wire::OutcomeAckT(), 3)),
          EncodeEnvelope(MakeEnvelope(std::move(refusals), 4)),
          EncodeEnvelope(MakeEnvelope(wire::RefusalAckT(), 4)),
          EncodeEnvelope(MakeEnvelope(wire::TimelineRequestT(), 5)),
          EncodeEnvelope(MakeEnvelope(std::move(timeline), 5))};
}

// A frame with one to eight faults: changed bytes, a cut, an insertion, or a changed length.
inline std::vector<uint8_t> MutatedFrame(const std::vector<std::vector<uint8_t>>& payloads,
                                         Random* random) {
  std::vector<uint8_t> payload = payloads[random->Below(payloads.size())];
  const uint64_t faults = 1 + random->Below(8);
  for (uint64_t i = 0; i < faults && !payload.empty(); ++i) {
    const size_t at = random->Below(payload.size());
    switch (random->Below(8)) {
      case 0:
        payload.resize(at);
        break;
      case 1:
        payload.insert(payload.begin() + static_cast<std::ptrdiff_t>(at), 1 + random->Below(16),
                       static_cast<uint8_t>(random->Next()));
        break;
      case 2:
        payload[at] = random->Below(2) == 0 ? 0xff : 0;
        break;
      default:
        payload[at] ^= static_cast<uint8_t>(1 + random->Below(255));
    }
  }
  std::vector<uint8_t> frame = EncodeFrame(payload);
  if (random->Below(10) == 0) {
    frame[random->Below(kFrameHeaderBytes)] ^= static_cast<uint8_t>(1 + random->Below(255));
  }
  return frame;
}

}  // namespace azuregw

#endif  // AZUREGW_TESTS_FAKES_FRAME_SAMPLES_H_
