// Metrics of this process, exported in the Prometheus text format.

#ifndef AZUREGW_METRICS_METRICS_H_
#define AZUREGW_METRICS_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

namespace azuregw {

// Registry of counters, gauges, summaries and latency histograms. A series is created by its first
// call and identified by the name of the metric and its labels. Use each name with one kind only.
//
// `labels` is empty or in Prometheus form without braces, such as `reason="overloaded"`. All
// functions are thread-safe.
class Metrics {
 public:
  virtual ~Metrics() = default;
  // Increases a counter by `amount`.
  virtual void Add(std::string_view name, std::string_view labels, double amount) = 0;
  // Sets a gauge to `value`.
  virtual void Set(std::string_view name, std::string_view labels, double value) = 0;
  // Records one observation in a summary, which exports its count, sum and the quantiles 0.5, 0.95
  // and 0.99.
  virtual void Observe(std::string_view name, std::string_view labels, double value) = 0;
  // Records a latency in ms in a histogram, whose buckets can be summed over instances.
  virtual void ObserveLatency(std::string_view name, std::string_view labels, double ms) = 0;
  // Returns all series, and the processor time, memory and threads of the process.
  virtual std::string PrometheusText() const = 0;
};

std::unique_ptr<Metrics> MakeMetrics();

}  // namespace azuregw

#endif  // AZUREGW_METRICS_METRICS_H_
