// The TCP transport over real loopback sockets.

#include "azuregw/peer/tcp_peer_transport.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/peer/peer_handshake.h"
#include "tests/fakes/frame_samples.h"

namespace azuregw {
namespace {

using boost::asio::ip::tcp;

// A transport that counts what it receives and the codes of closed connections.
class Endpoint {
 public:
  explicit Endpoint(const std::string& name, const std::string& key = "key",
                    const std::string& address = "127.0.0.1:0") {
    TcpPeerOptions options;
    options.name = name;
    options.listen_address = address;
    options.key = key;
    options.on_fault = [this](ResultCode code, const std::string&) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ++m_faults[code];
      m_changed.notify_all();
    };
    m_transport = MakeTcpPeerTransport(options);
    m_transport->SetHandler([this](const std::string& peer, gsl::span<const uint8_t> payload) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ++m_received[peer];
      m_largest = std::max(m_largest, payload.size());
      m_changed.notify_all();
    });
    BOOST_REQUIRE(!m_transport->Start().has_error());
  }
  ~Endpoint() { m_transport->Stop(); }

  PeerTransport& Transport() { return *m_transport; }
  std::string Address() const { return m_transport->ListenAddress(); }
  void Send(const Endpoint& to, const std::vector<uint8_t>& payload) {
    m_transport->Send(to.Address(), payload);
  }
  bool WaitFor(const std::function<bool()>& condition) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, std::chrono::seconds(30), condition);
  }
  bool WaitReceived(const std::string& peer, int count) {
    return WaitFor([&] { return m_received[peer] >= count; });
  }
  bool WaitFault(ResultCode code) {
    return WaitFor([&] { return m_faults[code] > 0; });
  }
  int Faults(ResultCode code) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults[code];
  }
  size_t Largest() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_largest;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, int> m_received;
  std::map<ResultCode, int> m_faults;
  size_t m_largest = 0;
  std::unique_ptr<PeerTransport> m_transport;
};

// A plain client that writes bytes and waits until the other side closes.
class RawClient {
 public:
  explicit RawClient(const std::string& address) : m_socket(m_context) {
    const size_t colon = address.rfind(':');
    m_socket.connect(tcp::endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                                   static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))));
  }
  void Write(const std::vector<uint8_t>& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
  }
  // Reads one payload; empty when the connection was closed.
  std::vector<uint8_t> ReadPayload() {
    FrameDecoder decoder(kMaxFramePayloadBytes);
    while (true) {
      uint8_t buffer[4096];
      boost::system::error_code error;
      const size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
      if (error) {
        return {};
      }
      decoder.Push(gsl::span<const uint8_t>(buffer, bytes));
      const auto next = decoder.Next();
      if (next.value()) {
        return *next.value();
      }
    }
  }
  // Opens the connection as the instance "raw".
  void Authenticate() {
    PeerHandshake handshake(PeerHandshake::Role::kConnector, {"raw", "127.0.0.1:1"}, "key",
                            std::vector<uint8_t>(PeerHandshake::kNonceBytes, 9));
    WriteHello(handshake.FirstHello());
    const std::vector<uint8_t> payload = ReadPayload();
    wire::EnvelopeT envelope;
    wire::GetEnvelope(payload.data())->UnPackTo(&envelope);
    WriteHello(*handshake.OnHello(*envelope.body.AsHello()).value());
  }
  void WriteHello(const wire::HelloT& hello) {
    Write(EncodeFrame(EncodeEnvelope(MakeEnvelope(hello))));
  }

 private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
};

const std::vector<uint8_t>& Payload() {
  static const auto* const payload = new std::vector<uint8_t>(SamplePayloads()[0]);
  return *payload;
}

BOOST_AUTO_TEST_SUITE(tcp_peer_transport)

BOOST_AUTO_TEST_CASE(messages_arrive_in_both_directions) {
  Endpoint a("gw-a");
  Endpoint b("gw-b");
  a.Send(b, Payload());
  BOOST_TEST(b.WaitReceived("gw-a", 1));
  b.Send(a, Payload());
  BOOST_TEST(a.WaitReceived("gw-b", 1));
  BOOST_TEST(a.Transport().BytesSent() > Payload().size());
}

