// Counters, gauges, time summaries and latency histograms of this process, printed in the
// Prometheus text format.

#ifndef AZUREGW_METRICS_METRICS_H_
#define AZUREGW_METRICS_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

namespace azuregw {

class Metrics {
 public:
  virtual ~Metrics() = default;
  // `labels` is empty or in Prometheus form without braces, such as `reason="overloaded"`.
  // Thread-safe.
  virtual void Add(std::string_view name, std::string_view labels, double amount) = 0;
  virtual void Set(std::string_view name, std::string_view labels, double value) = 0;
  // Records one observation; exported as count, sum and the quantiles 0.5, 0.95 and 0.99.
  virtual void Observe(std::string_view name, std::string_view labels, double value) = 0;
  // Records a time in ms in a histogram, whose buckets can be added up over instances.
  virtual void ObserveLatency(std::string_view name, std::string_view labels, double ms) = 0;
  virtual std::string PrometheusText() const = 0;
};

std::unique_ptr<Metrics> MakeMetrics();

}  // namespace azuregw

#endif  // AZUREGW_METRICS_METRICS_H_
