// This instance's share of a retry budget that is common to all instances.
//
// Decision module without I/O.

#ifndef AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_
#define AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "azuregw/base/clock.h"

namespace azuregw {

// Size of the shared retry budget.
struct SharedRetryBudgetOptions {
  double ratio = 0.1;          // Allowed retries as a fraction of a service's requests.
  double slack = 0;            // Additional retries, shared by all instances.
  Milliseconds window{10000};  // Sliding window in which requests and retries are counted.
};

// Limits retries per service so that a retry storm cannot amplify an overload. Not thread-safe.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const SharedRetryBudgetOptions& options) : m_options(options) {}

  // Sets the known number of instances that share the budget. A decrease takes effect only after it
  // has lasted for a whole window: a new leader discovers the instances one by one, and instances
  // that it cannot reach continue to retry.
  void SetInstances(int instances, TimePoint now);
  // Counts a request.
  void OnRequest(const std::string& service, TimePoint now);
  // Returns whether the budget allows one more retry.
  bool Allows(const std::string& service, TimePoint now);
  // Counts a retry and returns true if the budget allows it.
  bool Take(const std::string& service, TimePoint now);

 private:
  // Usable fraction of the budget. The rest is a reserve, because the load of the instances is
  // uneven and the allowance falls when requests leave the sliding window.
  static constexpr double kUsableShare = 0.7;
  // Number of instances that is assumed until it is known. It is high so that instances that start
  // at the same time, or without peers in a large fleet, do not exceed their share.
  static constexpr int kAssumedInstances = 100;

  // Times of the requests and retries of one service within the window, in ascending order.
  struct Counts {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  // Removes times that are older than the window.
  void Expire(Counts* counts, TimePoint now) const;

  const SharedRetryBudgetOptions m_options;
  int m_instances = kAssumedInstances;
  // Largest instance count since the counts have been below m_instances; 0 if the last count was
  // not below it.
  int m_lower_count = 0;
  TimePoint m_lower_count_since;  // Time of the first count below m_instances.
  std::map<std::string, Counts> m_services;
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_
