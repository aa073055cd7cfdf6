// Choice of the upstream of a service call: the less loaded of two random ones.
//
// Load means calls of this instance in flight, relative to the capacity. Reports of the services
// lag, so that several instances that followed them would all choose the same upstream.

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

// Thread-safe.
class UpstreamPicker {
 public:
  explicit UpstreamPicker(std::unique_ptr<Random> random) : m_random(std::move(random)) {}

  // An upstream of the service that is neither leaving nor in `excluded`; null when there is none.
  // The result lives as long as the snapshot's preset. Counts it as in flight until End.
  const ServiceUpstreamSpec* Start(const Snapshot& snapshot, const std::string& service,
                                   const std::set<std::string>& excluded);
  void End(const std::string& upstream);

 private:
  double Load(const ServiceUpstreamSpec& upstream) const;

  std::mutex m_mutex;  // Guards all members.
  std::unique_ptr<Random> m_random;
  std::map<std::string, int> m_in_flight;
};

}  // namespace azuregw

#endif  // ORDERS_UPSTREAM_PICKER_H_
