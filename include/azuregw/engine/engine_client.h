// The engines' protocol, as azuregw sees it. The wire format is in docs/assumptions.md.
//
// Calls return at once; callbacks run on an unspecified thread, exactly once per call.
// Implementations are thread-safe and batch the steps that go to one engine.

#ifndef AZUREGW_ENGINE_ENGINE_CLIENT_H_
#define AZUREGW_ENGINE_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

struct PromptText {
  std::string text;
};
struct TokenIds {
  std::vector<uint32_t> ids;
};
struct InlineActivations {
  std::vector<std::string> values;  // One opaque value per token.
};
struct FetchActivations {
  std::string address;   // Engine that retains the activations, "IP:port".
  std::string sequence;  // Sequence name at that engine.
  int layer = 0;         // Boundary: the last layer (exclusive) of that engine's range.
  int first_token = 0;
  int token_count = 0;
};
using StepInput = std::variant<PromptText, TokenIds, InlineActivations, FetchActivations>;

struct StepRequest {
  std::string address;   // Engine, "IP:port".
  std::string sequence;  // "<request id>.<range epoch>"
  uint32_t attempt = 1;
  std::string model;
  LayerRange range;
  int first_token = 0;
  int token_count = 0;  // 0 with PromptText: the engine counts.
  int priority = 5;
  ActivationTransfer output = ActivationTransfer::kHandle;
  StepInput input;
  Milliseconds timeout{2000};
};

struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int capacity = 1;
  int64_t kv_used = 0;
  int64_t kv_capacity = 0;
  bool leaving = false;
  Milliseconds age{0};  // Age of the report at the engine.
};

struct StepResult {
  std::string sequence;
  uint32_t attempt = 1;
  int first_token = 0;
  int token_count = 0;
  std::vector<std::string> activations;  // Only for inline transfer.
  bool has_token = false;                // True from the last stage.
  uint32_t token = 0;
  std::string text;
  bool end = false;
  EngineLoad load;
};

struct SequenceOutput {
  uint32_t token = 0;
  std::string text;
  bool end = false;
};

struct AttemptReply {
  int tokens = 0;                       // Tokens in the KV cache.
  std::vector<SequenceOutput> outputs;  // Only from the last stage.
};

enum class EngineOrderKind { kLoadModel, kLoadAdapter, kLoadVersion, kSetRole };

struct EngineOrder {
  EngineOrderKind kind = EngineOrderKind::kLoadVersion;
  std::string argument;
  std::string order_id;
  uint64_t fencing = 0;
};

struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  std::string last_order_id;
  uint64_t fencing = 0;
};

struct CacheEvent {
  uint64_t id = 0;
  bool stored = true;  // False: evicted.
  uint64_t prefix_hash = 0;
};

struct CacheEvents {
  std::vector<CacheEvent> events;
  uint64_t next = 0;
};

class EngineClient {
 public:
  template <class T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~EngineClient() = default;

  // Errors: kUpstreamUnreachable, kUpstreamTimeout (outcome unknown), kUpstreamLeaving,
  // kStaleAttempt, kUnknownSequence, kOverloaded, kFetchFailed, kUpstreamRefused,
  // kUpstreamProtocol.
  virtual void Step(StepRequest request, Callback<StepResult> done) = 0;

  // Frees the sequence at the engine; best effort.
  virtual void Cancel(const std::string& address, const std::string& sequence,
                      uint32_t attempt) = 0;

  // Errors: kStaleAttempt, kUnknownSequence, and the transport errors of Step.
  virtual void RaiseAttempt(const std::string& address, const std::string& sequence,
                            uint32_t attempt, Callback<AttemptReply> done) = 0;

  // Makes the engine at `address` import the sequence's KV cache from `source`; returns its token
  // count.
  virtual void ImportKv(const std::string& address, const std::string& sequence, uint32_t attempt,
                        const std::string& source, Callback<int> done) = 0;

  virtual void FetchLoad(const std::string& address, Callback<EngineLoad> done) = 0;
  virtual void FetchCacheEvents(const std::string& address, uint64_t after,
                                Callback<CacheEvents> done) = 0;

  // Errors: kStaleFencing, kUpstreamLeaving, and the transport errors of Step.
  virtual void SendOrder(const std::string& address, const EngineOrder& order,
                         Callback<bool> done) = 0;
  virtual void FetchState(const std::string& address, Callback<EngineState> done) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_ENGINE_ENGINE_CLIENT_H_
