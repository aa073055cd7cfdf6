// Clock over std::chrono.

#include "azuregw/base/clock.h"

namespace azuregw {
namespace {

class StdClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  int64_t WallMs() const override {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
  }
};

}  // namespace

const Clock& SystemClock() {
  static const StdClock* const clock = new StdClock();
  return *clock;
}

}  // namespace azuregw
