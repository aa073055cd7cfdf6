// Entry point of the adapter in platform/.

#ifndef AZUREGW_SERVE_PLATFORM_GATEWAY_H_
#define AZUREGW_SERVE_PLATFORM_GATEWAY_H_

namespace azuregw {

// Runs an instance with the settings that the platform provides; returns the process's exit code.
int RunPlatformGateway();

}  // namespace azuregw

#endif  // AZUREGW_SERVE_PLATFORM_GATEWAY_H_
