// Frames and envelopes.

#include "azuregw/peer/frame_decoder.h"

#include <cassert>
#include <utility>

namespace azuregw {
namespace {

// A read buffer above this size is released once it is empty, so that idle connections stay small.
constexpr size_t kRetainedBufferBytes = 4096;
// A full state of 600 members needs about 1,000 tables; documents travel as strings.
constexpr size_t kMaxTables = 200000;
constexpr size_t kMaxDepth = 16;

size_t ReadLength(const uint8_t* bytes) {
  return static_cast<size_t>(bytes[0]) | static_cast<size_t>(bytes[1]) << 8 |
         static_cast<size_t>(bytes[2]) << 16 | static_cast<size_t>(bytes[3]) << 24;
}

}  // namespace

void FrameDecoder::Push(gsl::span<const uint8_t> bytes) {
  if (m_error) {
    return;
  }
  m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

Result<std::optional<std::vector<uint8_t>>> FrameDecoder::Next() {
  if (m_error) {
    return *m_error;
  }
  assert(m_begin <= m_buffer.size());
  const size_t available = m_buffer.size() - m_begin;
  if (available < kFrameHeaderBytes) {
    return std::optional<std::vector<uint8_t>>();
  }
  const size_t length = ReadLength(m_buffer.data() + m_begin);
  if (length > m_max_payload) {
    m_error = NotRun(ResultCode::kFrameTooLarge,
                     "frame of " + std::to_string(length) + " bytes, at most " +
                         std::to_string(m_max_payload) + " are allowed");
    return *m_error;
  }
  if (length == 0) {
    m_error = NotRun(ResultCode::kFrameDamaged, "empty frame");
    return *m_error;
  }
  if (available < kFrameHeaderBytes + length) {
    return std::optional<std::vector<uint8_t>>();
  }
  const auto first = m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin + kFrameHeaderBytes);
  std::vector<uint8_t> payload(first, first + static_cast<std::ptrdiff_t>(length));
  m_begin += kFrameHeaderBytes + length;
  if (m_begin == m_buffer.size()) {
    m_begin = 0;
    m_buffer.clear();
    if (m_buffer.capacity() > kRetainedBufferBytes) {
      std::vector<uint8_t>().swap(m_buffer);
    }
  } else if (m_begin > kRetainedBufferBytes && m_begin * 2 > m_buffer.size()) {
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
    m_begin = 0;
  }
  return std::optional<std::vector<uint8_t>>(std::move(payload));
}

Result<const wire::Envelope*> VerifyEnvelope(gsl::span<const uint8_t> payload) {
  constexpr size_t kIdentifierEnd = sizeof(flatbuffers::uoffset_t) + 4;
  if (payload.size() < kIdentifierEnd || !wire::EnvelopeBufferHasIdentifier(payload.data())) {
    return NotRun(ResultCode::kFrameForeign, "frame without an azuregw envelope");
  }
  flatbuffers::Verifier verifier(payload.data(), payload.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return NotRun(ResultCode::kFrameDamaged, "envelope refused by the verifier");
  }
  const wire::Envelope* envelope = wire::GetEnvelope(payload.data());
  // The verifier accepts kinds above the last known one, which a newer version may send.
  if (envelope->body_type() == wire::Body::NONE || envelope->body_type() > wire::Body::MAX) {
    return NotRun(ResultCode::kFrameDamaged, "message of unknown kind");
  }
  return envelope;
}

std::vector<uint8_t> EncodeEnvelope(const wire::EnvelopeT& envelope) {
  flatbuffers::FlatBufferBuilder builder(256);
  wire::FinishEnvelopeBuffer(builder, wire::Envelope::Pack(builder, &envelope));
  return std::vector<uint8_t>(builder.GetBufferPointer(),
                              builder.GetBufferPointer() + builder.GetSize());
}

std::vector<uint8_t> EncodeFrame(gsl::span<const uint8_t> payload) {
  const size_t length = payload.size();
  std::vector<uint8_t> frame;
  frame.reserve(kFrameHeaderBytes + length);
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame.push_back(static_cast<uint8_t>(length >> (8 * i)));
  }
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

}  // namespace azuregw
