// Addresses as text, and listening on them.

#ifndef AZUREGW_NET_ENDPOINT_H_
#define AZUREGW_NET_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/base/result.h"

namespace azuregw {

// Reads "IP:port" with an IPv4 address. Returns nullopt when the text is no such address.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint);

// Opens, binds and listens. Errors: kPortInUse; the message begins with `use`.
Result<void> OpenAcceptor(const boost::asio::ip::tcp::endpoint& endpoint, std::string_view use,
                          boost::asio::ip::tcp::acceptor* acceptor);

}  // namespace azuregw

#endif  // AZUREGW_NET_ENDPOINT_H_
