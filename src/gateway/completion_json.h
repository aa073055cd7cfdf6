// OpenAI-compatible requests and answers.

#ifndef AZUREGW_SRC_GATEWAY_COMPLETION_JSON_H_
#define AZUREGW_SRC_GATEWAY_COMPLETION_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/pipeline/session_events.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

enum class CompletionKind { kChat, kText };

struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string prompt;
  int max_tokens = 0;  // 0: the model's maximum.
  bool stream = false;
};

// Errors, all not_run: kMalformedJson, kInvalidField.
Result<CompletionRequest> ParseCompletionRequest(CompletionKind kind, std::string_view body);

// What all parts of one answer repeat.
struct AnswerHead {
  CompletionKind kind = CompletionKind::kChat;
  std::string request_id;
  std::string model;
  int64_t created_s = 0;  // Unix time.
};

std::string FinishReasonName(FinishReason reason);

// One server-sent event with its id line; `resume_token` is empty when it has not changed.
std::string TokenEvent(const AnswerHead& head, int position, const std::string& text,
                       const std::string& resume_token);
std::string FinishEvent(const AnswerHead& head, const Finish& finish);
std::string ErrorEvent(const std::string& error_body);
std::string DoneEvent();

std::string WholeAnswer(const AnswerHead& head, const std::string& text, const Finish& finish);

// The error body of docs/design.md, section 12.
std::string ErrorBody(const Error& error, const std::string& request_id);

std::string ModelList(const Preset& preset);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_COMPLETION_JSON_H_
