// Tests of the order service from the caller's side: keys, replays, refusals and retries.

#include "azuregw/orders/order_service.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "tests/orders/order_fixture.h"

namespace azuregw {
namespace {

using Behaviour = FakeServiceClient::Behaviour;

struct Fixture {
  MemoryKeyValueStore store;
  FakeServiceClient client;
  OrderInstance first{&store, &client, 1};
  OrderInstance second{&store, &client, 2};
};

ResultCode CodeOf(const Result<ServiceAnswer>& result) {
  return result ? ResultCode::kOk : result.error().code;
}

BOOST_FIXTURE_TEST_SUITE(order_service, Fixture)

// Guards against a second run when a caller retries with the same key, also at another instance.
BOOST_AUTO_TEST_CASE(retry_with_the_same_key_replays_the_recorded_answer) {
  const Result<ServiceAnswer> answer = first.Run(Deposit("k1"));
  BOOST_REQUIRE(answer);
  BOOST_TEST(!answer.value().replayed);
  BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
  for (OrderInstance* instance : {&first, &second}) {
    const Result<ServiceAnswer> retry = instance->Run(Deposit("k1"));
    BOOST_REQUIRE(retry);
    BOOST_TEST(retry.value().replayed);
    BOOST_TEST(retry.value().reply.status == 201);
    BOOST_TEST(retry.value().reply.body == "done 1");
  }
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against a key that looks unused after an operator changes the number of shards: the number
// is fixed when the first order is claimed.
BOOST_AUTO_TEST_CASE(change_of_the_number_of_shards_has_no_effect) {
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(CodeOf(first.Run(Deposit("k" + std::to_string(i)))) == ResultCode::kOk);
  }
  BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
  BOOST_REQUIRE(store.Get("azuregw/orders/layout").value());
  BOOST_TEST(store.Get("azuregw/orders/layout").value()->value == "4");
  second.snapshot = MakeOrderSnapshot(3, 7);
  for (int i = 0; i < 20; ++i) {
    const Result<ServiceAnswer> retry = second.Run(Deposit("k" + std::to_string(i)));
    BOOST_REQUIRE(retry);
    BOOST_TEST(retry.value().replayed);
  }
}

// Guards against replaying an answer of one workspace to another.
BOOST_AUTO_TEST_CASE(keys_are_scoped_by_workspace) {
  BOOST_TEST(CodeOf(first.Run(Deposit("k1"))) == ResultCode::kOk);
  ServiceCall other = Deposit("k1");
  other.workspace = "parlour";
  const Result<ServiceAnswer> answer = first.Run(other);
  BOOST_REQUIRE(answer);
  BOOST_TEST(!answer.value().replayed);
  BOOST_TEST(client.Effects("k1") == 2);
}

// Guards against replaying the answer to one order for a different order.
BOOST_AUTO_TEST_CASE(same_key_with_another_body_is_refused) {
  BOOST_TEST(CodeOf(first.Run(Deposit("k1"))) == ResultCode::kOk);
  ServiceCall other = Deposit("k1");
  other.body = R"({"amount":70})";
  const Result<ServiceAnswer> answer = second.Run(other);
  BOOST_REQUIRE(!answer);
  BOOST_TEST(answer.error().code == ResultCode::kIdempotencyKeyReused);
  BOOST_TEST((answer.error().outcome == RunOutcome::kNotRun));
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against running an operation without the idempotency key that it requires.
BOOST_AUTO_TEST_CASE(missing_key_is_refused) {
  BOOST_TEST(CodeOf(first.Run(Deposit(""))) == ResultCode::kMissingIdempotencyKey);
  BOOST_TEST(client.Calls() == 0);
}

BOOST_AUTO_TEST_CASE(unknown_service_is_refused) {
  ServiceCall call = Deposit("k1");
  call.service = "stock";
  BOOST_TEST(CodeOf(first.Run(call)) == ResultCode::kUnknownService);
}

// Guards against a second run while the first is in progress.
BOOST_AUTO_TEST_CASE(retry_while_in_progress_is_refused) {
  client.Next(Behaviour::kHold);
  auto running = first.Start(Deposit("k1"));
  while (client.Calls() == 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  BOOST_TEST(CodeOf(second.Run(Deposit("k1"))) == ResultCode::kOrderInProgress);
  client.Release();
  BOOST_TEST(CodeOf(running.get()) == ResultCode::kOk);
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against a second run after the reply of the upstream is lost.
BOOST_AUTO_TEST_CASE(lost_reply_is_unknown_and_never_run_again) {
  client.Next(Behaviour::kLoseReply);
  const Result<ServiceAnswer> answer = first.Run(Deposit("k1"));
  BOOST_REQUIRE(!answer);
  BOOST_TEST((answer.error().outcome == RunOutcome::kUnknown));
  BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
  BOOST_TEST(CodeOf(second.Run(Deposit("k1"))) == ResultCode::kOrderOutcomeUnknown);
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against failing an order that provably did not run and can be sent to another upstream.
BOOST_AUTO_TEST_CASE(refused_order_goes_to_another_upstream_under_the_same_claim) {
  client.Next(Behaviour::kRefuse);
  client.Next(Behaviour::kUnreachable);
  BOOST_TEST(CodeOf(first.Run(Deposit("k1"))) == ResultCode::kOk);
  BOOST_TEST(client.Calls() == 3);
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against a key that stays blocked after its caller was told not_run.
BOOST_AUTO_TEST_CASE(key_may_be_claimed_again_after_not_run) {
  for (int i = 0; i < 3; ++i) {
    client.Next(Behaviour::kRefuse);
  }
  const Result<ServiceAnswer> refused = first.Run(Deposit("k1"));
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().outcome == RunOutcome::kNotRun));
  BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
  BOOST_TEST(CodeOf(second.Run(Deposit("k1"))) == ResultCode::kOk);
  BOOST_TEST(client.Effects("k1") == 1);
}

// Guards against a retry of an order without a key once any part of it was sent.
BOOST_AUTO_TEST_CASE(unkeyed_order_is_sent_once) {
  for (const Behaviour behaviour : {Behaviour::kLoseReply, Behaviour::kRefuse}) {
    client.Next(behaviour);
    ServiceCall call = Deposit("");
    call.path = "/notes";
    const int before = client.Calls();
    BOOST_TEST(!first.Run(call));
    BOOST_TEST(client.Calls() == before + 1);
  }
}

// Guards against failing a repeatable call while another upstream is available.
BOOST_AUTO_TEST_CASE(repeatable_call_is_retried_on_another_upstream) {
  client.Next(Behaviour::kLoseReply);
  ServiceCall call = Deposit("");
  call.method = "PUT";
  call.path = "/tags/7?x=1";
  BOOST_TEST(CodeOf(first.Run(call)) == ResultCode::kOk);
  BOOST_REQUIRE(client.Addresses().size() == 2u);
  BOOST_TEST(client.Addresses()[0] != client.Addresses()[1]);
}

// Guards against wrong replays of answers that exceed the inline limit or are not UTF-8.
BOOST_AUTO_TEST_CASE(large_and_binary_answers_are_replayed) {
  for (const std::string& body : {std::string(100000, 'x'), std::string("\xff\x00\x80", 3)}) {
    client.SetBody(body);
    const std::string key = "k" + std::to_string(body.size());
    BOOST_TEST(CodeOf(first.Run(Deposit(key))) == ResultCode::kOk);
    BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
    const Result<ServiceAnswer> retry = second.Run(Deposit(key));
    BOOST_REQUIRE(retry);
    BOOST_TEST(retry.value().replayed);
    BOOST_TEST((retry.value().reply.body == body));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
