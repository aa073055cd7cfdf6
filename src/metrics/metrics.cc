// Metrics based on Boost.Accumulators and Boost.Histogram.

#include "azuregw/metrics/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/rendezvous.h"
#include "metrics/process_usage.h"

namespace azuregw {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
constexpr std::array<const char*, 3> kQuantileNames = {"0.5", "0.95", "0.99"};
// Quantiles are computed from the observations of the last one to two periods.
constexpr std::chrono::seconds kQuantilePeriod{60};
// Number of shards with a mutex each, so that threads rarely wait for one another.
constexpr size_t kShardCount = 16;
// The estimator has 2n + 3 markers for n quantiles. Its values are undefined until each marker has
// an observation.
constexpr size_t kMinObservations = 2 * kQuantiles.size() + 3;

using QuantileEstimator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

QuantileEstimator MakeEstimator() {
  return QuantileEstimator(acc::extended_p_square_probabilities = kQuantiles);
}

// Returns the bounds of the buckets, in ms. They are denser around the latency targets of 100 to
// 500 ms and the pauses of 200 to 250 ms that callers accept.
const std::vector<double>& LatencyBounds() {
  static const auto* const bounds =
      new std::vector<double>{0,   5,   10,  20,   35,   50,   75,   100,  150,   200,  250,
                              350, 500, 750, 1000, 1500, 2000, 3500, 5000, 10000, 20000};
  return *bounds;
}

// Histogram of latencies in ms. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram()
      : m_counts(boost::histogram::make_histogram(
            boost::histogram::axis::variable<double>(LatencyBounds()))) {}

  void Observe(double ms) {
    m_counts(ms);
    m_sum += ms;
    ++m_total;
  }
  double Sum() const { return m_sum; }
  uint64_t Total() const { return m_total; }
  // Returns the number of observations below LatencyBounds()[index].
  double CountBelow(size_t index) const {
    double count = 0;
    for (size_t i = 0; i < index; ++i) {
      count += m_counts.at(static_cast<int>(i));
    }
    return count;
  }

 private:
  using Counts =
      decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<double>()));
  Counts m_counts;
  double m_sum = 0;
  uint64_t m_total = 0;
};

// Count, sum and quantiles of observations. Two estimators start one period apart; the quantiles
// are those of the older one. Not thread-safe.
class Summary {
 public:
  explicit Summary(TimePoint now)
      : m_older(MakeEstimator()),
        m_newer(MakeEstimator()),
        m_next_rotation(now + kQuantilePeriod) {}

  void Observe(double value, TimePoint now) {
    if (now >= m_next_rotation) {
      m_older = std::move(m_newer);
      m_newer = MakeEstimator();
      m_older_count = m_newer_count;
      m_newer_count = 0;
      m_next_rotation = now + kQuantilePeriod;
    }
    m_older(value);
    m_newer(value);
    ++m_older_count;
    ++m_newer_count;
    ++m_count;
    m_sum += value;
  }

  uint64_t Count() const { return m_count; }
  double Sum() const { return m_sum; }
  bool HasQuantiles() const { return m_older_count >= kMinObservations; }
  double Quantile(size_t index) const {
    return acc::extended_p_square(m_older)[static_cast<std::ptrdiff_t>(index)];
  }

 private:
  QuantileEstimator m_older;
  QuantileEstimator m_newer;
  uint64_t m_older_count = 0;  // Observations in the older estimator.
  uint64_t m_newer_count = 0;  // Observations in the newer estimator.
  uint64_t m_count = 0;        // All observations.
  double m_sum = 0;            // Sum of all observations.
  TimePoint m_next_rotation;   // Time at which the newer estimator replaces the older one.
};

// Part of the series, keyed by "name{labels". The mutex guards the maps. Names of metrics do not
// contain '{'.
struct Shard {
  std::mutex mutex;
  std::unordered_map<std::string, double> counters;
  std::unordered_map<std::string, double> gauges;
  std::unordered_map<std::string, Summary> summaries;
  std::unordered_map<std::string, LatencyHistogram> histograms;
};

// Returns the key of a series. The reference is valid until the next call on the same thread;
// reusing the string avoids an allocation per update.
const std::string& SeriesKey(std::string_view name, std::string_view labels) {
  thread_local std::string key;
  key.assign(name);
  key.push_back('{');
  key.append(labels);
  return key;
}

std::string FormatNumber(double value) {
  std::array<char, 32> text;
  const int length = std::snprintf(text.data(), text.size(), "%.10g", value);
  return std::string(text.data(), static_cast<size_t>(length));
}

// Returns the labels and `extra_label` in braces, or an empty string if both are empty.
std::string FormatLabels(std::string_view labels, std::string_view extra_label) {
  if (labels.empty() && extra_label.empty()) {
    return "";
  }
  std::string text = "{" + std::string(labels);
  if (!labels.empty() && !extra_label.empty()) {
    text += ",";
  }
  return text + std::string(extra_label) + "}";
}

