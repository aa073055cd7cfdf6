// UTC times over the C library.

#include "azuregw/base/utc_text.h"

#include <ctime>

namespace azuregw {

std::string UtcSecondsText(int64_t seconds) {
  const auto time = static_cast<std::time_t>(seconds);
  std::tm parts = {};
  gmtime_r(&time, &parts);
  char text[40];
  const size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  return std::string(text, length);
}

}  // namespace azuregw
