// Signed tokens that let a caller continue its stream at another instance.

#ifndef AZUREGW_PIPELINE_RESUME_TOKEN_H_
#define AZUREGW_PIPELINE_RESUME_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/pipeline/session_events.h"

namespace azuregw {

// Stage of the chain at the time of signing.
struct ResumeStage {
  std::string upstream;
  LayerRange range;
};

// Contents of a resume token.
struct ResumeClaims {
  std::string sequence_id;
  std::string workspace;
  std::string model;
  std::vector<ResumeStage> stages;
  ResumePoint point;         // Has one epoch per stage.
  uint64_t prompt_hash = 0;  // StableHash of the prompt.
};

// Signs and verifies resume tokens. Tokens are signed but not encrypted, and contain no prompt or
// output text. Thread-safe.
class ResumeTokenCodec {
 public:
  // `key` is the secret shared by all instances.
  explicit ResumeTokenCodec(std::string key) : m_key(std::move(key)) {}

  // Returns a token of the URL-safe base64 alphabet without padding.
  std::string Sign(const ResumeClaims& claims) const;
  // Returns the claims of a token. Errors: kInvalidResumeToken.
  Result<ResumeClaims> Verify(std::string_view token) const;

 private:
  std::string m_key;
};

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_RESUME_TOKEN_H_
