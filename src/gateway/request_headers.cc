// Headers of callers that carry numbers.

#include "gateway/request_headers.h"

#include <charconv>

namespace azuregw {
namespace {

constexpr int kMaxDeadlineMs = 3600 * 1000;
constexpr int kMaxEventId = 1000000000;

Result<int> ParseNumber(const std::string& name, const std::string& text, int least, int most) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || rest != end || value < least || value > most) {
    return NotRun(
        ResultCode::kInvalidField,
        name + " must be an integer from " + std::to_string(least) + " to " + std::to_string(most));
  }
  return value;
}

}  // namespace

Result<Milliseconds> ParseDeadline(const std::string& header, Milliseconds fallback) {
  if (header.empty()) {
    return fallback;
  }
  const auto value = ParseNumber("X-Azuregw-Deadline-Ms", header, 1, kMaxDeadlineMs);
  if (!value) {
    return value.error();
  }
  return Milliseconds(value.value());
}

Result<int> ParseLastEventId(const std::string& header) {
  if (header.empty()) {
    return -1;
  }
  return ParseNumber("Last-Event-ID", header, -1, kMaxEventId);
}

}  // namespace azuregw
