// Resume token format: a MessagePack array followed by its HMAC-SHA256, in URL-safe base64.

#include "azuregw/pipeline/resume_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace azuregw {
namespace {

using nlohmann::json;
using Bytes = std::vector<uint8_t>;

constexpr int kVersion = 1;
constexpr size_t kSignatureBytes = 32;
// Exceeds the size of any token from Sign, which has 4 bytes for each of a few thousand outputs at
// most.
constexpr size_t kMaxTokenCharacters = 16384;

std::array<uint8_t, kSignatureBytes> Signature(const std::string& key, const uint8_t* data,
                                               size_t size) {
  std::array<uint8_t, kSignatureBytes> signature{};
  unsigned int length = kSignatureBytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size, signature.data(),
       &length);
  return signature;
}

std::string ToBase64Url(const Bytes& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(&text[0]), bytes.data(),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  text.erase(std::find(text.begin(), text.end(), '='), text.end());
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

// Returns an empty vector if the text is not valid base64.
Bytes FromBase64Url(std::string_view token) {
  std::string text(token);
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  const size_t padding = (4 - text.size() % 4) % 4;
  text.append(padding, '=');
  Bytes bytes(text.size() / 4 * 3 + 1);
  const int length =
      EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < static_cast<int>(padding)) {
    return {};
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

json ToDocument(const ResumeClaims& claims) {
  json stages = json::array();
  for (const ResumeStage& stage : claims.stages) {
    stages.push_back({stage.upstream, stage.range.first, stage.range.last});
  }
  return json::array({kVersion, claims.sequence_id, claims.workspace, claims.model,
                      std::move(stages), claims.point.epochs, claims.point.attempt,
                      claims.point.prompt_tokens, claims.point.outputs, claims.prompt_hash});
}

ResumeClaims FromDocument(const json& document) {
  ResumeClaims claims;
  claims.sequence_id = document.at(1).get<std::string>();
  claims.workspace = document.at(2).get<std::string>();
  claims.model = document.at(3).get<std::string>();
  for (const json& stage : document.at(4)) {
    claims.stages.push_back(
        {stage.at(0).get<std::string>(), {stage.at(1).get<int>(), stage.at(2).get<int>()}});
  }
  claims.point.epochs = document.at(5).get<std::vector<uint32_t>>();
  claims.point.attempt = document.at(6).get<uint32_t>();
  claims.point.prompt_tokens = document.at(7).get<int>();
  claims.point.outputs = document.at(8).get<std::vector<uint32_t>>();
  claims.prompt_hash = document.at(9).get<uint64_t>();
  return claims;
}

Error Invalid(const std::string& reason) {
  return NotRun(ResultCode::kInvalidResumeToken, "resume token: " + reason);
}

}  // namespace

std::string ResumeTokenCodec::Sign(const ResumeClaims& claims) const {
  Bytes bytes = json::to_msgpack(ToDocument(claims));
  const auto signature = Signature(m_key, bytes.data(), bytes.size());
  bytes.insert(bytes.end(), signature.begin(), signature.end());
  return ToBase64Url(bytes);
}

Result<ResumeClaims> ResumeTokenCodec::Verify(std::string_view token) const {
  if (token.size() > kMaxTokenCharacters) {
    return Invalid("the text is too long");
  }
  const Bytes bytes = FromBase64Url(token);
  if (bytes.size() <= kSignatureBytes) {
    return Invalid("not valid base64, or too short");
  }
  const size_t size = bytes.size() - kSignatureBytes;
  const auto signature = Signature(m_key, bytes.data(), size);
  if (CRYPTO_memcmp(signature.data(), bytes.data() + size, kSignatureBytes) != 0) {
    return Invalid("wrong signature");
  }
  try {
    const json document =
        json::from_msgpack(bytes.begin(), bytes.begin() + static_cast<long>(size));
    if (document.at(0) != kVersion) {
      return Invalid("unknown version");
    }
    ResumeClaims claims = FromDocument(document);
    if (claims.stages.empty() || claims.stages.size() != claims.point.epochs.size()) {
      return Invalid("damaged");
    }
    return claims;
  } catch (const json::exception&) {
    return Invalid("damaged");
  }
}

}  // namespace azuregw
