// Wiring of the traffic side. The gateway, routing, admission and orders are connected here.

#include "serve/traffic.h"

#include <utility>

#include "azuregw/base/listen_address.h"

namespace azuregw {
namespace {

// Serves nothing yet; it only proves that the callers' port is free.
class NoTraffic final : public Traffic {
 public:
  explicit NoTraffic(std::string address) : m_address(std::move(address)) {}

  Result<void> Start() override {
    Result<std::string> chosen = ChooseListenAddress(m_address);
    if (!chosen) {
      return chosen.error();
    }
    m_address = std::move(chosen.value());
    return boost::outcome_v2::success();
  }
  std::string Address() const override { return m_address; }
  void BeginDrain() override {}
  int InProgress() const override { return 0; }
  int FlushOrders(TimePoint /*deadline*/) override { return 0; }
  void Stop() override {}

 private:
  std::string m_address;
};

}  // namespace

std::unique_ptr<Traffic> MakeTraffic(const Settings& settings,
                                     const TrafficDependencies& /*dependencies*/) {
  return std::make_unique<NoTraffic>(settings.caller.address);
}

}  // namespace azuregw
