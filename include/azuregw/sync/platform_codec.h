// Decodes what the platform's store holds about routes and upstreams. Implemented by the adapter.

#ifndef AZUREGW_SYNC_PLATFORM_CODEC_H_
#define AZUREGW_SYNC_PLATFORM_CODEC_H_

#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;
  virtual std::string ConfigKey() const = 0;
  virtual std::string UpstreamPrefix() const = 0;
  // Errors: kPresetInvalid; the message names the field.
  virtual Result<RoutingConfig> DecodeConfig(std::string_view value) const = 0;
  // Errors: kInvalidField, for an entry that names no upstream to use.
  virtual Result<UpstreamRecord> DecodeUpstream(std::string_view key,
                                                std::string_view value) const = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_PLATFORM_CODEC_H_
