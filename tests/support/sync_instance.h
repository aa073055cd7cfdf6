// Objects that keep one instance in sync with the store and with the other instances.

#ifndef TESTS_SUPPORT_SYNC_INSTANCE_H_
#define TESTS_SUPPORT_SYNC_INSTANCE_H_

#include <memory>

#include "sync/sync_sessions.h"
#include "tests/support/fake_async_store.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"
#include "tests/support/text_codec.h"

namespace azuregw {

// Instances of one test share the clock, and the store or views of it.
struct SyncInstance {
  SyncInstance(FakeLoop* loop, FakeAsyncStore* store)
      : watcher(loop, store, &codec, &table, &retry, &log),
        lister(loop, store, &codec, &fleet, &retry, &log),
        state{loop, &fleet, &watcher, &lister, &quarantine, store->Era()} {}

  FakeLog log;
  TextCodec codec;
  RouteTable table{Milliseconds(3500)};
  std::unique_ptr<Random> random = MakeRandom(7);
  StoreRetry retry{random.get()};
  Fleet fleet;
  ConfigWatcher watcher;
  UpstreamLister lister;
  PromptQuarantine quarantine;
  SharedState state;
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_SYNC_INSTANCE_H_
