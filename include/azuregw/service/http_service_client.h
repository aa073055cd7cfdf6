// ServiceClient over HTTP.

#ifndef AZUREGW_SERVICE_HTTP_SERVICE_CLIENT_H_
#define AZUREGW_SERVICE_HTTP_SERVICE_CLIENT_H_

#include <memory>

#include "azuregw/service/service_client.h"

namespace azuregw {

// Each call uses a connection of its own, because cpprestsdk repeats a request on a pooled
// connection that the upstream closed. Destroy it only after all callbacks have run.
std::unique_ptr<ServiceClient> MakeHttpServiceClient();

}  // namespace azuregw

#endif  // AZUREGW_SERVICE_HTTP_SERVICE_CLIENT_H_
