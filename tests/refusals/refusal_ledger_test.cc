// Refusal minutes: every refusal counted once, losses shown as incomplete minutes.

#include "azuregw/refusals/refusal_ledger.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/refusals/refusal_aggregator.h"
#include "tests/fakes/memory_key_value_store.h"

namespace azuregw {
namespace {

using Fault = MemoryKeyValueStore::Fault;

constexpr int64_t kHour = 480000;
constexpr int64_t kStart = kHour * 3600000 + 600000;  // Minute 10 of the hour.
constexpr int64_t kMinute = 60000;

uint64_t Total(const RefusalTable& table) {
  uint64_t total = 0;
  for (const RefusalRow& row : table.rows) {
    total += row.count;
  }
  return total;
}

RefusalTable Table(MemoryKeyValueStore* kv, int64_t wall_ms) {
  return ReadRefusalTable(kv, kHour - 1, kHour + 1, wall_ms).value();
}

void Deliver(RefusalLedger* ledger, RefusalAggregator* aggregator, int64_t wall_ms,
             bool last = false) {
  for (const RefusalSend& send : ledger->MakeReports({"agg"}, wall_ms, last)) {
    ledger->OnAck("agg", aggregator->OnReport(send.report, wall_ms));
  }
}

BOOST_AUTO_TEST_SUITE(refusal_ledger)

// Guards against counting twice when the service's reply or an acknowledgement was lost, and when
// two aggregators write. Without the marks in the record, the counts double.
BOOST_AUTO_TEST_CASE(every_refusal_is_counted_once) {
  for (const bool marks : {true, false}) {
    MemoryKeyValueStore kv;
    RefusalLedger ledger("gw-0", 1);
    RefusalAggregator first("fd-a", marks);
    RefusalAggregator second("fd-a", marks);
    for (int i = 0; i < 5; ++i) {
      ledger.OnRefusal("stall", ResultCode::kOverloaded, kStart);
    }
    const auto sends = ledger.MakeReports({"a", "b"}, kStart + 5000, false);
    for (int repeat = 0; repeat < 3; ++repeat) {
      for (const RefusalSend& send : sends) {
        (send.aggregator == "a" ? first : second).OnReport(send.report, kStart + 5000);
      }
    }
    kv.InjectWrite(Fault::kLostReply);
    BOOST_TEST(!first.Write(&kv, kStart + 10000).has_error());
    BOOST_TEST(!second.Write(&kv, kStart + 40000).has_error());
    const RefusalTable table = Table(&kv, kStart + 40000);
    BOOST_TEST(Total(table) == (marks ? 5u : 15u));
    BOOST_TEST(table.rows.at(0).reason == "overloaded");
    BOOST_TEST(table.refusal_minutes.count(kStart / kMinute) == 1u);
  }
}

// Guards against a hole when reports arrive out of order or the first one was lost.
BOOST_AUTO_TEST_CASE(reports_are_taken_in_order) {
  MemoryKeyValueStore kv;
  RefusalLedger ledger("gw-0", 1);
  RefusalAggregator aggregator("fd-a");
  ledger.OnRefusal("stall", ResultCode::kOverloaded, kStart);
  ledger.MakeReports({"agg"}, kStart + 5000, false);  // Lost on the way.
  ledger.OnRefusal("shop", ResultCode::kOverloaded, kStart + 6000);
  const auto sends = ledger.MakeReports({"agg"}, kStart + 10000, false);
  BOOST_REQUIRE(sends.size() == 3u);
  BOOST_TEST(aggregator.OnReport(sends[1].report, kStart + 10000).sequence == 0u);
  BOOST_TEST(aggregator.OnReport(sends[0].report, kStart + 10000).sequence == 1u);
  BOOST_TEST(aggregator.OnReport(sends[1].report, kStart + 10000).sequence == 2u);
  BOOST_TEST(!aggregator.Write(&kv, kStart + 20000).has_error());
  BOOST_TEST(Total(Table(&kv, kStart + 20000)) == 2u);
}

// Guards against dropping reports that are not in the key-value service yet.
BOOST_AUTO_TEST_CASE(reports_are_kept_until_durable) {
  MemoryKeyValueStore kv;
  RefusalLedger ledger("gw-0", 1);
  ledger.OnRefusal("stall", ResultCode::kOverloaded, kStart);
  {
    RefusalAggregator lost("fd-a");
    Deliver(&ledger, &lost, kStart + 5000);
    kv.SetDown(true);
    BOOST_TEST(lost.Write(&kv, kStart + 10000).has_error());
    kv.SetDown(false);
  }
  BOOST_TEST(!ledger.IsDurable());
  RefusalAggregator next("fd-a");
  for (const RefusalSend& send : ledger.MakeReports({"next"}, kStart + 15000, false)) {
    ledger.OnAck("next", next.OnReport(send.report, kStart + 15000));
  }
  BOOST_TEST(!next.Write(&kv, kStart + 20000).has_error());
  for (const RefusalSend& send : ledger.MakeReports({"next"}, kStart + 25000, false)) {
    ledger.OnAck("next", next.OnReport(send.report, kStart + 25000));
  }
  BOOST_TEST(ledger.IsDurable());
  BOOST_TEST(Total(Table(&kv, kStart + 25000)) == 1u);
}

// Guards against presenting a minute as complete although an instance was lost before it reported,
// and against marking minutes of an instance that ended in order.
BOOST_AUTO_TEST_CASE(lost_instance_marks_its_minutes) {
  MemoryKeyValueStore kv;
  RefusalAggregator aggregator("fd-a");
  RefusalLedger killed("gw-0", 1);
  RefusalLedger ended("gw-1", 1);
  Deliver(&killed, &aggregator, kStart + 5000);
  Deliver(&ended, &aggregator, kStart + 5000, true);
  aggregator.OnMembers({"agg"}, kStart + 70000);
  BOOST_TEST(!aggregator.Write(&kv, kStart + 70000).has_error());
  const RefusalTable table = Table(&kv, kStart + 70000);
  BOOST_TEST(table.incomplete_minutes.size() == 2u);
  BOOST_TEST(table.incomplete_minutes.count(kStart / kMinute) == 1u);
  BOOST_TEST(table.incomplete_minutes.count(kStart / kMinute + 1) == 1u);
}

// Guards against a mark that stays after an instance that was only cut off has reported.
BOOST_AUTO_TEST_CASE(returning_instance_completes_its_minutes) {
  MemoryKeyValueStore kv;
  RefusalAggregator aggregator("fd-a");
  RefusalLedger ledger("gw-0", 1);
  Deliver(&ledger, &aggregator, kStart + 5000);
  aggregator.OnMembers({}, kStart + 20000);
  BOOST_TEST(!aggregator.Write(&kv, kStart + 20000).has_error());
  BOOST_TEST(Table(&kv, kStart + 20000).incomplete_minutes.size() == 1u);
  ledger.OnRefusal("stall", ResultCode::kDraining, kStart + 10000);
  Deliver(&ledger, &aggregator, kStart + 30000);
  BOOST_TEST(!aggregator.Write(&kv, kStart + 80000).has_error());
  const RefusalTable table = Table(&kv, kStart + 80000);
  BOOST_TEST(table.incomplete_minutes.empty());
  BOOST_TEST(Total(table) == 1u);
}

// Guards against any loss or double count under lost messages, lost replies, outages of the service
// and a change of aggregators, over an hour's end.
BOOST_AUTO_TEST_CASE(counts_are_exact_under_random_faults) {
  const auto random = MakeRandom(11);
  MemoryKeyValueStore kv;
  std::vector<std::unique_ptr<RefusalLedger>> ledgers;
  std::vector<std::unique_ptr<RefusalAggregator>> aggregators;
  for (int i = 0; i < 6; ++i) {
    ledgers.push_back(std::make_unique<RefusalLedger>("gw-" + std::to_string(i), 1));
    aggregators.push_back(std::make_unique<RefusalAggregator>("fd-a"));
  }
  uint64_t counted = 0;
  int64_t now = kHour * 3600000 + 3300000;
  for (int round = 0; round < 200; ++round, now += 5000) {
    const bool calm = round > 160;
    const int first = round < 60 ? 0 : 2;  // The aggregators change once.
    for (auto& ledger : ledgers) {
      for (uint64_t n = random->Below(4); n > 0 && !calm; --n, ++counted) {
        ledger->OnRefusal("w" + std::to_string(random->Below(3)), ResultCode::kOverloaded, now);
      }
      const std::vector<std::string> names = {std::to_string(first), std::to_string(first + 1)};
      for (const RefusalSend& send : ledger->MakeReports(names, now, false)) {
        if (!calm && random->Below(4) == 0) {
          continue;
        }
        const auto ack = aggregators[static_cast<size_t>(std::stoi(send.aggregator))]->OnReport(
            send.report, now);
        if (calm || random->Below(4) != 0) {
          ledger->OnAck(send.aggregator, ack);
        }
      }
    }
    if (round % 6 == 0) {
      for (int i = first; i < first + 2; ++i) {
        kv.InjectWrite(calm ? Fault::kNone : static_cast<Fault>(random->Below(4)));
        static_cast<void>(aggregators[static_cast<size_t>(i)]->Write(&kv, now));
      }
    }
  }
  for (const auto& ledger : ledgers) {
    BOOST_TEST(ledger->IsDurable());
  }
  BOOST_TEST(Total(Table(&kv, now)) == counted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
