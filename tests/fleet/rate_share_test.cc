// Tests of the shares of rate limits, alone and over whole fleets.

#include "azuregw/fleet/rate_share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

constexpr char kEngine[] = "e1";

// Instances that send to one engine whenever its limit allows it, for 20 s in steps of 10 ms.
class LimitedFleet {
 public:
  LimitedFleet(int instances, double limit, uint64_t seed)
      : m_limit(limit), m_random(MakeRandom(seed)) {
    for (int i = 0; i < instances; ++i) {
      m_fleets.push_back(std::make_unique<Fleet>());
      m_fleets.back()->Update({EngineRecordOf(kEngine, "a", "l4", LayerRange{0, 80})}, m_now);
      m_numbers.push_back(static_cast<uint32_t>(i));
    }
    SetPositions();
  }

  // `restart_interval`: time after which a random instance is replaced and all get new numbers;
  // 0 for never.
  void Run(Milliseconds time, Milliseconds restart_interval) {
    const TimePoint end = m_now + time;
    TimePoint restart = m_now + restart_interval;
    for (; m_now < end; m_now += Milliseconds(10)) {
      if (restart_interval.count() > 0 && m_now >= restart) {
        restart += restart_interval;
        const size_t instance = m_random->Below(m_fleets.size());
        m_fleets[instance] = std::make_unique<Fleet>();
        m_fleets[instance]->Update({EngineRecordOf(kEngine, "a", "l4", LayerRange{0, 80})}, m_now);
        m_known.erase(std::remove(m_known.begin(), m_known.end(), instance), m_known.end());
        std::rotate(m_numbers.begin(), m_numbers.begin() + 1, m_numbers.end());
        SetPositions();
      }
      for (size_t i = 0; i < m_fleets.size(); ++i) {
        Fleet& fleet = *m_fleets[i];
        // Reports and totals take up to 1.2 s; an instance learns of the limit with the first.
        if (std::find(m_known.begin(), m_known.end(), i) == m_known.end() &&
            m_random->Below(60) == 0) {
          fleet.ApplyRateLimitReport(kEngine, m_limit, m_now, m_now);
          m_known.push_back(i);
        }
        const bool known = std::find(m_known.begin(), m_known.end(), i) != m_known.end();
        if (known && fleet.MayStart(*fleet.Find(kEngine), m_now)) {
          fleet.OnStart(kEngine, m_now);
          m_arrivals.push_back(m_now);
        }
        if (known) {
          fleet.ApplyRateLimitReport(kEngine, m_limit, m_now, m_now);
        }
      }
    }
  }

