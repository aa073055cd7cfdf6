// Counts heap allocations of the program that includes this header; include it in one file only.

#ifndef BENCH_ALLOCATION_COUNTER_H_
#define BENCH_ALLOCATION_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

namespace azuregw {

inline std::atomic<int64_t> g_allocations{0};

inline int64_t Allocations() { return g_allocations.load(std::memory_order_relaxed); }

}  // namespace azuregw

void* operator new(size_t size) {
  azuregw::g_allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  std::abort();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t size) noexcept { std::free(memory); }

#endif  // BENCH_ALLOCATION_COUNTER_H_
