// Starts generations on a selected chain or on the chain of a resume token.

#include "azuregw/pipeline/pipeline_runner.h"

#include <utility>

#include "azuregw/base/random.h"
#include "azuregw/base/rendezvous.h"
#include "pipeline/generation.h"
#include "pipeline/prefix_hash.h"

namespace azuregw {
namespace {

// Epochs of a resumed sequence start at a random multiple of this, so that two instances that
// resume the same sequence do not give the same name to different computations.
constexpr uint32_t kEpochsPerInstance = 1 << 12;

// PipelineRunner that creates one PipelineGeneration per request.
class SessionPipelineRunner : public PipelineRunner {
 public:
  explicit SessionPipelineRunner(const PipelineDependencies& dependencies)
      : m_context(std::make_shared<GenerationContext>(GenerationContext{
            dependencies, MakeTimerQueue(), ResumeTokenCodec(dependencies.resume_key)})) {}

  Result<std::shared_ptr<Generation>> Start(GenerationRequest request,
                                            std::shared_ptr<AnswerSink> sink) override {
    auto spec = MakeSpec(request);
    if (!spec) {
      return spec.error();
    }
    RecordChain(request, spec.value());
    const uint64_t prompt_hash = StableHash(request.prompt);
    auto generation = std::make_shared<PipelineGeneration>(
        m_context, std::move(request), std::move(spec.value()), prompt_hash, std::move(sink));
    generation->Start();
    return std::shared_ptr<Generation>(std::move(generation));
  }

 private:
  Result<SessionSpec> MakeSpec(const GenerationRequest& request) const {
    const Preset& preset = *request.snapshot->preset;
    const auto model = preset.models.find(request.model);
    if (model == preset.models.end()) {
      return NotRun(ResultCode::kUnknownModel, "unknown model " + request.model);
    }
    SessionSpec spec;
    spec.model = request.model;
    spec.transfer = model->second.transfer;
    spec.prompt = request.prompt;
    spec.max_tokens = request.max_tokens;
    spec.priority = request.priority;
    spec.step_timeout = preset.limits.step_timeout;
    spec.deadline = request.deadline;
    spec.progress_timeout = request.progress_timeout;
    return request.resume_token.empty() ? ChooseChain(request, std::move(spec))
                                        : Continue(request, std::move(spec));
  }

  Result<SessionSpec> ChooseChain(const GenerationRequest& request, SessionSpec spec) const {
    const ChainRequest chain_request{request.model, PrefixHashes(request.prompt)};
    auto chain = m_context->dependencies.selector->Select(*request.snapshot, chain_request,
                                                          m_context->dependencies.clock->Now());
    if (!chain) {
      return chain.error();
    }
    spec.sequence_id = MakeUniqueId();
    spec.chain = std::move(chain.value());
    return spec;
  }

  Result<SessionSpec> Continue(const GenerationRequest& request, SessionSpec spec) const {
    auto verified = m_context->codec.Verify(request.resume_token);
    if (!verified) {
      return verified.error();
    }
    const ResumeClaims& claims = verified.value();
    if (claims.workspace != request.workspace || claims.model != request.model ||
        claims.prompt_hash != StableHash(request.prompt)) {
      return NotRun(ResultCode::kInvalidResumeToken, "resume token: issued for another request");
    }
    const Preset& preset = *request.snapshot->preset;
    for (const ResumeStage& stage : claims.stages) {
      spec.chain.stages.push_back(ToChainStage(preset, request.model, stage));
    }
    if (claims.stages.back().range.last != preset.models.at(request.model).layers) {
      return NotRun(ResultCode::kInvalidResumeToken,
                    "resume token: the number of layers of the model has changed");
    }
    spec.sequence_id = claims.sequence_id;
    spec.resume = claims.point;
    spec.last_event_id = request.last_event_id;
    spec.epoch_base = RandomEpochBase();
    return spec;
  }

  // Returns a stage without an address if its engine is no longer configured for the range.
  static ChainStage ToChainStage(const Preset& preset, const std::string& model,
                                 const ResumeStage& stage) {
    ChainStage result;
    result.upstream = stage.upstream;
    result.range = stage.range;
    const auto engine = preset.engines.find(stage.upstream);
    if (engine != preset.engines.end() && engine->second.model == model &&
        engine->second.range == stage.range) {
      result.address = engine->second.address;
      result.failure_domain = engine->second.failure_domain;
    }
    return result;
  }

  static uint32_t RandomEpochBase() {
    const auto random = MakeSystemRandom();
    const uint64_t bases = (uint64_t{1} << 32) / kEpochsPerInstance - 1;
    return static_cast<uint32_t>((1 + random->Below(bases)) * kEpochsPerInstance);
  }

  void RecordChain(const GenerationRequest& request, const SessionSpec& spec) const {
    std::string detail;
    for (const ChainStage& stage : spec.chain.stages) {
      detail += (detail.empty() ? "" : " ") + stage.upstream;
    }
    m_context->dependencies.events->Record("pipeline", spec.resume ? "resumed" : "chain_chosen",
                                           request.request_id, detail, ResultCode::kOk);
  }

  const std::shared_ptr<const GenerationContext> m_context;
};

}  // namespace

std::unique_ptr<PipelineRunner> MakePipelineRunner(const PipelineDependencies& dependencies) {
  return std::make_unique<SessionPipelineRunner>(dependencies);
}

}  // namespace azuregw
