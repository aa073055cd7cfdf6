// OpenAI-compatible requests and answers.

#include "gateway/completion_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace azuregw {
namespace {

using nlohmann::json;

// nlohmann-json parses nested values recursively; no request of this interface nests deeper.
constexpr int kMaxDepth = 32;

Error InvalidField(const std::string& field, const std::string& expected) {
  return NotRun(ResultCode::kInvalidField, field + " must be " + expected);
}

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ParseBounded(std::string_view body) {
  bool too_deep = false;
  json document = json::parse(
      body,
      [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > kMaxDepth;
        return !too_deep;
      },
      false);
  return too_deep ? json(json::value_t::discarded) : document;
}

// Text of a message's content: a string, or the text parts of an array.
Result<std::string> ContentText(const json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  if (!content.is_array()) {
    return InvalidField("messages[].content", "a string or an array of text parts");
  }
  std::string text;
  for (const json& part : content) {
    const bool is_text = part.is_object() && part.value("type", json()) == "text" &&
                         part.contains("text") && part["text"].is_string();
    if (!is_text) {
      return InvalidField("messages[].content[]", "a text part");
    }
    text += part["text"].get<std::string>();
  }
  return text;
}

// One message gives its text alone; several are joined by lines that name their roles.
Result<std::string> ChatPrompt(const json& document) {
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() || messages->empty()) {
    return InvalidField("messages", "a non-empty array");
  }
  std::string prompt;
  for (const json& message : *messages) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() && message.contains("content");
    if (!valid) {
      return InvalidField("messages[]", "an object with role and content");
    }
    auto text = ContentText(message["content"]);
    if (!text) {
      return text.error();
    }
    if (messages->size() == 1) {
      return text;
    }
    prompt += message["role"].get<std::string>() + ": " + text.value() + "\n";
  }
  return prompt;
}

Result<std::string> TextPrompt(const json& document) {
  const auto prompt = document.find("prompt");
  if (prompt != document.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  if (prompt != document.end() && prompt->is_array() && prompt->size() == 1 &&
      prompt->front().is_string()) {
    return prompt->front().get<std::string>();
  }
  return InvalidField("prompt", "a string");
}

// 0 when the field is absent.
Result<int> MaxTokens(const json& document) {
  for (const char* field : {"max_completion_tokens", "max_tokens"}) {
    const auto value = document.find(field);
    if (value == document.end() || value->is_null()) {
      continue;
    }
    if (!value->is_number_unsigned() || *value == 0U || *value > 1000000000U) {
      return InvalidField(field, "a positive integer");
    }
    return value->get<int>();
  }
  return 0;
}

json Chunk(const AnswerHead& head, json choice) {
  const bool chat = head.kind == CompletionKind::kChat;
  choice["index"] = 0;
  return {{"id", (chat ? "chatcmpl-" : "cmpl-") + head.request_id},
          {"object", chat ? "chat.completion.chunk" : "text_completion"},
          {"created", head.created_s},
          {"model", head.model},
          {"choices", json::array({std::move(choice)})}};
}

json Usage(const Finish& finish) {
  return {{"prompt_tokens", finish.prompt_tokens},
          {"completion_tokens", finish.completion_tokens},
          {"total_tokens", finish.prompt_tokens + finish.completion_tokens}};
}

}  // namespace

Result<CompletionRequest> ParseCompletionRequest(CompletionKind kind, std::string_view body) {
  const json document = ParseBounded(body);
  if (!document.is_object()) {
    return NotRun(ResultCode::kMalformedJson, "the body is not a JSON object");
  }
  CompletionRequest request;
  request.kind = kind;
  const auto model = document.find("model");
  if (model == document.end() || !model->is_string()) {
    return InvalidField("model", "a string");
  }
  request.model = model->get<std::string>();
  auto prompt = kind == CompletionKind::kChat ? ChatPrompt(document) : TextPrompt(document);
  if (!prompt) {
    return prompt.error();
  }
  request.prompt = std::move(prompt.value());
  const auto max_tokens = MaxTokens(document);
  if (!max_tokens) {
    return max_tokens.error();
  }
  request.max_tokens = max_tokens.value();
  const auto stream = document.find("stream");
  if (stream != document.end() && !stream->is_boolean() && !stream->is_null()) {
    return InvalidField("stream", "a boolean");
  }
  request.stream = stream != document.end() && *stream == true;
  const auto choices = document.find("n");
  if (choices != document.end() && !choices->is_null() && *choices != 1) {
    return InvalidField("n", "1");
  }
  return request;
}

std::string FinishReasonName(FinishReason reason) {
  return reason == FinishReason::kStop ? "stop" : "length";
}

std::string TokenEvent(const AnswerHead& head, int position, const std::string& text,
                       const std::string& resume_token) {
  json choice = {{"finish_reason", nullptr}};
  if (head.kind == CompletionKind::kChat) {
    choice["delta"] = {{"content", text}};
    if (position == 0) {
      choice["delta"]["role"] = "assistant";
    }
  } else {
    choice["text"] = text;
  }
  json chunk = Chunk(head, std::move(choice));
  if (!resume_token.empty()) {
    chunk["azuregw"] = {{"resume_token", resume_token}};
  }
  return "id: " + std::to_string(position) + "\ndata: " + Dump(chunk) + "\n\n";
}

std::string FinishEvent(const AnswerHead& head, const Finish& finish) {
  json choice = {{"finish_reason", FinishReasonName(finish.reason)}};
  if (head.kind == CompletionKind::kChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  json chunk = Chunk(head, std::move(choice));
  chunk["usage"] = Usage(finish);
  return "data: " + Dump(chunk) + "\n\n";
}

std::string ErrorEvent(const std::string& error_body) { return "data: " + error_body + "\n\n"; }

std::string DoneEvent() { return "data: [DONE]\n\n"; }

std::string WholeAnswer(const AnswerHead& head, const std::string& text, const Finish& finish) {
  json choice = {{"finish_reason", FinishReasonName(finish.reason)}};
  if (head.kind == CompletionKind::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json answer = Chunk(head, std::move(choice));
  answer["object"] = head.kind == CompletionKind::kChat ? "chat.completion" : "text_completion";
  answer["usage"] = Usage(finish);
  return Dump(answer);
}

std::string ErrorBody(const Error& error, const std::string& request_id) {
  json body = {{"code", static_cast<int>(error.code)},
               {"name", ResultCodeName(error.code)},
               {"message", error.message},
               {"outcome", RunOutcomeName(error.outcome)},
               {"request_id", request_id}};
  if (error.retry_after) {
    body["retry_after_ms"] = error.retry_after->count();
  }
  return Dump({{"error", std::move(body)}});
}

std::string ModelList(const Preset& preset) {
  json models = json::array();
  for (const auto& [name, model] : preset.models) {
    models.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "azuregw"}});
  }
  return Dump({{"object", "list"}, {"data", std::move(models)}});
}

}  // namespace azuregw
