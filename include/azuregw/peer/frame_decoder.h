// Cuts a byte stream from a peer into frames and checks their contents. No I/O.
//
// A frame is a 4-byte little-endian length and that many bytes of payload. A payload is one
// FlatBuffers Envelope with the file identifier of schemas/peer.fbs.

#ifndef AZUREGW_PEER_FRAME_DECODER_H_
#define AZUREGW_PEER_FRAME_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>
#include <utility>
#include <vector>

#include "azuregw/base/result.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

constexpr size_t kFrameHeaderBytes = 4;
constexpr size_t kMaxFramePayloadBytes = size_t{4} << 20;
// Bounds what a connection can make this process buffer before it is authenticated.
constexpr size_t kMaxHelloPayloadBytes = 2048;

class FrameDecoder {
 public:
  explicit FrameDecoder(size_t max_payload) : m_max_payload(max_payload) {}

  void SetMaxPayload(size_t max_payload) { m_max_payload = max_payload; }
  void Push(gsl::span<const uint8_t> bytes);

  // The next whole payload, or nullopt when more bytes are needed. Errors: kFrameTooLarge, as soon
  // as the length is known; kFrameDamaged for an empty frame. After an error the stream cannot be
  // read any further, and every call returns the error again.
  Result<std::optional<std::vector<uint8_t>>> Next();

 private:
  size_t m_max_payload;
  std::vector<uint8_t> m_buffer;
  size_t m_begin = 0;  // Start of the unread bytes; m_begin <= m_buffer.size().
  std::optional<Error> m_error;
};

// Checks one payload; the result points into it. Errors: kFrameForeign (no azuregw envelope),
// kFrameDamaged (the FlatBuffers verifier refuses it, or its message is of no known kind).
Result<const wire::Envelope*> VerifyEnvelope(gsl::span<const uint8_t> payload);

std::vector<uint8_t> EncodeEnvelope(const wire::EnvelopeT& envelope);

// An envelope with `message` (such as wire::HeartbeatT) as its body.
template <class Message>
wire::EnvelopeT MakeEnvelope(Message message, uint64_t request_id = 0) {
  wire::EnvelopeT envelope;
  envelope.request_id = request_id;
  envelope.body.Set(std::move(message));
  return envelope;
}

// The payload with its length in front.
std::vector<uint8_t> EncodeFrame(gsl::span<const uint8_t> payload);

}  // namespace azuregw

#endif  // AZUREGW_PEER_FRAME_DECODER_H_
