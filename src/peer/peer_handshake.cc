// Challenge-response with HMAC-SHA256.

#include "azuregw/peer/peer_handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>
#include <utility>

namespace azuregw {
namespace {

constexpr size_t kProofBytes = 32;
constexpr size_t kMaxNameBytes = 200;

// Length-prefixed, so that no two different inputs have the same bytes.
void AppendField(std::string* message, std::string_view field) {
  message->append(std::to_string(field.size()));
  message->push_back(':');
  message->append(field);
}

std::string_view AsText(const std::vector<uint8_t>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

Error Foreign(const char* message) { return NotRun(ResultCode::kFrameForeign, message); }

}  // namespace

PeerHandshake::PeerHandshake(Role role, PeerIdentity self, std::string key,
                             std::vector<uint8_t> nonce)
    : m_role(role), m_self(std::move(self)), m_key(std::move(key)), m_nonce(std::move(nonce)) {
  assert(m_nonce.size() == kNonceBytes);
}

wire::HelloT PeerHandshake::FirstHello() const {
  assert(m_role == Role::kConnector);
  wire::HelloT hello;
  hello.name = m_self.name;
  hello.address = m_self.address;
  hello.nonce = m_nonce;
  return hello;
}

Result<std::optional<wire::HelloT>> PeerHandshake::OnHello(const wire::HelloT& hello) {
  if (m_done) {
    return Foreign("Hello on an open connection");
  }
  if (m_peer_nonce.empty()) {
    if (hello.name.empty() || hello.name.size() > kMaxNameBytes ||
        hello.address.size() > kMaxNameBytes || hello.nonce.size() != kNonceBytes) {
      return Foreign("malformed Hello");
    }
    m_peer = PeerIdentity{hello.name, hello.address};
    m_peer_nonce = hello.nonce;
  }
  return m_role == Role::kConnector ? OnAcceptorHello(hello) : OnConnectorHello(hello);
}

Result<std::optional<wire::HelloT>> PeerHandshake::OnAcceptorHello(const wire::HelloT& hello) {
  const std::vector<uint8_t> expected = Proof(Role::kAcceptor);
  if (hello.proof.size() != kProofBytes ||
      CRYPTO_memcmp(hello.proof.data(), expected.data(), kProofBytes) != 0) {
    return NotRun(ResultCode::kPeerUnauthenticated, "wrong proof from " + m_peer.name);
  }
  m_done = true;
  wire::HelloT reply;
  reply.proof = Proof(Role::kConnector);
  return std::optional<wire::HelloT>(std::move(reply));
}

Result<std::optional<wire::HelloT>> PeerHandshake::OnConnectorHello(const wire::HelloT& hello) {
  if (!hello.nonce.empty()) {
    if (hello.nonce != m_peer_nonce || !hello.proof.empty()) {
      return Foreign("second challenge on one connection");
    }
    wire::HelloT reply;
    reply.name = m_self.name;
    reply.address = m_self.address;
    reply.nonce = m_nonce;
    reply.proof = Proof(Role::kAcceptor);
    return std::optional<wire::HelloT>(std::move(reply));
  }
  const std::vector<uint8_t> expected = Proof(Role::kConnector);
  if (hello.proof.size() != kProofBytes ||
      CRYPTO_memcmp(hello.proof.data(), expected.data(), kProofBytes) != 0) {
    return NotRun(ResultCode::kPeerUnauthenticated, "wrong proof from " + m_peer.name);
  }
  m_done = true;
  return std::optional<wire::HelloT>();
}

std::vector<uint8_t> PeerHandshake::Proof(Role author) const {
  const bool connector = m_role == Role::kConnector;
  const PeerIdentity& first = connector ? m_self : m_peer;
  const PeerIdentity& second = connector ? m_peer : m_self;
  std::string message;
  AppendField(&message, author == Role::kConnector ? "azuregw connector" : "azuregw acceptor");
  AppendField(&message, AsText(connector ? m_nonce : m_peer_nonce));
  AppendField(&message, AsText(connector ? m_peer_nonce : m_nonce));
  AppendField(&message, first.name);
  AppendField(&message, first.address);
  AppendField(&message, second.name);
  AppendField(&message, second.address);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
       &size);
  return std::vector<uint8_t>(digest.begin(), digest.begin() + size);
}

}  // namespace azuregw
