// Memory that the head of a message takes once it is parsed.

#ifndef AZUREGW_NET_HEAD_MEMORY_H_
#define AZUREGW_NET_HEAD_MEMORY_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <iterator>

namespace azuregw {

// Memory of a parsed field beside its bytes on the wire. The library keeps each field in a node of
// its own, so that a field of four bytes takes twenty times as much.
constexpr uint64_t kFieldNodeBytes = 96;
// Bytes of the shortest field: a name, a colon and a line end.
constexpr uint64_t kMinFieldBytes = 4;

// Returns the memory of a head of `bytes` on the wire that has been parsed into `fields`.
inline uint64_t HeadMemoryBytes(const boost::beast::http::fields& fields, uint64_t bytes) {
  return bytes +
         static_cast<uint64_t>(std::distance(fields.begin(), fields.end())) * kFieldNodeBytes;
}

// Returns the most that a head of `bytes` on the wire can take.
constexpr uint64_t MaxHeadMemoryBytes(uint64_t bytes) {
  return bytes + bytes / kMinFieldBytes * kFieldNodeBytes;
}

}  // namespace azuregw

#endif  // AZUREGW_NET_HEAD_MEMORY_H_
