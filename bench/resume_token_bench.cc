// Cost of signing and verifying resume tokens.

#include <benchmark/benchmark.h>

#include <string>

#include "azuregw/pipeline/resume_token.h"

namespace azuregw {
namespace {

ResumeClaims Claims() {
  ResumeClaims claims;
  claims.sequence_id = "0123456789abcdef0123456789abcdef";
  claims.workspace = "workspace";
  claims.model = "design";
  claims.stages = {{"design-a1", {0, 8}}, {"design-b1", {8, 16}}, {"design-c1", {16, 24}}};
  claims.point.epochs = {0, 0, 1};
  claims.point.prompt_tokens = 100;
  return claims;
}

void BenchSign(benchmark::State& state) {
  const ResumeTokenCodec codec("secret");
  const ResumeClaims claims = Claims();
  for (auto _ : state) {
    benchmark::DoNotOptimize(codec.Sign(claims));
  }
}
BENCHMARK(BenchSign);

void BenchVerify(benchmark::State& state) {
  const ResumeTokenCodec codec("secret");
  const std::string token = codec.Sign(Claims());
  for (auto _ : state) {
    benchmark::DoNotOptimize(codec.Verify(token));
  }
}
BENCHMARK(BenchVerify);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
