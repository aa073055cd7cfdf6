// Tests of the quarantine in the store.

#include "azuregw/sync/quarantine_store.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_async_store.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"

namespace azuregw {
namespace {

const std::vector<PartId> kParts = {42};

// Unix time that follows a FakeLoop.
class LoopClock final : public Clock {
 public:
  explicit LoopClock(const FakeLoop* loop) : m_loop(loop) {}
  TimePoint Now() const override { return m_loop->Now(); }
  int64_t WallMs() const override {
    return std::chrono::duration_cast<Milliseconds>(m_loop->Now().time_since_epoch()).count();
  }

 private:
  const FakeLoop* const m_loop;
};

struct Instance {
  Instance(FakeLoop* loop, const Clock* clock, FakeAsyncStore* store)
      : keeper(loop, clock, store, &quarantine, &log, "quarantine") {}
  bool Blocks(TimePoint now) { return quarantine.Check(kParts, false, now).has_value(); }

  FakeLog log;
  PromptQuarantine quarantine;
  QuarantineStore keeper;
};

struct Fixture {
  std::unique_ptr<Instance> Start(bool leading) {
    auto instance = std::make_unique<Instance>(&loop, &clock, &store);
    instance->keeper.SetLeading(leading);
    instance->keeper.Start();
    loop.Advance(Milliseconds(600));
    return instance;
  }
  void Quarantine(Instance* instance) {
    for (int i = 0; i < PromptQuarantine::kMaxCrashes; ++i) {
      instance->quarantine.OnCrash(kParts, ++process, loop.Now(), loop.Now());
      loop.Advance(Milliseconds(100));
    }
    loop.Advance(Milliseconds(600));
  }