// Guards against frames that are cut or refused near the allowed size.
BOOST_AUTO_TEST_CASE(large_message_arrives_whole) {
  Endpoint a("gw-a");
  Endpoint b("gw-b");
  wire::PresetReplyT reply;
  reply.document = std::string(kMaxFramePayloadBytes - 1000, 'x');
  const std::vector<uint8_t> payload = EncodeEnvelope(MakeEnvelope(std::move(reply)));
  a.Send(b, payload);
  BOOST_TEST(b.WaitReceived("gw-a", 1));
  BOOST_TEST(b.Largest() == payload.size());
}

// Guards against a dead link after the peer's restart at the same address.
BOOST_AUTO_TEST_CASE(link_recovers_after_a_restart_of_the_peer) {
  Endpoint a("gw-a");
  auto b = std::make_unique<Endpoint>("gw-b");
  const std::string address = b->Address();
  a.Transport().Send(address, Payload());
  BOOST_TEST(b->WaitReceived("gw-a", 1));
  b.reset();
  Endpoint again("gw-b", "key", address);
  std::atomic<bool> done{false};
  std::thread sender([&] {
    for (int i = 0; i < 1000 && !done; ++i) {
      a.Transport().Send(address, Payload());
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  BOOST_TEST(again.WaitReceived("gw-a", 1));
  done = true;
  sender.join();
}

// Guards against accepting messages from a process without the key.
BOOST_AUTO_TEST_CASE(other_key_is_refused) {
  Endpoint a("gw-a", "one key");
  Endpoint b("gw-b", "another key");
  a.Send(b, Payload());
  BOOST_TEST(a.WaitFault(ResultCode::kPeerUnauthenticated));
  RawClient client(b.Address());
  client.Write(EncodeFrame(Payload()));
  BOOST_TEST(client.ReadPayload().empty());
  BOOST_TEST(b.WaitFault(ResultCode::kPeerUnauthenticated));
}

// Guards against one broken connection harming another.
BOOST_AUTO_TEST_CASE(faulty_connections_are_closed_with_their_code) {
  Endpoint a("gw-a");
  Endpoint b("gw-b");
  a.Send(b, Payload());
  BOOST_TEST(b.WaitReceived("gw-a", 1));
  const std::string text = "GET / HTTP/1.1\r\n";
  const std::vector<uint8_t> http(text.begin(), text.end());
  RawClient too_large(b.Address());
  too_large.Write(http);  // "GET " read as a length is above the limit.
  BOOST_TEST(b.WaitFault(ResultCode::kFrameTooLarge));
  RawClient foreign(b.Address());
  foreign.Write(EncodeFrame(http));
  BOOST_TEST(b.WaitFault(ResultCode::kFrameForeign));
  RawClient damaged(b.Address());
  damaged.Authenticate();
  std::vector<uint8_t> cut = Payload();
  cut.resize(cut.size() / 2);
  damaged.Write(EncodeFrame(cut));
  BOOST_TEST(damaged.ReadPayload().empty());
  BOOST_TEST(b.WaitFault(ResultCode::kFrameDamaged));
  a.Send(b, Payload());
  BOOST_TEST(b.WaitReceived("gw-a", 2));
}

// Guards against harm from damaged frames on a real socket, on open connections and before the
// handshake: a healthy peer is served all the while.
BOOST_AUTO_TEST_CASE(mutated_frames_over_sockets_do_no_harm) {
  Endpoint a("gw-a");
  Endpoint b("gw-b");
  const auto random = MakeRandom(77);
  const std::vector<std::vector<uint8_t>> samples = SamplePayloads();
  for (int i = 0; i < 3000; ++i) {
    RawClient client(b.Address());
    if (i % 2 == 0) {
      client.Authenticate();
    }
    client.Write(MutatedFrame(samples, random.get()));
    if (i % 100 == 0) {
      a.Send(b, Payload());
    }
  }
  BOOST_TEST(b.WaitReceived("gw-a", 30));
  BOOST_TEST(b.Faults(ResultCode::kFrameDamaged) > 0);
  BOOST_TEST(b.Faults(ResultCode::kPeerUnauthenticated) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
