// Choice of listening addresses.

#ifndef AZUREGW_BASE_LISTEN_ADDRESS_H_
#define AZUREGW_BASE_LISTEN_ADDRESS_H_

#include <string>

#include "azuregw/base/result.h"

namespace azuregw {

// Returns `address` ("IP:port") with a free port when its port is 0; the cpprestsdk listener can't
// tell which port the kernel chose for it. Also proves that the port can be bound now. Errors:
// kPortInUse.
Result<std::string> ChooseListenAddress(const std::string& address);

}  // namespace azuregw

#endif  // AZUREGW_BASE_LISTEN_ADDRESS_H_
