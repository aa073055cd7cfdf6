// Signed tokens with which a caller continues its stream at another instance.

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

struct ResumeStage {
  std::string upstream;
  LayerRange range;
};

struct ResumeClaims {
  std::string sequence_id;
  std::string workspace;
  std::string model;
  std::vector<ResumeStage> stages;
  ResumePoint point;  // One epoch per stage.
  uint64_t prompt_hash = 0;
};

// Thread-safe. Tokens hold no prompt or output text; they are signed and not encrypted.
class ResumeTokenCodec {
 public:
  // `key` is the secret that all instances share.
  explicit ResumeTokenCodec(std::string key) : m_key(std::move(key)) {}

  // Characters of the URL-safe base64 alphabet, without padding.
  std::string Sign(const ResumeClaims& claims) const;
  // Errors: kInvalidResumeToken.
  Result<ResumeClaims> Verify(std::string_view token) const;

 private:
  std::string m_key;
};

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_RESUME_TOKEN_H_
