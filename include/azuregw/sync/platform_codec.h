// Interface for decoding the routing configuration and the upstream entries in the platform's
// store.

#ifndef AZUREGW_SYNC_PLATFORM_CODEC_H_
#define AZUREGW_SYNC_PLATFORM_CODEC_H_

#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Maps store keys and values to the gateway's types. Each platform adapter implements it.
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;
  virtual std::string ConfigKey() const = 0;
  virtual std::string UpstreamPrefix() const = 0;
  // Decodes the value at ConfigKey(). Errors: kPresetInvalid; the message names the field.
  virtual Result<RoutingConfig> DecodeConfig(std::string_view value) const = 0;
  // Decodes one entry under UpstreamPrefix(). Errors: kInvalidField, for an entry that does not
  // describe a usable upstream.
  virtual Result<UpstreamRecord> DecodeUpstream(std::string_view key,
                                                std::string_view value) const = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_PLATFORM_CODEC_H_
