// Waits for a condition in tests that run threads.

#ifndef TESTS_FAKES_WAIT_UNTIL_H_
#define TESTS_FAKES_WAIT_UNTIL_H_

#include <chrono>
#include <thread>

namespace azuregw {

// Returns whether `condition` held within 20 s, which covers a busy machine.
template <class Condition>
bool WaitUntil(const Condition& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

}  // namespace azuregw

#endif  // TESTS_FAKES_WAIT_UNTIL_H_
