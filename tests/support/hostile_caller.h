// Connection of an untrusted caller that breaks the limits of an instance.

#ifndef TESTS_SUPPORT_HOSTILE_CALLER_H_
#define TESTS_SUPPORT_HOSTILE_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace azuregw::testing {

// What the caller sends on its connection.
struct HostileRequest {
  std::string head;
  std::string piece;         // Sent after the head, again and again.
  uint64_t piece_bytes = 0;  // Total of the pieces; the connection then stays open.
  bool reads = true;         // Reads what the instance sends.
};

// Sends until it is closed or has sent everything. Destroying it closes the connection.
class HostileCaller {
 public:
  virtual ~HostileCaller() = default;
  // Returns whether the connection has ended or everything is sent.
  virtual bool Finished() const = 0;
  virtual bool Closed() const = 0;
  // Returns the first bytes received.
  virtual const std::string& Received() const = 0;
};

std::unique_ptr<HostileCaller> MakeHostileCaller(boost::asio::io_context* io,
                                                 const boost::asio::ip::tcp::endpoint& endpoint,
                                                 HostileRequest request);

}  // namespace azuregw::testing

#endif  // TESTS_SUPPORT_HOSTILE_CALLER_H_
