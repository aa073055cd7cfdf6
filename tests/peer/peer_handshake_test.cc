// Challenge-response between instances.

#include "azuregw/peer/peer_handshake.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace azuregw {
namespace {

using Role = PeerHandshake::Role;

PeerHandshake Side(Role role, const std::string& key, uint8_t nonce) {
  const std::string name = role == Role::kConnector ? "gw-a" : "gw-b";
  return PeerHandshake(role, PeerIdentity{name, "127.0.0.1:1"}, key,
                       std::vector<uint8_t>(PeerHandshake::kNonceBytes, nonce));
}

BOOST_AUTO_TEST_SUITE(peer_handshake)

BOOST_AUTO_TEST_CASE(sides_with_one_key_open) {
  PeerHandshake connector = Side(Role::kConnector, "key", 1);
  PeerHandshake acceptor = Side(Role::kAcceptor, "key", 2);
  const auto challenge = acceptor.OnHello(connector.FirstHello()).value();
  const auto proof = connector.OnHello(*challenge).value();
  BOOST_TEST(!acceptor.IsDone());
  BOOST_TEST(!acceptor.OnHello(*proof).value().has_value());
  BOOST_TEST((acceptor.IsDone() && connector.IsDone()));
  BOOST_TEST(acceptor.Peer().name == "gw-a");
  BOOST_TEST(connector.Peer().name == "gw-b");
}

// Guards against an instance with another key, on either side.
BOOST_AUTO_TEST_CASE(wrong_key_is_refused) {
  PeerHandshake connector = Side(Role::kConnector, "key", 1);
  PeerHandshake acceptor = Side(Role::kAcceptor, "other", 2);
  const auto challenge = acceptor.OnHello(connector.FirstHello()).value();
  BOOST_TEST((connector.OnHello(*challenge).error().code == ResultCode::kPeerUnauthenticated));
  wire::HelloT forged;
  forged.proof = std::vector<uint8_t>(32, 0);
  BOOST_TEST((acceptor.OnHello(forged).error().code == ResultCode::kPeerUnauthenticated));
}

// Guards against a recorded handshake that is sent again on a new connection.
BOOST_AUTO_TEST_CASE(replayed_hello_is_refused) {
  PeerHandshake connector = Side(Role::kConnector, "key", 1);
  PeerHandshake acceptor = Side(Role::kAcceptor, "key", 2);
  const wire::HelloT first = connector.FirstHello();
  const auto challenge = acceptor.OnHello(first).value();
  const auto proof = connector.OnHello(*challenge).value();
  PeerHandshake next = Side(Role::kAcceptor, "key", 3);
  BOOST_TEST(!next.OnHello(first).has_error());
  BOOST_TEST((next.OnHello(*proof).error().code == ResultCode::kPeerUnauthenticated));
  PeerHandshake next_connector = Side(Role::kConnector, "key", 4);
  BOOST_TEST((next_connector.OnHello(*challenge).error().code == ResultCode::kPeerUnauthenticated));
}

// Guards against a proof that is sent back to the side that made it.
BOOST_AUTO_TEST_CASE(reflected_proof_is_refused) {
  PeerHandshake acceptor = Side(Role::kAcceptor, "key", 2);
  const auto challenge = acceptor.OnHello(Side(Role::kConnector, "key", 1).FirstHello()).value();
  wire::HelloT reflected;
  reflected.proof = challenge->proof;
  BOOST_TEST((acceptor.OnHello(reflected).error().code == ResultCode::kPeerUnauthenticated));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
