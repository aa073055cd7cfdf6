// PeerTransport over TCP (Boost.Asio) with one I/O thread.

#ifndef AZUREGW_PEER_TCP_PEER_TRANSPORT_H_
#define AZUREGW_PEER_TCP_PEER_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/peer/peer_transport.h"

namespace azuregw {

struct TcpPeerOptions {
  std::string name;                                 // Of this instance; unique among instances.
  std::string listen_address;                       // "IP:port"; port 0 lets the kernel choose.
  std::string key;                                  // Shared by all instances, from the settings.
  size_t max_queue_bytes = size_t{5} << 20;         // Per peer; one frame of 4 MB fits.
  size_t max_total_queue_bytes = size_t{16} << 20;  // Over all peers.
  size_t max_connections = 2048;
  Milliseconds handshake_timeout{2000};  // From the start of a connection until it is open.
  Milliseconds write_timeout{10000};     // Without progress of a started write.
  Milliseconds idle_timeout{600000};
  Milliseconds first_backoff{100};
  Milliseconds max_backoff{3000};
  // Called on the I/O thread when a connection is closed with a code (6001 to 6006). May be empty.
  std::function<void(ResultCode code, const std::string& remote)> on_fault;
};

std::unique_ptr<PeerTransport> MakeTcpPeerTransport(TcpPeerOptions options);

}  // namespace azuregw

#endif  // AZUREGW_PEER_TCP_PEER_TRANSPORT_H_
