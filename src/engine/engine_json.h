// JSON of the engines' protocol; the shapes are in docs/assumptions.md.

#ifndef AZUREGW_SRC_ENGINE_ENGINE_JSON_H_
#define AZUREGW_SRC_ENGINE_ENGINE_JSON_H_

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/engine/engine_client.h"

namespace azuregw {

std::string EncodeSteps(gsl::span<const StepRequest> steps);

// One result per step, in order. A whole reply that cannot be read is kUpstreamProtocol.
Result<std::vector<Result<StepResult>>> DecodeStepResults(std::string_view body, size_t count);

std::string EncodeSequence(const std::string& sequence, uint32_t attempt);
std::string EncodeImport(const std::string& sequence, uint32_t attempt, const std::string& source);
std::string EncodeOrder(const EngineOrder& order);

Result<AttemptReply> DecodeAttempt(std::string_view body);
Result<int> DecodeTokens(std::string_view body);
Result<EngineLoad> DecodeLoad(std::string_view body);
Result<CacheEvents> DecodeCacheEvents(std::string_view body);
Result<EngineState> DecodeState(std::string_view body);

}  // namespace azuregw

#endif  // AZUREGW_SRC_ENGINE_ENGINE_JSON_H_
