// State that one instance reads from the store for the others.

#include "sync/sync_sessions.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "azuregw/peer/frame_decoder.h"
#include "tests/support/fake_async_store.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"
#include "tests/support/text_codec.h"

namespace azuregw {
namespace {

// One instance; all share the clock and the store.
struct Instance {
  Instance(FakeLoop* loop, FakeAsyncStore* store)
      : watcher(loop, store, &codec, &table, &retry, &log),
        lister(loop, store, &codec, &fleet, &retry, &log),
        state{loop, &fleet, &watcher, &lister} {}

  FakeLog log;
  TextCodec codec;
  RouteTable table{Milliseconds(3500)};
  std::unique_ptr<Random> random = MakeRandom(7);
  StoreRetry retry{random.get()};
  Fleet fleet;
  ConfigWatcher watcher;
  UpstreamLister lister;
  SharedState state;
};

// A holder and one reporter whose messages take no time, unless a test holds them back.
struct Fixture {
  Fixture() {
    store.Put("config", "3");
    store.Put("up/e1", "ready");
    holder.watcher.SetRelaying(true);
    holder.lister.SetRelaying(true);
    holder.watcher.Start();
    holder.lister.Start();
    loop.Advance(Milliseconds(50));
  }
  void Talk() {
    BOOST_REQUIRE(holding.TakeList());
    holding.OnReport(reporting.NextReport(), &link);
    reporting.OnNews(holding.NewsFor(&link, true));
    reporting.OnTotals(holding.Totals());
  }
  void TalkFor(Milliseconds time) {
    for (Milliseconds gone(0); gone < time; gone += Milliseconds(150)) {
      Talk();
      loop.Advance(Milliseconds(150));
    }
  }

