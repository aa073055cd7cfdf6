// Tests of the budget for what callers send and do not read.

#include "azuregw/admission/receive_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace azuregw {
namespace {

using Phase = ReceiveBudget::Phase;

constexpr uint64_t kKiB = 1024;
constexpr uint64_t kMiB = 1024 * kKiB;

// Budget of 16 MiB, of which large requests may use 12, and 100 connections.
struct Fixture {
  TimePoint At(int64_t ms) const { return start + Milliseconds(ms); }
  // Adds a connection that is receiving a request since `ms`.
  void Receive(uint64_t id, int64_t ms) {
    BOOST_REQUIRE(!budget.Add(id, At(ms)));
    budget.SetPhase(id, Phase::kReceiving, At(ms));
  }
  std::vector<uint64_t> Hold(uint64_t id, uint64_t bytes, int64_t ms) {
    budget.OnReceived(id, bytes, At(ms));
    return budget.SetHeld(id, bytes, 0);
  }

  const TimePoint start = TimePoint() + Milliseconds(1000000);
  ReceiveBudget budget{{16 * kMiB, 100}};
};

BOOST_AUTO_TEST_SUITE(receive_budget)

BOOST_AUTO_TEST_CASE(limits_follow_from_the_machine) {
  const ReceiveBudget::Limits small = ReceiveBudget::LimitsOf(160 * kMiB, 4100);
  BOOST_TEST(small.bytes == 40 * kMiB);
  BOOST_TEST(small.connections == 2925U);
  BOOST_TEST(ReceiveBudget::LimitsOf(32 * kMiB, 100000).connections == 1024U);
  BOOST_TEST(ReceiveBudget::LimitsOf(160 * kMiB, 100).connections == 0U);
}

BOOST_AUTO_TEST_CASE(one_caller_alone_may_send_the_largest_request) {
  Fixture f;
  f.Receive(1, 0);
  for (uint64_t bytes = 0; bytes < f.budget.LargestRequest(); bytes += 64 * kKiB) {
    BOOST_TEST(f.Hold(1, bytes, 10).empty());
  }
}

// Load pattern: bodies that stop just short of their end and stay open.
BOOST_AUTO_TEST_CASE(bodies_without_progress_make_room) {
  Fixture f;
  for (uint64_t id = 0; id < 11; ++id) {
    f.Receive(id, static_cast<int64_t>(id));
    BOOST_TEST(f.Hold(id, kMiB, static_cast<int64_t>(id)).empty());
  }
  f.Receive(50, 5000);
  BOOST_TEST(f.Hold(50, kMiB / 2, 5000).empty());
  const std::vector<uint64_t> evicted = f.Hold(50, kMiB + kMiB / 2, 5100);
  BOOST_TEST((evicted == std::vector<uint64_t>{0, 1}));
}

// Load pattern: callers that send a byte from time to time so that they seem to go on.
BOOST_AUTO_TEST_CASE(single_bytes_are_no_progress) {
  Fixture f;
  for (uint64_t id = 0; id < 12; ++id) {
    f.Receive(id, 0);
    f.Hold(id, kMiB - 12, 100);
  }
  for (int64_t ms = 1000; ms < 10000; ms += 1000) {
    for (uint64_t id = 1; id < 12; ++id) {
      f.budget.OnReceived(id, kMiB - 12 + static_cast<uint64_t>(ms / 1000), f.At(ms));
    }
    f.budget.OnReceived(0, kMiB + static_cast<uint64_t>(ms) * 16 * kKiB, f.At(ms));
  }
  f.Receive(50, 10000);
  const std::vector<uint64_t> evicted = f.Hold(50, 128 * kKiB, 10000);
  BOOST_REQUIRE(!evicted.empty());
  for (const uint64_t id : evicted) {
    BOOST_TEST(id != 0);
    BOOST_TEST(id != 50);
  }
}

// A complete request is never rejected, and the budget that complete requests take is not given to
// further large ones.
BOOST_AUTO_TEST_CASE(complete_requests_stay) {
  Fixture f;
  for (uint64_t id = 0; id < 12; ++id) {
    f.Receive(id, 0);
    f.Hold(id, kMiB, 0);
    f.budget.SetPhase(id, Phase::kServing, f.At(1));
  }
  f.Receive(50, 100);
  BOOST_TEST((f.Hold(50, kMiB, 200) == std::vector<uint64_t>{50}));
  f.budget.Remove(50);
  // Ordinary requests are still read, and served.
  for (uint64_t id = 60; id < 80; ++id) {
    f.Receive(id, 300);
    BOOST_TEST(f.Hold(id, 8 * kKiB, 300).empty());
    f.budget.SetPhase(id, Phase::kServing, f.At(301));
    BOOST_TEST(f.budget.SetHeld(id, 8 * kKiB, 0).empty());
  }
}

// Large requests that exceed their part of the budget do not cost small ones.
BOOST_AUTO_TEST_CASE(small_requests_do_not_make_room_for_large_ones) {
  Fixture f;
  f.Receive(1, 0);
  f.Hold(1, 8 * kKiB, 0);
  for (uint64_t id = 10; id < 30; ++id) {
    f.Receive(id, 100);
    for (const uint64_t evicted : f.Hold(id, kMiB, 100)) {
      BOOST_TEST(evicted != 1);
      f.budget.Remove(evicted);
    }
  }
  BOOST_TEST(f.budget.HeldBytes() <= f.budget.LargestRequest());
}

// Load pattern: callers that ask for long responses and do not read them.
BOOST_AUTO_TEST_CASE(callers_that_do_not_read_make_room_after_unfinished_requests) {
  Fixture f;
  f.Receive(1, 50);
  f.Hold(1, kMiB, 50);
  for (uint64_t id = 10; id < 25; ++id) {
    f.budget.Add(id, f.At(0));
    f.budget.SetPhase(id, Phase::kServing, f.At(0));
    f.budget.SetHeld(id, kMiB - 2 * kKiB, kMiB - 2 * kKiB);
  }
  f.budget.OnSent(10, f.At(500));
  f.Receive(50, 1000);
  const std::vector<uint64_t> evicted = f.Hold(50, 60 * kKiB, 1000);
  BOOST_REQUIRE(evicted.size() >= 2U);
  BOOST_TEST(evicted[0] == 1U);
  BOOST_TEST(evicted[1] != 10U);
  BOOST_TEST(f.budget.NotReading(Milliseconds(700), f.At(1000)).size() == 14U);
}

// Load pattern: connections without end. New ones that send nothing go first.
BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_replace_those_without_a_request) {
  Fixture f;
  for (uint64_t id = 0; id < 100; ++id) {
    BOOST_TEST(!f.budget.Add(id, f.At(static_cast<int64_t>(id))));
  }
  f.budget.SetPhase(0, Phase::kServing, f.At(200));
  f.budget.SetPhase(1, Phase::kServing, f.At(200));
  f.budget.SetPhase(1, Phase::kIdle, f.At(300));
  f.budget.SetPhase(2, Phase::kReceiving, f.At(300));
  BOOST_TEST((f.budget.Add(100, f.At(400)) == std::optional<uint64_t>(3)));
}

