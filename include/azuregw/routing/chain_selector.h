// Selects a chain per request from the engines' load, local in-flight counts, health and prefix
// caches.

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

// The properties of a request that chain selection uses.
struct ChainRequest {
  std::string model;
  std::vector<uint64_t> prefix_hashes;  // Prompt prefixes, shortest first; see docs/assumptions.md.
};

// Selects engines for new requests and for failed stages, and receives the observations that the
// selection is based on. Thread-safe; called by traffic threads.
class ChainSelector {
 public:
  virtual ~ChainSelector() = default;

  // Builds the search graph of a new snapshot ahead of the first request. Optional: Select builds
  // it for an unknown topology revision.
  virtual void Prepare(const Snapshot& snapshot, TimePoint now) {}

  // Returns a chain that covers every layer of the model. Errors: kUnknownModel, kNoChain; the
  // outcome of each is not_run.
  virtual Result<Chain> Select(const Snapshot& snapshot, const ChainRequest& request,
                               TimePoint now) = 0;

  // Returns an engine that holds exactly `range` and is not in `excluded` (upstream names).
  // `previous_domain` is the failure domain of the previous stage, empty for the first stage.
  // Errors: kNoChain.
  virtual Result<ChainStage> SelectReplacement(const Snapshot& snapshot, const std::string& model,
                                               LayerRange range,
                                               gsl::span<const std::string> excluded,
                                               const std::string& previous_domain,
                                               TimePoint now) = 0;

  // Counts a sequence that starts or stops occupying an engine. The caller must pair the calls.
  virtual void OnSequenceStart(const std::string& upstream) = 0;
  virtual void OnSequenceEnd(const std::string& upstream) = 0;

  // Records the outcome of one step and its latency per token in ms. `load` is null if the engine
  // did not answer.
  virtual void OnStep(const std::string& upstream, double ms_per_token, ResultCode code,
                      const EngineLoad* load, TimePoint now) = 0;

  // Records a load report that was fetched independently of steps.
  virtual void OnLoad(const std::string& upstream, const EngineLoad& load, TimePoint now) = 0;

  // Applies a batch of prefix cache events of one engine.
  virtual void OnCacheEvents(const std::string& upstream, const CacheEvents& events) = 0;
};

// Creates a selector; the first form uses the default options.
std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random);
std::unique_ptr<ChainSelector> MakeChainSelector(std::unique_ptr<Random> random,
                                                 const SelectorOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_SELECTOR_H_
