// A loopback relay between a process and one of its peers that delays, silences or resets what
// passes through it, from outside of both.

#ifndef TESTS_SOAK_FAULT_LINK_H_
#define TESTS_SOAK_FAULT_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "azuregw/base/event_loop.h"

namespace azuregw::soak {

class FaultLink {
 public:
  enum class Trouble {
    kNone,
    kSilent,        // Nothing passes, in either direction; connections stay open.
    kSilentAnswer,  // One-way cut: requests pass, answers do not.
    kDelay,         // Each piece comes 300 ms late.
    kReset,         // Connections are closed, and new ones, too.
  };

  virtual ~FaultLink() = default;
  virtual void SetTrouble(Trouble trouble) = 0;
};

// Accepts at `listen` and connects to `target`. Null when the address cannot be bound.
std::unique_ptr<FaultLink> MakeFaultLink(boost::asio::io_context* io, EventLoop* loop,
                                         const boost::asio::ip::tcp::endpoint& listen,
                                         const boost::asio::ip::tcp::endpoint& target);

}  // namespace azuregw::soak

#endif  // TESTS_SOAK_FAULT_LINK_H_