// Load pattern: a crowd takes all connections with one whole request each, which is refused, and
// stays. Guards against new callers that make room for each other while the crowd keeps its
// connections.
BOOST_AUTO_TEST_CASE(crowd_that_was_answered_once_makes_room_for_new_callers) {
  Fixture f;
  for (uint64_t id = 0; id < 100; ++id) {
    f.budget.Add(id, f.At(0));
    f.budget.SetPhase(id, Phase::kReceiving, f.At(1));
    f.budget.SetPhase(id, Phase::kServing, f.At(2));
    f.budget.SetPhase(id, Phase::kIdle, f.At(3));
  }
  // Forty callers at once, whose requests have not been read yet.
  for (uint64_t id = 100; id < 140; ++id) {
    const auto closed = f.budget.Add(id, f.At(1000));
    BOOST_REQUIRE(closed.has_value());
    BOOST_TEST(*closed < 100U);
    f.budget.Remove(*closed);
  }
}

// A connection that is in use goes after one that has been silent for longer, whichever of them had
// a request before.
BOOST_AUTO_TEST_CASE(silent_connections_make_room_before_those_in_use) {
  Fixture f;
  for (uint64_t id = 0; id < 100; ++id) {
    f.budget.Add(id, f.At(static_cast<int64_t>(10 * id)));
  }
  f.budget.SetPhase(0, Phase::kServing, f.At(1100));
  f.budget.SetPhase(0, Phase::kIdle, f.At(1200));
  f.budget.SetPhase(1, Phase::kReceiving, f.At(1150));
  for (uint64_t id = 100; id < 198; ++id) {
    const auto closed = f.budget.Add(id, f.At(2000));
    BOOST_TEST((closed == std::optional<uint64_t>(id - 98)));
    f.budget.Remove(closed.value_or(0));
  }
  BOOST_TEST((f.budget.Add(198, f.At(2000)) == std::optional<uint64_t>(1)));
}

BOOST_AUTO_TEST_CASE(connection_is_rejected_while_all_others_are_served) {
  Fixture f;
  for (uint64_t id = 0; id < 100; ++id) {
    f.budget.Add(id, f.At(0));
    f.budget.SetPhase(id, Phase::kServing, f.At(1));
  }
  BOOST_TEST((f.budget.Add(100, f.At(400)) == std::optional<uint64_t>(100)));
}

// Load pattern: callers that send requests without end and read none of the responses.
BOOST_AUTO_TEST_CASE(connection_whose_caller_does_not_read_makes_room) {
  Fixture f;
  for (uint64_t id = 0; id < 100; ++id) {
    f.budget.Add(id, f.At(0));
    f.budget.SetPhase(id, Phase::kServing, f.At(1));
  }
  f.budget.SetHeld(7, kKiB, kKiB);
  BOOST_TEST((f.budget.Add(100, f.At(400)) == std::optional<uint64_t>(7)));
}

BOOST_AUTO_TEST_CASE(removed_connection_holds_nothing) {
  Fixture f;
  f.Receive(1, 0);
  f.Hold(1, kMiB, 0);
  f.budget.Remove(1);
  BOOST_TEST(f.budget.HeldBytes() == 0U);
  BOOST_TEST(f.budget.SetHeld(1, kMiB, 0).empty());
  BOOST_TEST(f.budget.HeldBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
