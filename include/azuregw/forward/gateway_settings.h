// What an instance on a platform is told at its start: who it is, where it listens, its limits and
// the bounds it must keep.

#ifndef AZUREGW_FORWARD_GATEWAY_SETTINGS_H_
#define AZUREGW_FORWARD_GATEWAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "azuregw/base/clock.h"

namespace azuregw {

struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  boost::asio::ip::tcp::endpoint caller_address;
  boost::asio::ip::tcp::endpoint readiness_address;
  boost::asio::ip::tcp::endpoint peer_address;
  boost::asio::ip::tcp::endpoint store_address;
  // Processor time of the instance, in cores.
  double cpu_share = 1;
  // Stops are forced this long after they were asked for.
  Milliseconds stop_grace{8000};
  // Keys may be honoured at most this long after their removal; 0: no bound.
  Milliseconds key_removal_bound{0};
  // Upstreams that are leaving must get no new work this long after the store knows it.
  Milliseconds leaving_bound{2000};
  // Shared by all instances: repeats per service may reach this share of its requests, and this
  // number more, in any window of this length.
  double retry_budget_ratio = 0.1;
  double retry_budget_slack = 0;
  Milliseconds retry_budget_window{10000};
  // After an engine on its path failed, a request stalls for this long before it is cut off.
  Milliseconds engine_stall_timeout{3000};
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_GATEWAY_SETTINGS_H_
