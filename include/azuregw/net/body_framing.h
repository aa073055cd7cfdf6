// Check of the header fields that decide where the body of a message ends.
//
// A head that two readers may understand differently lets one message hide inside the body of
// another one. All readers of HTTP messages refuse such a head and close its connection: those of
// callers, upstreams, the store and the platform's probes.

#ifndef AZUREGW_NET_BODY_FRAMING_H_
#define AZUREGW_NET_BODY_FRAMING_H_

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace azuregw {

// Returns why the length of the body is ambiguous; empty if it is not. `version` is 10 for HTTP/1.0
// and 11 for HTTP/1.1. The only transfer coding that is read is "chunked".
std::string_view BodyLengthAmbiguity(const boost::beast::http::fields& fields, unsigned version);

}  // namespace azuregw

#endif  // AZUREGW_NET_BODY_FRAMING_H_
