// Messages between instances over authenticated, framed TCP connections.
//
// A payload is one FlatBuffers Envelope of schemas/peer.fbs. Delivery is at most once and unordered
// over reconnects; senders repeat what matters (anti-entropy, request timeouts).

#ifndef AZUREGW_PEER_PEER_TRANSPORT_H_
#define AZUREGW_PEER_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <string>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

class PeerTransport {
 public:
  // `peer` is the authenticated name of the sender. Runs on a transport thread and must not block.
  using Handler = std::function<void(const std::string& peer, gsl::span<const uint8_t> payload)>;

  virtual ~PeerTransport() = default;
  // Must be called once, before Start.
  virtual void SetHandler(Handler handler) = 0;
  // Errors: kPortInUse.
  virtual Result<void> Start() = 0;
  virtual void Stop() = 0;
  // The bound address "IP:port"; valid after Start.
  virtual std::string ListenAddress() const = 0;
  // Queues a payload to the peer at `address`, connecting if needed. Drops it when the queue is
  // full or the peer is unreachable. Thread-safe.
  virtual void Send(const std::string& address, std::vector<uint8_t> payload) = 0;
  // Bytes sent and received since the start, frames included.
  virtual uint64_t BytesSent() const = 0;
  virtual uint64_t BytesReceived() const = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_PEER_PEER_TRANSPORT_H_
