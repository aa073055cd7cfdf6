// Selection of the upstream of a service call.

#ifndef ORDERS_UPSTREAM_PICKER_H_
#define ORDERS_UPSTREAM_PICKER_H_

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "azuregw/base/random.h"
#include "azuregw/control/snapshot.h"

namespace azuregw {

// Picks the less loaded of two random upstreams of a service.
//
// The load is the number of this instance's calls in flight, relative to the upstream's capacity.
// Load reports of the services are not used: they lag, so that several instances would all choose
// the same upstream.
//
// Thread-safe.
class UpstreamPicker {
 public:
  explicit UpstreamPicker(std::unique_ptr<Random> random) : m_random(std::move(random)) {}

  // Returns an upstream of the service that is neither leaving nor in `excluded`, and counts a call
  // to it as in flight until End; null if there is none. Valid as long as the snapshot's preset.
  const ServiceUpstreamSpec* Start(const Snapshot& snapshot, const std::string& service,
                                   const std::set<std::string>& excluded);
  // Ends a call that Start has counted.
  void End(const std::string& upstream);

 private:
  // Returns the calls in flight relative to the capacity. Requires m_mutex.
  double Load(const ServiceUpstreamSpec& upstream) const;

  std::mutex m_mutex;  // Guards all members.
  std::unique_ptr<Random> m_random;
  std::map<std::string, int> m_in_flight;  // Calls in flight by upstream name.
};

}  // namespace azuregw

#endif  // ORDERS_UPSTREAM_PICKER_H_