  FakeLoop loop;
  FakeAsyncStore store{&loop};
  Instance holder{&loop, &store};
  Instance other{&loop, &store};
  LeaderSession holding{holder.state, "i1", 0.25};
  FollowerSession reporting{other.state, "i2", 0.5};
  FollowerState link;
};

BOOST_AUTO_TEST_SUITE(sync_sessions)

// Guards against calls to the store that grow with the fleet.
BOOST_AUTO_TEST_CASE(an_instance_that_hears_the_holder_does_not_call_the_store) {
  Fixture f;
  f.other.watcher.Start();
  f.other.lister.Start();
  f.TalkFor(Milliseconds(3000));
  const int before = f.store.m_calls;
  f.TalkFor(Milliseconds(6000));
  // Six seconds of the holder alone: its watches and lists.
  const int own = 6000 / static_cast<int>(ConfigWatcher::kRelayingWatchWait.count()) +
                  6000 / static_cast<int>(UpstreamLister::kRelayingInterval.count());
  BOOST_TEST(f.store.m_calls - before <= own + 2);
  BOOST_TEST((*f.other.table.Age(f.loop.Now()) < Milliseconds(1000)));
  BOOST_TEST((*f.other.lister.Age() < Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(changes_reach_the_others) {
  Fixture f;
  f.Talk();
  BOOST_TEST(f.other.table.Version() == 3U);
  BOOST_REQUIRE(f.other.fleet.Find("e1") != nullptr);
  f.store.Put("config", "4");
  f.store.Put("up/e1", "draining");
  f.store.Put("up/e2", "ready");
  f.loop.Advance(Milliseconds(600));
  f.Talk();
  BOOST_TEST(f.other.table.Version() == 4U);
  BOOST_TEST(f.other.fleet.Find("e1")->record.draining);
  BOOST_REQUIRE(f.other.fleet.Find("e2") != nullptr);
  f.store.Remove("up/e1");
  f.loop.Advance(Milliseconds(600));
  f.Talk();
  BOOST_TEST(f.other.fleet.Find("e1") == nullptr);
}

// Guards against the document and the list being sent again and again over a small machine's link.
BOOST_AUTO_TEST_CASE(only_changes_are_sent) {
  Fixture f;
  f.Talk();
  f.loop.Advance(Milliseconds(600));
  f.holding.OnReport(f.reporting.NextReport(), &f.link);
  const StateUpdate news = f.holding.NewsFor(&f.link, true);
  BOOST_REQUIRE(news.config.has_value());
  BOOST_TEST(news.config->document.empty());
  BOOST_TEST(news.list.changed.empty());
  BOOST_TEST(!news.list.whole);
}

// Guards against keys that stay valid because news lay in a buffer: neither the time of arrival nor
// the holder's clock may count, only the time at which the receiver sent what was returned.
BOOST_AUTO_TEST_CASE(news_that_were_held_up_do_not_look_fresh) {
  Fixture f;
  f.Talk();
  f.holding.OnReport(f.reporting.NextReport(), &f.link);
  const StateUpdate news = f.holding.NewsFor(&f.link, true);
  f.loop.Advance(Milliseconds(4000));
  f.reporting.OnNews(news);
  BOOST_TEST((*f.other.table.Age(f.loop.Now()) >= Milliseconds(4000)));
  RouteMatch match;
  BOOST_TEST((*f.other.lister.Age() >= Milliseconds(4000)));
}

// The same when the holder lost the store, but not the others.
BOOST_AUTO_TEST_CASE(a_holder_without_the_store_confirms_nothing) {
  Fixture f;
  f.Talk();
  f.store.m_down = true;
  f.TalkFor(Milliseconds(3000));
  BOOST_TEST((*f.other.table.Age(f.loop.Now()) >= Milliseconds(2300)));
  BOOST_TEST((*f.other.lister.Age() >= Milliseconds(2500)));
}

// Guards against an instance that trusts a silent holder until its keys are outdated.
BOOST_AUTO_TEST_CASE(an_instance_reads_the_store_again_when_the_holder_is_silent) {
  Fixture f;
  f.other.watcher.Start();
  f.other.lister.Start();
  f.TalkFor(Milliseconds(3000));
  f.store.Put("config", "4");
  f.store.Put("up/e1", "draining");
  f.loop.Advance(Milliseconds(1600));
  BOOST_TEST(f.other.fleet.Find("e1")->record.draining);
  f.loop.Advance(Milliseconds(400));
  BOOST_TEST(f.other.table.Version() == 4U);
  BOOST_TEST((*f.other.table.Age(f.loop.Now()) < Milliseconds(1000)));
}

// Guards against an older list of the holder undoing what the instance read itself.
BOOST_AUTO_TEST_CASE(an_older_list_does_not_replace_a_newer_one) {
  Fixture f;
  f.Talk();
  f.store.Put("up/e1", "draining");
  f.other.lister.Start();
  f.loop.Advance(Milliseconds(20));
  BOOST_REQUIRE(f.other.fleet.Find("e1")->record.draining);
  f.Talk();
  BOOST_TEST(f.other.fleet.Find("e1")->record.draining);
}

// Guards against entries that an instance kept over an outage and then never removes.
BOOST_AUTO_TEST_CASE(entries_kept_over_an_outage_end_although_nothing_changes) {
  Fixture f;
  f.store.Put("up/e2", "ready");
  f.other.lister.Start();
  f.loop.Advance(Milliseconds(600));
  f.TalkFor(Milliseconds(300));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(3000));
  f.store.Remove("up/e2");
  f.store.m_down = false;
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.other.fleet.Find("e2") != nullptr);
  f.TalkFor(Milliseconds(4000));
  BOOST_TEST(f.other.fleet.Find("e2") == nullptr);
}

// Guards against an instance that takes its own streams for those of others.
BOOST_AUTO_TEST_CASE(own_load_is_not_counted_twice) {
  Fixture f;
  f.Talk();
  f.other.fleet.Reserve("e1", 500);
  f.holder.fleet.Reserve("e1", 200);
  f.Talk();
  BOOST_TEST(f.other.fleet.Find("e1")->others_load.token_layers == 200);
  BOOST_TEST(f.other.fleet.Find("e1")->others_load.requests == 1);
  BOOST_TEST(f.holder.fleet.Find("e1")->others_load.token_layers == 500);
  // A report that the holder has not seen is not part of its totals.
  f.other.fleet.Reserve("e1", 300);
  f.loop.Advance(Milliseconds(1));
  const InstanceReport late = f.reporting.NextReport();
  f.reporting.OnNews(f.holding.NewsFor(&f.link, true));
  f.reporting.OnTotals(f.holding.Totals());
  BOOST_TEST(f.other.fleet.Find("e1")->others_load.token_layers == 200);
  BOOST_TEST(f.other.fleet.Find("e1")->own_load.token_layers == 800);
}

// Guards against an instance that trusts a last holder and never looks for the next one.
BOOST_AUTO_TEST_CASE(news_tell_whether_the_duty_is_held) {
  Fixture f;
  f.holding.OnReport(f.reporting.NextReport(), &f.link);
  BOOST_TEST(f.holding.NewsFor(&f.link, true).held);
  BOOST_TEST(!f.holding.NewsFor(&f.link, false).held);
}

// Guards against a holder that has no time left to renew its duty.
BOOST_AUTO_TEST_CASE(small_holders_of_large_fleets_exchange_less_often) {
  BOOST_TEST((ReportInterval(9, 0.25) == Milliseconds(150)));
  BOOST_TEST((ReportInterval(89, 0.5) < Milliseconds(300)));
  BOOST_TEST((ReportInterval(89, 0.12) == Milliseconds(600)));
  BOOST_TEST((ReportInterval(300, 0.5) == Milliseconds(600)));
  Fixture f;
  f.Talk();
  BOOST_TEST(f.holding.Totals().most_cpu_share == 0.5);
}

// Guards against messages that change on their way.
BOOST_AUTO_TEST_CASE(messages_survive_encoding) {
  Fixture f;
  f.holding.TakeList();
  f.holding.OnReport(f.reporting.NextReport(), &f.link);
  const StateUpdate news = f.holding.NewsFor(&f.link, true);
  const SharedFrame frame = EncodeSync(news);
  const auto decoded =
      DecodeSync({frame->data() + kFrameHeaderBytes, frame->size() - kFrameHeaderBytes});
  BOOST_REQUIRE(decoded.has_value());
  const StateUpdate& copy = std::get<StateUpdate>(*decoded);
  BOOST_TEST(copy.holder == "i1");
  BOOST_TEST(copy.reporter == 1);
  BOOST_TEST(copy.echo_us == news.echo_us);
  BOOST_TEST(copy.config->document == "3");
  BOOST_TEST(copy.config->age_us == news.config->age_us);
  BOOST_REQUIRE(copy.list.changed.size() == 1U);
  BOOST_TEST((copy.list.changed[0].record == news.list.changed[0].record));
  FleetTotals totals;
  totals.instances = 9;
  totals.interval = Milliseconds(267);
  totals.load = {{{7, {1500, 2}, Milliseconds(40)}},
                 {{7, 1, Milliseconds(300), SuspectKind::kStopped}},
                 {{7, 2, Milliseconds(9), 3}}};
  const SharedFrame second = EncodeSync(totals);
  const auto decoded_totals =
      DecodeSync({second->data() + kFrameHeaderBytes, second->size() - kFrameHeaderBytes});
  BOOST_REQUIRE(decoded_totals.has_value());
  BOOST_TEST((std::get<FleetTotals>(*decoded_totals).interval == Milliseconds(267)));
  const LoadReport& load = std::get<FleetTotals>(*decoded_totals).load;
  BOOST_TEST(load.loads[0].load.token_layers == 1500);
  BOOST_TEST(load.loads[0].load.requests == 2);
  BOOST_TEST((load.loads[0].idle == Milliseconds(40)));
  BOOST_TEST((load.suspects[0].kind == SuspectKind::kStopped));
  BOOST_TEST((load.suspects[0].remaining == Milliseconds(300)));
  BOOST_TEST(load.paces[0].pace == 3);
  const std::string foreign = "not a message at all";
  BOOST_TEST(!DecodeSync({reinterpret_cast<const uint8_t*>(foreign.data()), foreign.size()}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
