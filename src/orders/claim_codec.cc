// JSON form of a shard record: {"g":[[name,newest_ms]],"c":[claim]}. A claim is an array
// [key hash, fingerprint, claim ID, created ms, deadline - created ms, state]; state run appends
// the answer [status, content type, body, form]. Arrays are smaller than objects with field names.

#include <openssl/evp.h>

#include <nlohmann/json.hpp>

#include "azuregw/orders/claim_record.h"

namespace azuregw {
namespace {

using Json = nlohmann::json;

// Form in which the body of an answer is stored. The numbers are part of the record.
enum BodyForm { kText = 0, kBase64 = 1, kOwnKey = 2, kDropped = 3 };

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(3 * (text.size() / 4) + 1, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  if (length < 0) {
    return "";
  }
  size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

// Returns whether the text is valid UTF-8, as JSON strings must be.
bool IsUtf8(const std::string& text) {
  try {
    Json(text).dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

void AppendAnswer(const RecordedAnswer& answer, Json* array) {
  array->push_back(answer.status);
  array->push_back(IsUtf8(answer.content_type) ? answer.content_type : "");
  if (!answer.complete) {
    array->push_back("");
    array->push_back(kDropped);
  } else if (!answer.body_key.empty()) {
    array->push_back(answer.body_key);
    array->push_back(kOwnKey);
  } else if (IsUtf8(answer.body)) {
    array->push_back(answer.body);
    array->push_back(kText);
  } else {
    array->push_back(Base64(answer.body));
    array->push_back(kBase64);
  }
}

RecordedAnswer ReadAnswer(const Json& array) {
  RecordedAnswer answer;
  answer.status = array.at(6).get<int>();
  answer.content_type = array.at(7).get<std::string>();
  const auto text = array.at(8).get<std::string>();
  switch (array.at(9).get<int>()) {
    case kText:
      answer.body = text;
      break;
    case kBase64:
      answer.body = FromBase64(text);
      break;
    case kOwnKey:
      answer.body_key = text;
      break;
    default:
      answer.complete = false;
  }
  return answer;
}

Json ToJson(const Claim& claim) {
  Json array = Json::array({claim.key_hash, claim.fingerprint, claim.claim_id, claim.created_ms,
                            claim.deadline_ms - claim.created_ms, static_cast<int>(claim.state)});
  if (claim.state == ClaimState::kRun && claim.answer) {
    AppendAnswer(*claim.answer, &array);
  }
  return array;
}

// Parses a claim. Throws Json::exception if the array is malformed.
Claim FromJson(const Json& array) {
  Claim claim;
  claim.key_hash = array.at(0).get<std::string>();
  claim.fingerprint = array.at(1).get<std::string>();
  claim.claim_id = array.at(2).get<std::string>();
  claim.created_ms = array.at(3).get<int64_t>();
  claim.deadline_ms = claim.created_ms + array.at(4).get<int64_t>();
  claim.state = static_cast<ClaimState>(array.at(5).get<int>());
  if (array.size() > 6) {
    claim.answer = ReadAnswer(array);
  }
  return claim;
}

}  // namespace

std::string EncodeAnswerBody(const std::string& body) {
  return IsUtf8(body) ? "t" + body : "b" + Base64(body);
}

std::string DecodeAnswerBody(const std::string& value) {
  if (value.empty()) {
    return "";
  }
  return value[0] == 'b' ? FromBase64(value.substr(1)) : value.substr(1);
}

std::string ClaimRecord::Encode() const {
  Json generations = Json::array();
  for (const GenerationRef& generation : m_generations) {
    generations.push_back(Json::array({generation.name, generation.newest_ms}));
  }
  Json claims = Json::array();
  for (const auto& [key_hash, claim] : m_claims) {
    claims.push_back(ToJson(claim));
  }
  return Json{{"g", std::move(generations)}, {"c", std::move(claims)}}.dump();
}

Result<ClaimRecord> ClaimRecord::Decode(std::string_view text) {
  try {
    const Json document = Json::parse(text);
    ClaimRecord record;
    for (const Json& generation : document.at("g")) {
      record.m_generations.push_back(
          GenerationRef{generation.at(0).get<std::string>(), generation.at(1).get<int64_t>()});
    }
    for (const Json& array : document.at("c")) {
      Claim claim = FromJson(array);
      record.m_claims.emplace(claim.key_hash, std::move(claim));
    }
    return record;
  } catch (const Json::exception& e) {
    return Unknown(ResultCode::kMalformedJson, std::string("shard record: ") + e.what());
  }
}

}  // namespace azuregw
