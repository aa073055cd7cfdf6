// Frames and envelopes under damage: nothing that arrives may crash the process or be misread.

#include "azuregw/peer/frame_decoder.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "azuregw/base/random.h"
#include "tests/fakes/frame_samples.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(frame_decoder)

// Guards against frames lost or merged when the stream is cut at any point.
BOOST_AUTO_TEST_CASE(frames_survive_any_cut) {
  const std::vector<std::vector<uint8_t>> samples = SamplePayloads();
  std::vector<uint8_t> stream;
  for (const auto& payload : samples) {
    const std::vector<uint8_t> frame = EncodeFrame(payload);
    stream.insert(stream.end(), frame.begin(), frame.end());
  }
  for (const size_t piece : {size_t{1}, size_t{3}, size_t{7}, size_t{1000}}) {
    FrameDecoder decoder(kMaxFramePayloadBytes);
    std::vector<std::vector<uint8_t>> read;
    for (size_t at = 0; at < stream.size(); at += piece) {
      decoder.Push(
          gsl::span<const uint8_t>(stream.data() + at, std::min(piece, stream.size() - at)));
      for (auto next = decoder.Next(); next.value(); next = decoder.Next()) {
        BOOST_TEST(!VerifyEnvelope(*next.value()).has_error());
        read.push_back(*next.value());
      }
    }
    BOOST_TEST((read == samples));
  }
}

// Guards against buffering an announced size before it is known to be allowed.
BOOST_AUTO_TEST_CASE(oversized_frame_is_refused_at_its_header) {
  FrameDecoder decoder(kMaxFramePayloadBytes);
  const uint8_t header[] = {1, 0, 0x40, 0};  // 4 MB + 1.
  decoder.Push(header);
  BOOST_TEST((decoder.Next().error().code == ResultCode::kFrameTooLarge));
  decoder.Push(EncodeFrame(SamplePayloads()[0]));
  BOOST_TEST((decoder.Next().error().code == ResultCode::kFrameTooLarge));
}

// Guards against taking another protocol for ours.
BOOST_AUTO_TEST_CASE(foreign_payload_is_refused) {
  const std::string text = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  const std::vector<uint8_t> bytes(text.begin(), text.end());
  BOOST_TEST((VerifyEnvelope(bytes).error().code == ResultCode::kFrameForeign));
}

// Guards against crashes and out-of-bounds reads on damaged input: 200,000 mutated frames go
// through the decoder and the verifier, and what the verifier accepts is unpacked in full.
BOOST_AUTO_TEST_CASE(mutated_frames_do_no_harm) {
  const auto random = MakeRandom(20240601);
  const std::vector<std::vector<uint8_t>> samples = SamplePayloads();
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < 200000; ++i) {
    const std::vector<uint8_t> frame = MutatedFrame(samples, random.get());
    FrameDecoder decoder(kMaxFramePayloadBytes);
    decoder.Push(frame);
    const auto payload = decoder.Next();
    if (!payload || !payload.value()) {
      ++refused;
      continue;
    }
    const Result<const wire::Envelope*> envelope = VerifyEnvelope(*payload.value());
    if (!envelope) {
      const ResultCode code = envelope.error().code;
      BOOST_REQUIRE((code == ResultCode::kFrameForeign || code == ResultCode::kFrameDamaged));
      ++refused;
      continue;
    }
    wire::EnvelopeT unpacked;
    envelope.value()->UnPackTo(&unpacked);
    BOOST_REQUIRE(!EncodeEnvelope(unpacked).empty());
    ++accepted;
  }
  BOOST_TEST_MESSAGE("accepted " << accepted << ", refused " << refused);
  BOOST_TEST(accepted > 1000);
  BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
