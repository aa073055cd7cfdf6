// `azuregw serve`: runs an instance until it is told to stop.

#ifndef AZUREGW_SERVE_SERVE_H_
#define AZUREGW_SERVE_SERVE_H_

#include "azuregw/config/settings.h"
#include "azuregw/serve/instance.h"

namespace azuregw {

// Blocks until the end of the shutdown and returns the exit code of the process. The calling thread
// must be the only one, because signals are blocked before threads start.
int RunServe(const Settings& settings, const InstanceOptions& options = InstanceOptions());

}  // namespace azuregw

#endif  // AZUREGW_SERVE_SERVE_H_
