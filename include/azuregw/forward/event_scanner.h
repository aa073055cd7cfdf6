// Incremental parser that splits a byte stream into server-sent events. No I/O.

#ifndef AZUREGW_FORWARD_EVENT_SCANNER_H_
#define AZUREGW_FORWARD_EVENT_SCANNER_H_

#include <optional>
#include <string>
#include <string_view>

namespace azuregw {

// Longest ID of an event. IDs are numbers of a few digits; the ID of the last event is sent to
// another upstream as a header field when a stream resumes.
constexpr size_t kMaxEventIdBytes = 128;

// Splits a byte stream into complete server-sent events and extracts their IDs. The bytes of an
// event are returned unchanged. HasPartialEvent() tells a stream that ends inside an event from one
// that ends at an event boundary.
class EventScanner {
 public:
  // Appends received bytes.
  void Push(std::string_view bytes) { m_pending.append(bytes); }

  // Removes all complete events and returns their bytes. LastId() becomes the ID of the last
  // returned event that has one. Drops events with numeric IDs up to and including `skip_through`.
  // Stops before an event whose ID is longer than kMaxEventIdBytes or holds control characters.
  std::string TakeCompleteEvents(std::optional<uint64_t> skip_through);

  // Returns whether the next event has an invalid ID. No event follows it.
  bool Invalid() const { return m_invalid; }
  // Returns the ID of the last returned event that has one; nullopt if there was none.
  const std::optional<std::string>& LastId() const { return m_last_id; }
  // Returns the number of buffered bytes.
  size_t PendingBytes() const { return m_pending.size(); }
  // Returns whether bytes of an incomplete event are buffered.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  // Returns the number of events returned since the last Clear().
  int Events() const { return m_events; }
  // Discards the buffered bytes and resets Events(); LastId() stays.
  void Clear() {
    m_pending.clear();
    m_scanned = 0;
    m_invalid = false;
    m_events = 0;
  }

 private:
  std::string m_pending;  // Bytes received after the last returned event.
  size_t m_scanned = 0;   // First bytes of `m_pending` in which no event ends.
  bool m_invalid = false;
  std::optional<std::string> m_last_id;
  int m_events = 0;  // Number of events returned since the last Clear().
};

// Returns the value of an event ID of 1 to 18 decimal digits; nullopt for any other text.
std::optional<uint64_t> ParseEventNumber(const std::optional<std::string>& text);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_EVENT_SCANNER_H_
