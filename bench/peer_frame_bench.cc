// Processor time of one message between instances, without the socket.

#include <benchmark/benchmark.h>

#include <vector>

#include "azuregw/peer/frame_decoder.h"
#include "tests/fakes/frame_samples.h"

namespace azuregw {
namespace {

// A heartbeat with 8 updates: encoded, framed, cut out of the stream, verified and unpacked.
void BM_HeartbeatRoundTrip(benchmark::State& state) {
  const wire::HeartbeatT heartbeat = SampleHeartbeat();
  size_t bytes = 0;
  for (auto _ : state) {
    const std::vector<uint8_t> frame = EncodeFrame(EncodeEnvelope(MakeEnvelope(heartbeat)));
    FrameDecoder decoder(kMaxFramePayloadBytes);
    decoder.Push(frame);
    const auto payload = decoder.Next();
    wire::EnvelopeT envelope;
    VerifyEnvelope(*payload.value()).value()->UnPackTo(&envelope);
    benchmark::DoNotOptimize(envelope);
    bytes = frame.size();
  }
  state.counters["frame_B"] = static_cast<double>(bytes);
}
BENCHMARK(BM_HeartbeatRoundTrip);

// The verifier alone, for each kind of message.
void BM_VerifyEnvelope(benchmark::State& state) {
  const std::vector<uint8_t> payload = SamplePayloads()[static_cast<size_t>(state.range(0))];
  for (auto _ : state) {
    benchmark::DoNotOptimize(VerifyEnvelope(payload));
  }
}
BENCHMARK(BM_VerifyEnvelope)->DenseRange(0, 11, 1);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
