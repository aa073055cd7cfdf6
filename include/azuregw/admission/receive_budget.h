// Bounds what the connections of callers take from an instance: memory and descriptors.
//
// Load pattern: callers that the operator does not control open many connections, send heads or
// bodies of legal size, stop short of the end and stay, or do not read their responses. Each
// request is legal, all together exceed the memory of the machine. The budget is shared by all
// connections. When it is used up, unfinished requests that make the least progress are rejected
// first; a complete request is never rejected for it. Others send one whole request each, get an
// error and stay: connections are closed by what they do now, and a request that was complete once
// does not protect them.
//
// Decision module: no I/O, single-threaded. Calls for connections that were removed have no effect.

#ifndef AZUREGW_ADMISSION_RECEIVE_BUDGET_H_
#define AZUREGW_ADMISSION_RECEIVE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

class ReceiveBudget {
 public:
  using ConnectionId = uint64_t;

  // Progress of a request is counted in steps of this size, so that single bytes are none.
  static constexpr uint64_t kProgressBytes = uint64_t{16} << 10;
  // A connection that holds more than this is a large one. Large ones may use all but
  // kOrdinaryShare of the budget.
  static constexpr uint64_t kOrdinaryBytes = uint64_t{64} << 10;
  static constexpr double kOrdinaryShare = 0.25;
  // Once the budget is exceeded, connections are closed until this share of it is in use, so that
  // the next bytes do not search again.
  static constexpr double kUseAfterEviction = 0.9;
  // Memory of the machine that is left to the budget. The process itself takes 15 to 125 MB,
  // depending on the size of the deployment.
  static constexpr double kMemoryShare = 0.25;
  // Sockets that are left to callers; the others are for upstreams, instances and the store.
  static constexpr double kSocketShare = 0.75;
  // Descriptors that the platform keeps for files.
  static constexpr int kFileDescriptors = 200;
  // Memory of a connection that holds nothing. Bounds the connections on machines with many
  // descriptors and little memory.
  static constexpr uint64_t kConnectionBytes = uint64_t{8} << 10;

  struct Limits {
    uint64_t bytes = 0;
    size_t connections = 0;
  };
  // Derives the limits from the memory and the descriptors of a machine.
  static Limits LimitsOf(uint64_t memory_bytes, int max_descriptors);

  // What a connection is doing.
  enum class Phase {
    kIdle,       // Waits for a request.
    kReceiving,  // A request is incomplete.
    kServing     // A request is complete and not answered yet.
  };

  explicit ReceiveBudget(Limits limits) : m_limits(limits) {}

  // Adds a connection. Returns the connection to close in exchange, the one that has waited for its
  // caller for the longest time, or `id` itself if no other one waits; nullopt if there is room.
  std::optional<ConnectionId> Add(ConnectionId id, TimePoint now);
  void Remove(ConnectionId id);

  // Records a change of phase.
  void SetPhase(ConnectionId id, Phase phase, TimePoint now);
  // Records that `bytes` of the current request have been received in total.
  void OnReceived(ConnectionId id, uint64_t bytes, TimePoint now);
  // Records that the caller has accepted bytes of a response.
  void OnSent(ConnectionId id, TimePoint now);
  // Sets the memory that a connection holds. `unsent`: part of it that waits for the caller to
  // read. Returns the connections to close so that the budget holds; may include `id`.
  std::vector<ConnectionId> SetHeld(ConnectionId id, uint64_t bytes, uint64_t unsent);

  // Returns the connections whose caller has accepted no byte of a response for `limit`.
  std::vector<ConnectionId> NotReading(Milliseconds limit, TimePoint now) const;

  // Returns the memory that all connections hold.
  uint64_t HeldBytes() const { return m_held; }
  const Limits& MaxUse() const { return m_limits; }
  // Returns the largest request that one caller alone may send.
  uint64_t LargestRequest() const {
    return static_cast<uint64_t>(static_cast<double>(m_limits.bytes) * (1 - kOrdinaryShare));
  }

 private:
  struct Connection {
    Phase phase = Phase::kIdle;
    uint64_t held = 0;
    uint64_t unsent = 0;
    uint64_t steps = 0;     // Steps of kProgressBytes of the current request.
    TimePoint progress_at;  // Last step, change of phase, or bytes accepted by the caller.
  };

  // Returns whether the connection is waiting for its caller and holds memory.
  static bool IsEvictable(const Connection& connection) {
    return connection.phase == Phase::kReceiving || connection.unsent > 0;
  }

  const Limits m_limits;
  std::unordered_map<ConnectionId, Connection> m_connections;
  uint64_t m_held = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_RECEIVE_BUDGET_H_
