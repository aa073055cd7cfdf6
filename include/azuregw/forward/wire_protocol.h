// Translation between header fields and request metadata. Implemented by the platform adapter.

#ifndef AZUREGW_FORWARD_WIRE_PROTOCOL_H_
#define AZUREGW_FORWARD_WIRE_PROTOCOL_H_

#include <boost/beast/http/fields.hpp>
#include <gsl/span>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/path_selector.h"

namespace azuregw {

using HttpFields = boost::beast::http::fields;

// Metadata of a request from its caller's header fields.
struct CallerRequest {
  std::string id;
  std::string key;                       // API key of a workspace.
  std::optional<Milliseconds> deadline;  // Time limit, counted from the arrival of the request.
  double prompt_tokens = 0;
  double max_answer_tokens = 0;                  // 0: not stated.
  std::optional<double> expected_answer_tokens;  // Estimate by the caller; accurate at the median.
  // IDs of the parts of the prompt that other requests may contain as well, in order.
  std::vector<std::string> shared_parts;
};

// Metadata sent to an upstream in addition to the caller's header fields.
struct ForwardedRequest {
  Milliseconds time_left{0};
  std::string upstream_id;  // A different upstream at the same address refuses the request.
  std::string workspace;    // Empty if the route has no workspace.
  gsl::span<const PathHop> path;
  std::optional<std::string> resume_after;  // ID of the last event that the caller received.
};

// Metadata of a response from its header fields.
struct UpstreamResponse {
  std::string request_id;
  bool sealed = false;        // Carries the seal that proves that an upstream produced it.
  bool not_run = false;       // The upstream states that it did not run the request.
  std::string fault_address;  // Engine that caused the refusal; empty: the responding upstream.
  std::optional<int> load;    // Number of running and queued requests at the upstream.
  // Requests per second that the upstream accepts from all instances together; not stated: any.
  std::optional<double> rate_limit;
  bool leaving = false;  // The upstream is about to exit.
  // Time for which the upstream, which refused the request, wants none from this instance.
  std::optional<Milliseconds> retry_after;
};

// Reads and writes the header fields of one platform.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;
  // Parses the header fields of a caller's request.
  virtual CallerRequest ReadCaller(const HttpFields& fields) const = 0;
  // Removes the fields meant only for azuregw and adds those that upstreams need.
  virtual void WriteForwardedHeaders(const ForwardedRequest& request, HttpFields* fields) const = 0;
  // Parses the status and header fields of an upstream's response.
  virtual UpstreamResponse ReadResponse(int status, const HttpFields& fields) const = 0;
  // Returns the name of the header field that carries the request ID.
  virtual std::string_view RequestIdHeader() const = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_WIRE_PROTOCOL_H_
