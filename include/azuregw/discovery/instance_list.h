// The platform's list of instances and upstreams. It lags, so membership only starts from it.

#ifndef AZUREGW_DISCOVERY_INSTANCE_LIST_H_
#define AZUREGW_DISCOVERY_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

enum class ListedRole { kInstance, kEngine, kService };

struct ListedInstance {
  std::string name;
  ListedRole role = ListedRole::kInstance;
  std::string address;        // "IP:port"; the peer address for kInstance.
  std::string admin_address;  // "IP:port"; only for kInstance.
  std::string failure_domain;
  bool leaving = false;
};

class InstanceList {
 public:
  virtual ~InstanceList() = default;
  // Blocks for at most the backend's call timeout. Thread-safe. Errors: kListUnavailable.
  virtual Result<std::vector<ListedInstance>> Fetch() = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_DISCOVERY_INSTANCE_LIST_H_