// Groups lines by metric name, because the text format requires all series of a metric to be
// adjacent.
class TextBuilder {
 public:
  void AddLine(const std::string& name, const char* type, const std::string& suffix,
               const std::string& labels, double value) {
    Family& family = m_families[name];
    family.type = type;
    family.lines += name + suffix + labels + " " + FormatNumber(value) + "\n";
  }
  std::string Text() const {
    std::string text;
    for (const auto& [name, family] : m_families) {
      text += "# TYPE " + name + " " + family.type + "\n" + family.lines;
    }
    return text;
  }

 private:
  struct Family {
    const char* type = "";
    std::string lines;
  };
  std::map<std::string, Family> m_families;
};

// Returns the name and the labels in the key of a series.
std::pair<std::string, std::string> SplitSeriesKey(const std::string& key) {
  const size_t brace = key.find('{');
  return {key.substr(0, brace), key.substr(brace + 1)};
}

// Metrics whose series are distributed over shards by the hash of their key.
class ShardedMetrics final : public Metrics {
 public:
  void Add(std::string_view name, std::string_view labels, double amount) override {
    const std::string& key = SeriesKey(name, labels);
    Shard& shard = ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.counters[key] += amount;
  }

  void Set(std::string_view name, std::string_view labels, double value) override {
    const std::string& key = SeriesKey(name, labels);
    Shard& shard = ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.gauges[key] = value;
  }

  void Observe(std::string_view name, std::string_view labels, double value) override {
    const TimePoint now = SystemClock().Now();
    const std::string& key = SeriesKey(name, labels);
    Shard& shard = ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto it = shard.summaries.try_emplace(key, now).first;
    it->second.Observe(value, now);
  }

  void ObserveLatency(std::string_view name, std::string_view labels, double ms) override {
    const std::string& key = SeriesKey(name, labels);
    Shard& shard = ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.histograms[key].Observe(ms);
  }

  std::string PrometheusText() const override {
    TextBuilder text;
    for (Shard& shard : m_shards) {
      const std::lock_guard<std::mutex> lock(shard.mutex);
      AppendShard(shard, &text);
    }
    const ProcessUsage usage = ReadProcessUsage();
    text.AddLine("process_cpu_seconds_total", "counter", "", "", usage.cpu_seconds);
    text.AddLine("process_resident_memory_bytes", "gauge", "", "",
                 static_cast<double>(usage.resident_bytes));
    text.AddLine("process_threads", "gauge", "", "", static_cast<double>(usage.threads));
    return text.Text();
  }

 private:
  static void AppendShard(const Shard& shard, TextBuilder* text) {
    for (const auto& [key, value] : shard.counters) {
      const auto [name, labels] = SplitSeriesKey(key);
      text->AddLine(name, "counter", "", FormatLabels(labels, ""), value);
    }
    for (const auto& [key, value] : shard.gauges) {
      const auto [name, labels] = SplitSeriesKey(key);
      text->AddLine(name, "gauge", "", FormatLabels(labels, ""), value);
    }
    for (const auto& [key, histogram] : shard.histograms) {
      const auto [name, labels] = SplitSeriesKey(key);
      const auto total = static_cast<double>(histogram.Total());
      for (size_t i = 1; i < LatencyBounds().size(); ++i) {
        const std::string bound = "le=\"" + FormatNumber(LatencyBounds()[i]) + "\"";
        text->AddLine(name, "histogram", "_bucket", FormatLabels(labels, bound),
                      histogram.CountBelow(i));
      }
      text->AddLine(name, "histogram", "_bucket", FormatLabels(labels, "le=\"+Inf\""), total);
      text->AddLine(name, "histogram", "_sum", FormatLabels(labels, ""), histogram.Sum());
      text->AddLine(name, "histogram", "_count", FormatLabels(labels, ""), total);
    }
    for (const auto& [key, summary] : shard.summaries) {
      const auto [name, labels] = SplitSeriesKey(key);
      for (size_t i = 0; summary.HasQuantiles() && i < kQuantiles.size(); ++i) {
        const std::string quantile = std::string("quantile=\"") + kQuantileNames[i] + "\"";
        text->AddLine(name, "summary", "", FormatLabels(labels, quantile), summary.Quantile(i));
      }
      text->AddLine(name, "summary", "_sum", FormatLabels(labels, ""), summary.Sum());
      text->AddLine(name, "summary", "_count", FormatLabels(labels, ""),
                    static_cast<double>(summary.Count()));
    }
  }

  Shard& ShardOf(const std::string& key) const { return m_shards[StableHash(key) % kShardCount]; }

  mutable std::array<Shard, kShardCount> m_shards;
};

}  // namespace

std::unique_ptr<Metrics> MakeMetrics() { return std::make_unique<ShardedMetrics>(); }

}  // namespace azuregw