  FakeLoop loop;
  LoopClock clock{&loop};
  FakeAsyncStore store{&loop};
  ProcessId process = 0;
};

BOOST_AUTO_TEST_SUITE(quarantine_store)

// Load pattern: all instances lose power while requests with a bad part come.
BOOST_AUTO_TEST_CASE(quarantine_survives_a_restart_of_all_instances) {
  Fixture f;
  auto leader = f.Start(true);
  f.Quarantine(leader.get());
  leader.reset();
  f.loop.Advance(Milliseconds(2000));
  const auto follower = f.Start(false);
  BOOST_TEST(follower->keeper.Started());
  BOOST_TEST(follower->Blocks(f.loop.Now()));
  BOOST_TEST(!follower->quarantine.Check(std::vector<PartId>{7}, false, f.loop.Now()).has_value());
}

// Guards against crashes that count anew after each restart, until the part is quarantined at last
// (soak seed 15).
BOOST_AUTO_TEST_CASE(suspected_part_survives_a_restart_of_all_instances) {
  Fixture f;
  auto leader = f.Start(true);
  const auto crash = [&](Instance* instance) {
    instance->quarantine.OnCrash(kParts, ++f.process, f.loop.Now(), f.loop.Now());
    f.loop.Advance(Milliseconds(300));
  };
  for (int i = 0; i < PromptQuarantine::kMinSuspectCrashes; ++i) {
    crash(leader.get());
  }
  BOOST_TEST(!leader->Blocks(f.loop.Now()));
  f.loop.Advance(Milliseconds(600));
  const auto next = f.Start(false);
  BOOST_TEST(!next->Blocks(f.loop.Now()));
  for (int i = PromptQuarantine::kMinSuspectCrashes; i < PromptQuarantine::kMaxCrashes; ++i) {
    crash(next.get());
  }
  BOOST_TEST(next->Blocks(f.loop.Now()));
}

BOOST_AUTO_TEST_CASE(deleted_key_lifts_the_quarantine) {
  Fixture f;
  const auto leader = f.Start(true);
  f.Quarantine(leader.get());
  BOOST_TEST(leader->Blocks(f.loop.Now()));
  f.store.Remove("quarantine");
  f.loop.Advance(QuarantineStore::kLiftCheckInterval + Milliseconds(600));
  BOOST_TEST(!leader->Blocks(f.loop.Now()));
  BOOST_TEST(leader->log.Count("prompt_quarantine_lifted") == 1);
  f.Quarantine(leader.get());
  BOOST_TEST(leader->Blocks(f.loop.Now()));
  BOOST_TEST(f.store.Has("quarantine"));
}

// Guards against a part that is released by an answer and comes back with the next start.
BOOST_AUTO_TEST_CASE(released_part_leaves_the_store) {
  Fixture f;
  const auto leader = f.Start(true);
  f.Quarantine(leader.get());
  leader->quarantine.OnAnswer(kParts, f.loop.Now());
  f.loop.Advance(Milliseconds(600));
  const auto other = f.Start(false);
  BOOST_TEST(!other->Blocks(f.loop.Now()));
}

// Guards against calls to the store in calm times, and against followers that write.
BOOST_AUTO_TEST_CASE(calm_instances_call_the_store_once) {
  Fixture f;
  const auto leader = f.Start(true);
  const auto follower = f.Start(false);
  f.Quarantine(follower.get());
  f.loop.Advance(Milliseconds(60000));
  BOOST_TEST(!f.store.Has("quarantine"));
  BOOST_TEST(f.store.m_calls <= 3);
}

// Guards against a leader that overwrites what the one before it wrote.
BOOST_AUTO_TEST_CASE(new_leader_keeps_the_parts_of_the_last_one) {
  Fixture f;
  auto first = f.Start(true);
  f.Quarantine(first.get());
  first.reset();
  const auto next = f.Start(false);
  next->keeper.SetLeading(true);
  for (int i = 0; i < PromptQuarantine::kMaxCrashes; ++i) {
    next->quarantine.OnCrash(std::vector<PartId>{7}, ++f.process, f.loop.Now(), f.loop.Now());
    f.loop.Advance(Milliseconds(100));
  }
  f.loop.Advance(Milliseconds(1000));
  const auto third = f.Start(false);
  BOOST_TEST(third->Blocks(f.loop.Now()));
  BOOST_TEST(third->quarantine.Check(std::vector<PartId>{7}, false, f.loop.Now()).has_value());
}

// Guards against a store that is away, loses answers, or holds something else.
BOOST_AUTO_TEST_CASE(store_in_trouble_is_written_later) {
  Fixture f;
  f.store.Put("quarantine", "not a document");
  const auto leader = f.Start(true);
  BOOST_TEST(leader->log.Count("prompt_quarantine_unreadable") >= 1);
  f.store.m_down = true;
  f.Quarantine(leader.get());
  f.store.m_down = false;
  f.store.m_lose_answers = true;
  f.loop.Advance(Milliseconds(2500));
  f.store.m_lose_answers = false;
  f.loop.Advance(Milliseconds(4000));
  const auto other = f.Start(false);
  BOOST_TEST(other->Blocks(f.loop.Now()));
}

// Guards against a restore that lifts every quarantine: the copy lacks the key, which only means
// that an operator deleted it if this era had it.
BOOST_AUTO_TEST_CASE(key_that_a_restored_store_lacks_is_written_again) {
  Fixture f;
  f.store.BackUp();
  auto leader = f.Start(true);
  f.Quarantine(leader.get());
  BOOST_REQUIRE(f.store.Has("quarantine"));
  f.store.Restore();
  f.loop.Advance(QuarantineStore::kLiftCheckInterval * 2);
  BOOST_TEST(leader->Blocks(f.loop.Now()));
  BOOST_TEST(f.store.Has("quarantine"));
  // Deleted in this era, it is lifted.
  f.store.Remove("quarantine");
  f.loop.Advance(QuarantineStore::kLiftCheckInterval * 2);
  BOOST_TEST(!leader->Blocks(f.loop.Now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
