// Exchanges load between the instances: each one reports to the holder of the layout duty and gets
// the sum of the others back. The traffic grows with the instances, not with their pairs.

#ifndef AZUREGW_SYNC_LOAD_EXCHANGE_H_
#define AZUREGW_SYNC_LOAD_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "azuregw/base/event_loop.h"
#include "azuregw/base/result.h"
#include "azuregw/fleet/load_ledger.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/logging/decision_log.h"
#include "azuregw/placement/duty_lease.h"

namespace azuregw {

class LoadExchange {
 public:
  virtual ~LoadExchange() = default;
  virtual void Start() = 0;
  // How many instances share the load; nullopt while the load of the others is not known.
  virtual std::optional<int> Instances() const = 0;
};

// All arguments must outlive the exchange. Errors: kPortInUse.
Result<std::unique_ptr<LoadExchange>> MakeLoadExchange(boost::asio::io_context* io, EventLoop* loop,
                                                       const GatewaySettings& settings,
                                                       const DutyLease* duty, Fleet* fleet,
                                                       DecisionLog* log);

}  // namespace azuregw

#endif  // AZUREGW_SYNC_LOAD_EXCHANGE_H_
