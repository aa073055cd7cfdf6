// Addresses on Boost.Asio.

#include "azuregw/net/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

namespace azuregw {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  error_code error;
  const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
  const std::string port_text(text.substr(colon + 1));
  if (error || port_text.empty() || port_text.size() > 5 ||
      port_text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int port = std::stoi(port_text);
  if (port < 1 || port > 65535) {
    return std::nullopt;
  }
  return tcp::endpoint(address, static_cast<uint16_t>(port));
}

std::string EndpointText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Result<void> OpenAcceptor(const tcp::endpoint& endpoint, std::string_view use,
                          tcp::acceptor* acceptor) {
  error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) {
    acceptor->set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor->bind(endpoint, error);
  }
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return NotRun(ResultCode::kPortInUse,
                  std::string(use) + ", " + EndpointText(endpoint) + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace azuregw
