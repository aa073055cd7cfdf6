// Binds a socket to learn a free port.

#include "azuregw/base/listen_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace azuregw {
namespace {

bool ParseAddress(const std::string& address, sockaddr_in* out) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::memset(out, 0, sizeof(*out));
  out->sin_family = AF_INET;
  const int port = std::atoi(address.c_str() + colon + 1);
  out->sin_port = htons(static_cast<uint16_t>(port));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out->sin_addr) == 1;
}

Error Refused(const std::string& address, const char* step) {
  return NotRun(ResultCode::kPortInUse,
                "cannot listen on " + address + ": " + step + ": " + std::strerror(errno));
}

}  // namespace

Result<std::string> ChooseListenAddress(const std::string& address) {
  sockaddr_in wanted;
  if (!ParseAddress(address, &wanted)) {
    return NotRun(ResultCode::kSettingsInvalid, "not an \"IP:port\" address: " + address);
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Refused(address, "socket");
  }
  // As the listeners do, so that a connection in TIME_WAIT does not look like a port in use.
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  Result<std::string> result = Refused(address, "bind");
  if (bind(fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) == 0 &&
      listen(fd, 1) == 0) {
    sockaddr_in bound;
    socklen_t length = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
    result = address.substr(0, address.rfind(':')) + ":" + std::to_string(ntohs(bound.sin_port));
  } else {
    result = Refused(address, "bind");
  }
  close(fd);
  return result;
}

}  // namespace azuregw
