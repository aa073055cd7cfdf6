// List of instances over HTTP; the wire format is in docs/assumptions.md.

#ifndef AZUREGW_DISCOVERY_HTTP_INSTANCE_LIST_H_
#define AZUREGW_DISCOVERY_HTTP_INSTANCE_LIST_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/discovery/instance_list.h"

namespace azuregw {

std::unique_ptr<InstanceList> MakeHttpInstanceList(const std::string& address,
                                                   Milliseconds call_timeout);

// Entries without a name or of an unknown role are left out. Errors: kListUnavailable when the text
// is no list.
Result<std::vector<ListedInstance>> DecodeInstanceList(std::string_view text);

}  // namespace azuregw

#endif  // AZUREGW_DISCOVERY_HTTP_INSTANCE_LIST_H_
