// Decodes plain values of the store.

#ifndef TESTS_SUPPORT_TEXT_CODEC_H_
#define TESTS_SUPPORT_TEXT_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "azuregw/sync/platform_codec.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {

// Values are plain: a version for the configuration, "draining" or "ready" for an upstream,
// "foreign" for one of a service that no configuration knows.
class TextCodec final : public PlatformCodec {
 public:
  std::string ConfigKey() const override { return "config"; }
  std::string UpstreamPrefix() const override { return "up/"; }
  Result<RoutingConfig> DecodeConfig(std::string_view value) const override {
    if (value.find_first_not_of("0123456789") != std::string_view::npos) {
      return NotRun(ResultCode::kPresetInvalid, "version: expected a whole number");
    }
    RoutingConfig config;
    config.version = std::stoull(std::string(value));
    return config;
  }
  Result<UpstreamRecord> DecodeUpstream(std::string_view key,
                                        std::string_view value) const override {
    if (value != "ready" && value != "draining" && value != "foreign") {
      return NotRun(ResultCode::kInvalidField, "state");
    }
    UpstreamRecord record = EngineRecordOf(std::string(key.substr(3)), "a", "", std::nullopt);
    record.draining = value == "draining";
    if (value == "foreign") {
      record.service = "foreign";
    }
    return record;
  }
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_TEXT_CODEC_H_
