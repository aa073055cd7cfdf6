// Short names of upstreams within the state that instances share.
//
// The holder of the layout duty gives the numbers out and never uses one again, so that a report
// that names an upstream which has left cannot be taken for another one.

#ifndef AZUREGW_FLEET_UPSTREAM_NUMBERS_H_
#define AZUREGW_FLEET_UPSTREAM_NUMBERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace azuregw {

using UpstreamNumber = uint16_t;

class UpstreamNumbers {
 public:
  // The number of `id`, a new one if it has none. Returns nullopt when all numbers are used up.
  std::optional<UpstreamNumber> Assign(const std::string& id) {
    const auto found = m_numbers.find(id);
    if (found != m_numbers.end()) {
      return found->second;
    }
    if (m_next > UINT16_MAX) {
      return std::nullopt;
    }
    const auto number = static_cast<UpstreamNumber>(m_next);
    Learn(number, id);
    return number;
  }
  // Takes over a number that the holder gave out.
  void Learn(UpstreamNumber number, const std::string& id) {
    m_numbers[id] = number;
    m_ids[number] = id;
    if (m_next <= number) {
      m_next = uint32_t{number} + 1;
    }
  }
  void Clear() { *this = UpstreamNumbers(); }

  std::optional<UpstreamNumber> NumberOf(const std::string& id) const {
    const auto found = m_numbers.find(id);
    return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
  }
  // Null when the number is not known.
  const std::string* IdOf(UpstreamNumber number) const {
    const auto found = m_ids.find(number);
    return found == m_ids.end() ? nullptr : &found->second;
  }

 private:
  uint32_t m_next = 1;  // Above all numbers in use.
  std::unordered_map<std::string, UpstreamNumber> m_numbers;
  std::unordered_map<UpstreamNumber, std::string> m_ids;
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_UPSTREAM_NUMBERS_H_
