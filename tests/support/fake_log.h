// Collects decision log lines.

#ifndef TESTS_SUPPORT_FAKE_LOG_H_
#define TESTS_SUPPORT_FAKE_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/logging/event_log.h"

namespace azuregw {

class FakeLog final : public EventLog {
 public:
  void Write(std::string_view event, nlohmann::ordered_json fields, bool /*important*/) override {
    fields["event"] = event;
    m_lines.push_back(std::move(fields));
  }
  void Flush() override {}

  int Count(std::string_view event) const {
    int count = 0;
    for (const auto& line : m_lines) {
      count += line["event"] == event ? 1 : 0;
    }
    return count;
  }

  std::vector<nlohmann::ordered_json> m_lines;
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_FAKE_LOG_H_
