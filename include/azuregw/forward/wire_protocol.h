// Reads and writes the headers that callers and upstreams use. Implemented by the adapter.

#ifndef AZUREGW_FORWARD_WIRE_PROTOCOL_H_
#define AZUREGW_FORWARD_WIRE_PROTOCOL_H_

#include <boost/beast/http/fields.hpp>
#include <gsl/span>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/path_selector.h"

namespace azuregw {

using HttpFields = boost::beast::http::fields;

// What a caller says about its request.
struct CallerRequest {
  std::string id;
  std::string key;                       // Of a workspace.
  std::optional<Milliseconds> deadline;  // From the arrival of the request.
  double prompt_tokens = 0;
  double max_answer_tokens = 0;
  std::optional<double> expected_answer_tokens;  // The caller's guess; right at the median only.
};

// What an upstream is told beside the caller's own headers.
struct ForwardedRequest {
  Milliseconds time_left{0};
  std::string upstream_id;  // Any other upstream at the address refuses the request.
  std::string workspace;    // Empty: none.
  gsl::span<const PathHop> path;
  std::optional<std::string> resume_after;  // Id of the last event that the caller has.
};

struct UpstreamResponse {
  std::string request_id;
  bool sealed = false;        // Bears the mark of an upstream's own answer.
  bool not_run = false;       // The upstream states that it has not run the request.
  std::string fault_address;  // Of the engine that caused the refusal; empty: the upstream itself.
  std::optional<int> load;    // Requests running and waiting at the upstream.
};

class WireProtocol {
 public:
  virtual ~WireProtocol() = default;
  virtual CallerRequest ReadCaller(const HttpFields& fields) const = 0;
  // Removes what is between the caller and azuregw only, and adds what upstreams need.
  virtual void WriteForwardedHeaders(const ForwardedRequest& request, HttpFields* fields) const = 0;
  virtual UpstreamResponse ReadResponse(int status, const HttpFields& fields) const = 0;
  virtual std::string_view RequestIdHeader() const = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_WIRE_PROTOCOL_H_
