// Compact numeric IDs of upstreams in the state that instances exchange.
//
// The leader assigns the numbers and never reuses one, so that a report about a removed upstream
// cannot be attributed to another one.

#ifndef AZUREGW_FLEET_UPSTREAM_NUMBERS_H_
#define AZUREGW_FLEET_UPSTREAM_NUMBERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace azuregw {

using UpstreamNumber = uint16_t;

// Bidirectional map between upstream IDs and numbers.
class UpstreamNumbers {
 public:
  // Returns the number of `id`, assigning a new one if necessary, or nullopt if the numbers are
  // exhausted.
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
  // Records a number that the leader assigned.
  void Learn(UpstreamNumber number, const std::string& id) {
    m_numbers[id] = number;
    m_ids[number] = id;
    if (m_next <= number) {
      m_next = uint32_t{number} + 1;
    }
  }
  void Clear() { *this = UpstreamNumbers(); }

  // Returns the number of `id`, or nullopt if it has none.
  std::optional<UpstreamNumber> NumberOf(const std::string& id) const {
    const auto found = m_numbers.find(id);
    return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
  }
  // Returns the ID for `number`, or null if the number is unknown.
  const std::string* IdOf(UpstreamNumber number) const {
    const auto found = m_ids.find(number);
    return found == m_ids.end() ? nullptr : &found->second;
  }

 private:
  uint32_t m_next = 1;  // Next number to assign; above all known numbers.
  std::unordered_map<std::string, UpstreamNumber> m_numbers;
  std::unordered_map<UpstreamNumber, std::string> m_ids;
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_UPSTREAM_NUMBERS_H_