  // Returns the largest number of arrivals in 4 s.
  size_t MostIn4s() const {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < m_arrivals.size(); ++last) {
      while (m_arrivals[last] - m_arrivals[first] >= Milliseconds(4000)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  size_t Arrivals() const { return m_arrivals.size(); }

 private:
  void SetPositions() {
    for (size_t i = 0; i < m_fleets.size(); ++i) {
      m_fleets[i]->SetPosition({m_numbers[i], static_cast<int>(m_fleets.size())}, m_now);
    }
  }

  const double m_limit;
  const std::unique_ptr<Random> m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Fleet>> m_fleets;
  std::vector<uint32_t> m_numbers;
  std::vector<size_t> m_known;  // Instances that know the limit.
  std::vector<TimePoint> m_arrivals;
};

BOOST_AUTO_TEST_SUITE(rate_share)

BOOST_AUTO_TEST_CASE(shares_add_up_to_the_limit) {
  for (const int instances : {1, 7, 89, 295}) {
    for (const double limit : {0.0, 0.4, 1.0, 15.8, 500.0}) {
      double sum = 0;
      for (int i = 0; i < instances; ++i) {
        sum += RateShare(limit, kEngine, {static_cast<uint32_t>(i), instances});
      }
      BOOST_TEST(sum == std::max(limit, kMinRateLimit), boost::test_tools::tolerance(1e-9));
    }
  }
}

// Guards against a few instances that have all shares, while others have none.
BOOST_AUTO_TEST_CASE(engines_have_different_users) {
  constexpr int kInstances = 295;
  int without = 0;
  for (uint32_t number = 0; number < kInstances; ++number) {
    double sum = 0;
    for (int engine = 0; engine < 50; ++engine) {
      sum += RateShare(16, "engine-" + std::to_string(engine), {number, kInstances});
    }
    without += sum == 0 ? 1 : 0;
  }
  BOOST_TEST(without < kInstances / 4);
}

// Load pattern: dathanna capped, at the sizes of the smallest and the largest deployment, with
// limits above and below one request per second and instance. Guards against instances that each
// keep the limit alone, and against a limit that is hardly used.
BOOST_AUTO_TEST_CASE(fleets_of_all_sizes_keep_a_limit_together) {
  for (const int instances : {1, 7, 9, 89, 295}) {
    for (const double limit : {0.3, 2.0, 15.8, 120.0}) {
      LimitedFleet fleet(instances, limit, 7);
      fleet.Run(Milliseconds(20000), Milliseconds(0));
      const std::string run = std::to_string(instances) + " instances, " + std::to_string(limit);
      BOOST_TEST(static_cast<double>(fleet.MostIn4s()) <= 1.5 * limit * 4 + 5, run);
      BOOST_TEST(static_cast<double>(fleet.Arrivals()) >= 0.7 * limit * 20 - 2, run);
    }
  }
}

// Load pattern: instances are replaced one after the other, and leaders assign new numbers.
BOOST_AUTO_TEST_CASE(limit_is_kept_while_instances_restart) {
  for (const int instances : {7, 89, 295}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      LimitedFleet fleet(instances, 15.8, seed);
      fleet.Run(Milliseconds(20000), Milliseconds(500));
      BOOST_TEST(static_cast<double>(fleet.MostIn4s()) <= 1.5 * 15.8 * 4 + 5,
                 instances << " instances, seed " << seed);
    }
  }
}

// Load pattern: the leader of a large fleet is lost, and the next one counts the instances from
// one. Guards against the first instances that it counts taking a whole limit each.
BOOST_AUTO_TEST_CASE(new_leader_that_counts_from_one_does_not_raise_shares) {
  TimePoint now{std::chrono::hours(1)};
  PositionTracker tracker({5, 8});
  tracker.Update(17, 295, now);
  BOOST_TEST(tracker.Position().number == 17U);
  BOOST_TEST(tracker.Position().instances == 295);
  for (int count = 1; count < 290; count += 20) {
    now += Milliseconds(100);
    tracker.Update(3, count, now);
    BOOST_TEST(tracker.Position().number == 3U);
    BOOST_TEST(tracker.Position().instances == 295);
  }
  // A count that stays lower is right in the end.
  for (int i = 0; i < 60; ++i) {
    now += Milliseconds(100);
    tracker.Update(3, 290, now);
  }
  BOOST_TEST(tracker.Position().instances == 290);
  tracker.Update(3, 296, now);
  BOOST_TEST(tracker.Position().instances == 296);
}

// Guards against an instance that never sends to an engine whose limit has ended.
BOOST_AUTO_TEST_CASE(limit_ends_with_an_answer_that_states_none) {
  const TimePoint start{std::chrono::hours(1)};
  Fleet fleet;
  fleet.Update({EngineRecordOf(kEngine, "a", "l4", LayerRange{0, 80})}, start);
  fleet.SetPosition({8, 9}, start);
  BOOST_TEST(fleet.OnRateLimit(kEngine, 1, start, start));
  const TimePoint later = start + Milliseconds(100);
  BOOST_TEST(!fleet.MayStart(*fleet.Find(kEngine), later));
  // The answer to an earlier request may arrive late.
  BOOST_TEST(!fleet.OnRateLimit(kEngine, std::nullopt, start - Milliseconds(1), later));
  BOOST_TEST(!fleet.MayStart(*fleet.Find(kEngine), later));
  BOOST_TEST(fleet.OnRateLimit(kEngine, std::nullopt, start + Milliseconds(1), later));
  BOOST_TEST(fleet.MayStart(*fleet.Find(kEngine), later));
}

// Guards against limits that outlive the engine that stated them.
BOOST_AUTO_TEST_CASE(limit_ends_with_its_process_or_its_age) {
  const TimePoint start{std::chrono::hours(1)};
  Fleet fleet;
  UpstreamRecord record = EngineRecordOf(kEngine, "a", "l4", LayerRange{0, 80});
  fleet.Update({record}, start);
  fleet.SetPosition({8, 9}, start);
  fleet.OnRateLimit(kEngine, 0, start, start);
  BOOST_TEST(!fleet.MayStart(*fleet.Find(kEngine), start + UpstreamStatements::kRateLimitTtl));
  BOOST_TEST(fleet.MayStart(*fleet.Find(kEngine),
                            start + UpstreamStatements::kRateLimitTtl + Milliseconds(1)));
  fleet.OnRateLimit(kEngine, 0, start, start + Milliseconds(1));
  ++record.started_ms;
  fleet.Update({record}, start + Milliseconds(2));
  BOOST_TEST(fleet.MayStart(*fleet.Find(kEngine), start + Milliseconds(2)));
}

// Guards against a limit that only the instances know that got an answer with it.
BOOST_AUTO_TEST_CASE(newest_statement_reaches_all_instances) {
  const TimePoint start{std::chrono::hours(1)};
  UpstreamNumbers numbers;
  numbers.Assign(kEngine);
  Fleet first;
  Fleet second;
  Fleet third;
  for (Fleet* fleet : {&first, &second, &third}) {
    fleet->Update({EngineRecordOf(kEngine, "a", "l4", LayerRange{0, 80})}, start);
  }
  first.OnRateLimit(kEngine, 12, start, start);
  second.OnRateLimit(kEngine, 10, start, start + Milliseconds(200));
  FleetLoadTable table;
  const TimePoint now = start + Milliseconds(300);
  const LoadReport none;
  table.SetReport(1, BuildLoadReport(first, numbers, 1, now), now);
  table.SetReport(2, BuildLoadReport(second, numbers, 2, now), now);
  ApplyTotals(table.Totals(now), none, 3, numbers, &third, now);
  BOOST_TEST((third.Find(kEngine)->statements.RateLimit(now) == 10.0));
  second.OnRateLimit(kEngine, std::nullopt, now, now);
  table.SetReport(2, BuildLoadReport(second, numbers, 2, now), now);
  ApplyTotals(table.Totals(now), none, 3, numbers, &third, now);
  ApplyTotals(table.Totals(now), none, 1, numbers, &first, now);
  BOOST_TEST(!third.Find(kEngine)->statements.RateLimit(now).has_value());
  BOOST_TEST(!first.Find(kEngine)->statements.RateLimit(now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
