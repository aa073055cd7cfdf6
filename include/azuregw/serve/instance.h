// One running instance: every component, built from the settings.

#ifndef AZUREGW_SERVE_INSTANCE_H_
#define AZUREGW_SERVE_INSTANCE_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/result.h"
#include "azuregw/config/settings.h"
#include "azuregw/routing/chain_selector.h"

namespace azuregw {

struct InstanceAddresses {
  std::string caller;
  std::string admin;
  std::string peer;
};

class Instance {
 public:
  virtual ~Instance() = default;
  // Starts all components. Errors: kPortInUse; components that were started are stopped again.
  virtual Result<void> Start() = 0;
  virtual InstanceAddresses Addresses() const = 0;

  // Not ready from now on; new work is still accepted.
  virtual void BeginDrain() = 0;
  // No new work from now on.
  virtual void StopAccepting() = 0;
  // Requests whose answer is not complete.
  virtual int InProgress() const = 0;
  // Whether an operator asked for a drain through the admin port.
  virtual bool DrainAsked() const = 0;
  // Writes what must be durable and stops all components. Returns the number of outcomes of orders
  // that could not be written.
  virtual int Stop() = 0;
};

struct InstanceOptions {
  // Replaces the chain selector; only benchmark programs set it, to compare policies.
  std::function<std::unique_ptr<ChainSelector>()> make_selector;
};

std::unique_ptr<Instance> MakeInstance(const Settings& settings,
                                       const InstanceOptions& options = InstanceOptions());

}  // namespace azuregw

#endif  // AZUREGW_SERVE_INSTANCE_H_
