// UTC times as text in ISO 8601.

#ifndef AZUREGW_BASE_UTC_TEXT_H_
#define AZUREGW_BASE_UTC_TEXT_H_

#include <cstdint>
#include <string>

namespace azuregw {

// Seconds since the Unix epoch as "2026-01-02T03:04:05", without fraction or zone, which the caller
// appends as far as it knows them.
std::string UtcSecondsText(int64_t seconds);

}  // namespace azuregw

#endif  // AZUREGW_BASE_UTC_TEXT_H_
