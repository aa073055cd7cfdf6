// Rules of RFC 9112, section 6.3, without the leniency that it allows.

#include "azuregw/net/body_framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace azuregw {

namespace beast = boost::beast;
namespace http = beast::http;

std::string_view BodyLengthAmbiguity(const http::fields& fields, unsigned version) {
  const size_t lengths = fields.count(http::field::content_length);
  const size_t codings = fields.count(http::field::transfer_encoding);
  if (codings > 0) {
    if (lengths > 0) {
      return "both a length and a transfer coding";
    }
    if (codings > 1 || !beast::iequals(fields[http::field::transfer_encoding], "chunked")) {
      return "a transfer coding other than chunked";
    }
    if (version < 11) {
      return "a transfer coding in HTTP/1.0";
    }
    return "";
  }
  const auto length = fields[http::field::content_length];
  if (lengths > 1 || !std::all_of(length.begin(), length.end(),
                                  [](char digit) { return digit >= '0' && digit <= '9'; })) {
    return "more than one length";
  }
  return "";
}

}  // namespace azuregw
