// Mutual challenge-response at the start of a connection between instances. No I/O.
//
// Both sides prove that they know the shared key by an HMAC over the role, both nonces, and both
// names and addresses. The nonce of the other side is fresh, so a recorded Hello proves nothing on
// another connection; the role keeps a proof from being reflected to its author.

#ifndef AZUREGW_PEER_PEER_HANDSHAKE_H_
#define AZUREGW_PEER_PEER_HANDSHAKE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

struct PeerIdentity {
  std::string name;
  std::string address;  // "IP:port" on which the instance accepts connections.
};

class PeerHandshake {
 public:
  enum class Role { kConnector, kAcceptor };
  static constexpr size_t kNonceBytes = 32;

  // `nonce` has kNonceBytes bytes and is used for one connection only.
  PeerHandshake(Role role, PeerIdentity self, std::string key, std::vector<uint8_t> nonce);

  // The connector's first Hello.
  wire::HelloT FirstHello() const;

  // Handles a Hello of the other side; returns the Hello to be sent back, if any. Errors:
  // kPeerUnauthenticated (wrong proof), kFrameForeign (a malformed Hello, or one too many).
  Result<std::optional<wire::HelloT>> OnHello(const wire::HelloT& hello);

  // True when the other side has proved its identity.
  bool IsDone() const { return m_done; }
  const PeerIdentity& Peer() const { return m_peer; }

 private:
  std::vector<uint8_t> Proof(Role author) const;
  Result<std::optional<wire::HelloT>> OnAcceptorHello(const wire::HelloT& hello);
  Result<std::optional<wire::HelloT>> OnConnectorHello(const wire::HelloT& hello);

  const Role m_role;
  const PeerIdentity m_self;
  const std::string m_key;
  const std::vector<uint8_t> m_nonce;
  PeerIdentity m_peer;
  std::vector<uint8_t> m_peer_nonce;  // Empty until the first Hello of the other side.
  bool m_done = false;
};

}  // namespace azuregw

#endif  // AZUREGW_PEER_PEER_HANDSHAKE_H_
