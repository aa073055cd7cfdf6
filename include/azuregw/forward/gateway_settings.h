// Start-up settings of an instance on a platform.

#ifndef AZUREGW_FORWARD_GATEWAY_SETTINGS_H_
#define AZUREGW_FORWARD_GATEWAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "azuregw/base/clock.h"

namespace azuregw {

// Identity, addresses, limits and service-level bounds of an instance.
struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  boost::asio::ip::tcp::endpoint caller_address;
  boost::asio::ip::tcp::endpoint readiness_address;
  boost::asio::ip::tcp::endpoint peer_address;
  boost::asio::ip::tcp::endpoint store_address;
  // CPU time available to the instance, in cores.
  double cpu_share = 1;
  // Memory beyond which the platform kills the process. The default suits deployments that state
  // none; smaller machines have to state theirs.
  uint64_t memory_bytes = uint64_t{512} << 20;
  // Descriptors that the process may have open.
  int max_descriptors = 4096;
  // Bandwidth of the instance's network link, in Mbit/s.
  double link_mbps = 1000;
  // Time after a stop signal at which the process exits even if requests are still running.
  Milliseconds stop_grace{8000};
  // Longest time for which a removed API key may still be accepted; 0 means no bound.
  Milliseconds key_removal_bound{0};
  // Time after the store marks an upstream as leaving from which it must get no new requests.
  Milliseconds leaving_bound{2000};
  // Interval at which upstreams write their entries in the store.
  Milliseconds heartbeat{1200};
  // Retry budget of each service, shared by all instances: in any window of `retry_budget_window`,
  // retries may reach `retry_budget_ratio` of the requests plus `retry_budget_slack`.
  double retry_budget_ratio = 0.1;
  double retry_budget_slack = 0;
  Milliseconds retry_budget_window{10000};
  // Time for which a request stalls after an engine on its path failed, before it is aborted.
  Milliseconds engine_stall_timeout{3000};
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_GATEWAY_SETTINGS_H_
