// Boundaries and IDs of server-sent events.

#include "azuregw/forward/event_scanner.h"

#include <algorithm>
#include <cctype>

namespace azuregw {
namespace {

// Longest end of an event, which may arrive in parts.
constexpr size_t kMaxEventEndBytes = 4;

// Returns the length of the first event of `text`, including its blank line; 0 if it is incomplete.
// The event does not end within the first `scanned` bytes.
size_t FirstEventLength(std::string_view text, size_t scanned) {
  const size_t from = scanned - std::min(scanned, kMaxEventEndBytes - 1);
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find("\r\n\r\n", from);
  const size_t lf_end = lf == std::string_view::npos ? lf : lf + 2;
  const size_t crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  const size_t end = std::min(lf_end, crlf_end);
  return end == std::string_view::npos ? 0 : end;
}

// Returns the value of the first `id` field of an event.
std::optional<std::string_view> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      return line;
    }
  }
  return std::nullopt;
}

bool IsValidId(std::string_view id) {
  return id.size() <= kMaxEventIdBytes &&
         std::none_of(id.begin(), id.end(), [](unsigned char c) { return std::iscntrl(c); });
}

}  // namespace

std::optional<uint64_t> ParseEventNumber(const std::optional<std::string>& text) {
  if (!text || text->empty() || text->size() > 18 ||
      text->find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(*text);
}

std::string EventScanner::TakeCompleteEvents(std::optional<uint64_t> skip_through) {
  std::string whole;
  size_t consumed = 0;
  while (!m_invalid) {
    std::string_view rest = m_pending;
    rest.remove_prefix(consumed);
    const size_t length = FirstEventLength(rest, m_scanned);
    if (length == 0) {
      m_scanned = rest.size();
      break;
    }
    m_scanned = 0;
    const std::string_view event = rest.substr(0, length);
    const std::optional<std::string_view> text = ParseEventId(event);
    if (text && !IsValidId(*text)) {
      m_invalid = true;
      break;
    }
    consumed += length;
    const std::optional<std::string> id = text ? std::optional<std::string>(*text) : std::nullopt;
    const std::optional<uint64_t> number = ParseEventNumber(id);
    if (skip_through && number && *number <= *skip_through) {
      continue;
    }
    if (id) {
      m_last_id = id;
    }
    whole.append(event);
    ++m_events;
  }
  m_pending.erase(0, consumed);
  return whole;
}

}  // namespace azuregw
