// Fakes of the gateway's dependencies, and a server on the loopback.

#include "tests/gateway/gateway_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <thread>

namespace azuregw::testing {
namespace {

// SHA-256 of "key".
constexpr char kKeyDigest[] = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";

}  // namespace

GatewayFixture::GatewayFixture() {
  auto preset = std::make_shared<Preset>();
  preset->models["design"] = ModelSpec{2, 16, ActivationTransfer::kHandle};
  preset->services["bookings"] = ServiceSpec();
  preset->workspaces["ws"].key_sha256 = kKeyDigest;
  preset->workspaces["other"].key_sha256 = std::string(64, 'a');
  preset->limits.max_body_bytes = 4096;
  snapshots.snapshot->preset = preset;
  CallerServerOptions options;
  options.address = "127.0.0.1:0";
  options.max_stream_buffer_bytes = 16384;
  auto made = MakeCallerServer(options, Dependencies());
  if (made) {
    server = std::move(made.value());
  }
}

GatewayDependencies GatewayFixture::Dependencies() {
  GatewayDependencies dependencies;
  dependencies.snapshots = &snapshots;
  dependencies.admission = &admission;
  dependencies.runner = &runner;
  dependencies.orders = &orders;
  dependencies.refusals = &refusals;
  dependencies.events = &events;
  dependencies.metrics = &metrics;
  dependencies.clock = &SystemClock();
  dependencies.not_ready_reason = [this] { return not_ready; };
  return dependencies;
}

std::string RawExchange(const std::string& address, const std::string& bytes, Milliseconds limit) {
  namespace asio = boost::asio;
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  const size_t colon = address.rfind(':');
  const auto port = static_cast<uint16_t>(std::stoi(address.substr(colon + 1)));
  boost::system::error_code error;
  stream.socket().connect({asio::ip::make_address(address.substr(0, colon)), port}, error);
  asio::write(stream.socket(), asio::buffer(bytes), error);
  std::string answer;
  char chunk[4096];
  bool open = !error;
  while (open) {
    stream.expires_after(limit);
    stream.async_read_some(asio::buffer(chunk),
                           [&](const boost::system::error_code& result, size_t count) {
                             answer.append(chunk, count);
                             open = !result;
                           });
    context.restart();
    context.run();
  }
  return answer;
}

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

}  // namespace azuregw::testing
