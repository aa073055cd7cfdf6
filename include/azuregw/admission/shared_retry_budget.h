// This instance's part of a budget of repeats that all instances share.
//
// Decision module: no I/O. It answers retry storms: repeats stop before they multiply an overload.

#ifndef AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_
#define AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "azuregw/base/clock.h"

namespace azuregw {

struct SharedRetryBudgetOptions {
  double share = 0.1;    // Of a service's requests.
  double allowance = 0;  // Repeats beside the share, for all instances together.
  Milliseconds window{10000};
};

class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const SharedRetryBudgetOptions& bounds) : m_bounds(bounds) {}

  // How many instances share the budget, as now known. A smaller number counts only after it held
  // for a whole window: a new holder of the duty hears of the instances one by one, and those that
  // are out of touch go on repeating.
  void SetInstances(int instances, TimePoint now);
  void OnRequest(const std::string& service, TimePoint now);
  // Whether one more send of a request fits.
  bool Allows(const std::string& service, TimePoint now);
  // The same, and takes it when it does.
  bool Take(const std::string& service, TimePoint now);

 private:
  // Instances are uneven, and the window slides, so a part is kept back.
  static constexpr double kUsableShare = 0.7;
  // Instances that share the budget before their number is known. High, so that instances that
  // start together, or alone in a large fleet, do not take more than their part.
  static constexpr int kAssumedInstances = 100;

  struct Counts {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void Expire(Counts* counts, TimePoint now) const;

  const SharedRetryBudgetOptions m_bounds;
  int m_instances = kAssumedInstances;
  // Largest number reported since all reports have been below m_instances, and since when.
  int m_fewer = 0;
  TimePoint m_fewer_since;
  std::map<std::string, Counts> m_services;
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_SHARED_RETRY_BUDGET_H_
