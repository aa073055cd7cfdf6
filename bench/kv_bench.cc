// Cost of one call to the key-value service, without the service's own time.

#include <benchmark/benchmark.h>

#include <string>

#include "azuregw/kv/http_key_value_store.h"
#include "tests/fakes/scripted_server.h"

namespace azuregw {
namespace {

ScriptedServer::Step Answer(size_t /*index*/, const std::string& /*request*/) {
  return {ScriptedServer::Act::kReply, 200, R"({"key":"k","value":"v","revision":5})"};
}

void BM_Get(benchmark::State& state) {
  ScriptedServer server(Answer);
  const auto store = MakeHttpKeyValueStore(server.Address(), Milliseconds(5000), nullptr);
  for (auto _ : state) {
    if (!store->Get("k")) {
      state.SkipWithError("a read failed");
    }
  }
}
BENCHMARK(BM_Get)->Unit(benchmark::kMicrosecond)->Iterations(2000);

// Each write makes a connection of its own.
void BM_CompareAndSwap(benchmark::State& state) {
  ScriptedServer server(Answer);
  const auto store = MakeHttpKeyValueStore(server.Address(), Milliseconds(5000), nullptr);
  for (auto _ : state) {
    if (!store->CompareAndSwap("k", 1, "v", "")) {
      state.SkipWithError("a write failed");
    }
  }
}
BENCHMARK(BM_CompareAndSwap)->Unit(benchmark::kMicrosecond)->Iterations(500);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
