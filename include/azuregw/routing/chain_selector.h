// Chooses a chain per request from the load, the local in-flight counts, the health and the prefix
// caches of the engines. Thread-safe; called by traffic threads.

#ifndef AZUREGW_ROUTING_CHAIN_SELECTOR_H_
#define AZUREGW_ROUTING_CHAIN_SELECTOR_H_

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "azuregw/base/result.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/routing/chain.h"
#include "azuregw/routing/selector_options.h"

namespace azuregw {

struct ChainRequest {
  std::string model;
  std::vector<uint64_t> prefix_hashes;  // Of the prompt, shortest first; see docs/assumptions.md.
};

class ChainSelector {
 public:
  virtual ~ChainSelector() = default;

  // Precomputes the graph of a new snapshot, so that no request waits for it. Optional: Select does
  // it when it meets an unknown topology revision.
  virtual void Prepare(const Snapshot& snapshot, TimePoint now) {}

  // Errors, all not_run: kUnknownModel, kNoChain.
  virtual Result<Chain> Select(const Snapshot& snapshot, const ChainRequest& request,
                               TimePoint now) = 0;

  // An engine of exactly `range` that is not in `excluded` (upstream names), for a chain whose
  // previous stage is in `previous_domain` (empty for the first). Errors: kNoChain.
  virtual Result<ChainStage> SelectReplacement(const Snapshot& snapshot, const std::string& model,
                                               LayerRange range,
                                               gsl::span<const std::string> excluded,
                                               const std::string& previous_domain,
                                               TimePoint now) = 0;

  // A sequence starts or ends to occupy an engine; calls are paired by the caller.
  virtual void OnSequenceStart(const std::string& upstream) = 0;
  virtual void OnSequenceEnd(const std::string& upstream) = 0;

  // Outcome of one step, with its latency per token; `load` is null when the engine did not answer.
  virtual void OnStep(const std::string& upstream, double ms_per_token, ResultCode code,
                      const EngineLoad* load, TimePoint now) = 0;

  // A load report that was fetched apart from steps.
  virtual void OnLoad(const std::string& upstream, const EngineLoad& load, TimePoint now) = 0;

  virtual void OnCacheEvents(const std::string& upstream, const CacheEvents& events) = 0;
};

std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random);
std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random,
                                                 const SelectorOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_SELECTOR_H_
