// Cost of the state machine per generated token, without I/O.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "azuregw/pipeline/pipeline_session.h"

namespace azuregw {
namespace {

SessionSpec Spec(int max_tokens) {
  SessionSpec spec;
  spec.sequence_id = "0123456789abcdef0123456789abcdef";
  spec.model = "design";
  spec.prompt = "a short brief";
  spec.max_tokens = max_tokens;
  spec.deadline = TimePoint() + std::chrono::hours(1);
  for (int stage = 0; stage < 3; ++stage) {
    spec.chain.stages.push_back({"engine", "10.0.0.1:9000", {stage * 8, stage * 8 + 8}, "fd-a"});
  }
  return spec;
}

void BenchTokens(benchmark::State& state) {
  const int tokens = 64;
  for (auto _ : state) {
    PipelineSession session(Spec(tokens));
    std::vector<SessionAction> actions = session.Handle(SessionStart{}, TimePoint());
    while (!session.Ended()) {
      SendStep sent;
      for (SessionAction& action : actions) {
        if (auto* step = std::get_if<SendStep>(&action)) {
          sent = std::move(*step);
        }
      }
      StepDone done;
      done.stage = sent.stage;
      done.sequence = sent.request.sequence;
      done.attempt = sent.request.attempt;
      done.result.first_token = sent.request.first_token;
      done.result.token_count = sent.request.token_count == 0 ? 4 : sent.request.token_count;
      done.result.has_token = sent.stage == 2;
      done.result.text = "t1 ";
      actions = session.Handle(done, TimePoint());
    }
  }
  state.SetItemsProcessed(state.iterations() * tokens);
}
BENCHMARK(BenchTokens);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
