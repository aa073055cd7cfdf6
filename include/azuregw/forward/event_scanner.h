// Cuts a stream of bytes into whole server-sent events and finds their ids. No I/O.
//
// The bytes of an event are never changed; a stream that ends within an event can be told from one
// that ends after it.

#ifndef AZUREGW_FORWARD_EVENT_SCANNER_H_
#define AZUREGW_FORWARD_EVENT_SCANNER_H_

#include <optional>
#include <string>
#include <string_view>

namespace azuregw {

class EventScanner {
 public:
  void Push(std::string_view bytes) { m_pending.append(bytes); }

  // The bytes of all whole events so far, which are taken out. The id of the last of them that has
  // one becomes LastId(). `skip_through` drops events with numeric ids up to and including it.
  std::string TakeCompleteEvents(std::optional<uint64_t> skip_through);

  const std::optional<std::string>& LastId() const { return m_last_id; }
  // Whether bytes of an unfinished event are left.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  void Clear() { m_pending.clear(); }

 private:
  std::string m_pending;
  std::optional<std::string> m_last_id;
};

// The whole number in `text`, if it is one.
std::optional<uint64_t> ParseEventNumber(const std::optional<std::string>& text);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_EVENT_SCANNER_H_
