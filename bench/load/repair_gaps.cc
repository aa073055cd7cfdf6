// Gaps of repaired streams.

#include "bench/load/repair_gaps.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bench/load/report.h"

namespace azuregw::load {
namespace {

using nlohmann::json;
using testing::Cluster;
using testing::Node;

constexpr int kTokens = 30;
constexpr int kFaultAtEvent = 8;
// Makes one iteration longer than any step timeout in use.
constexpr const char* kTooSlow = "/test/slow?factor=300";

// The engine of the middle range that runs the only sequence; null when none does.
Node* BusyMiddleEngine(Cluster* cluster) {
  const auto& options = cluster->options();
  for (size_t i = 0; i < options.engines.size(); ++i) {
    const bool middle =
        options.engines[i].first_layer > 0 && options.engines[i].last_layer < options.layers;
    Node& node = cluster->engines()[i];
    if (middle && cluster->Control(node, "/test/stats")["sequences"].get<int>() > 0) {
      return &node;
    }
  }
  return nullptr;
}

struct Gaps {
  std::vector<double> longest_ms;
  int failed = 0;
};

// Streams one answer; `fault` hits the middle stage and returns what puts it right again.
void StreamOnce(Cluster* cluster, const std::string& prompt,
                const std::function<void(Node*)>& fault, const std::function<void(Node*)>& mend,
                Gaps* gaps) {
  Node* hit = nullptr;
  int events = 0;
  const testing::StreamResult result =
      cluster->Stream(0, prompt, kTokens, {}, [&](const testing::SseEvent&) {
        if (++events == kFaultAtEvent) {
          hit = BusyMiddleEngine(cluster);
          if (hit != nullptr) {
            fault(hit);
          }
        }
        return true;
      });
  if (hit != nullptr) {
    mend(hit);
  }
  const bool right = result.done && result.text == cluster->Expected(prompt, kTokens);
  gaps->failed += right ? 0 : 1;
  if (!result.gaps_ms.empty()) {
    gaps->longest_ms.push_back(*std::max_element(result.gaps_ms.begin(), result.gaps_ms.end()));
  }
}

json Summary(Gaps gaps) {
  return {{"answers", gaps.longest_ms.size()},
          {"failed", gaps.failed},
          {"p50_ms", Percentile(&gaps.longest_ms, 0.5)},
          {"p99_ms", Percentile(&gaps.longest_ms, 0.99)}};
}

}  // namespace

json MeasureRepairGaps(Cluster* cluster, int rounds) {
  const auto nothing = [](Node*) {};
  const auto kill = [](Node* node) { node->process->Kill(); };
  const auto restart = [cluster](Node* node) { cluster->StartNode(node); };
  const auto slow = [cluster](Node* node) { cluster->Control(*node, kTooSlow); };
  const auto fast = [cluster](Node* node) { cluster->Control(*node, "/test/slow?factor=1"); };
  Gaps undisturbed;
  Gaps recompute;
  Gaps import;
  for (int round = 0; round < rounds; ++round) {
    const std::string prompt = "gap " + std::to_string(round);
    StreamOnce(cluster, prompt + " a", nothing, nothing, &undisturbed);
    StreamOnce(cluster, prompt + " b", kill, restart, &recompute);
    StreamOnce(cluster, prompt + " c", slow, fast, &import);
  }
  return {{"undisturbed", Summary(std::move(undisturbed))},
          {"recompute", Summary(std::move(recompute))},
          {"import", Summary(std::move(import))}};
}

}  // namespace azuregw::load
