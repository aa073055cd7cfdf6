// Callers that break the limits must not end an instance, exceed its memory or descriptors, or take
// it away from ordinary callers.
//
// Each case checks only that the process lives, that its peak of memory and its sockets stay within
// the limits of its settings, and that one ordinary request is answered afterwards, while the crowd
// still holds the connections that it was left. Nothing depends on the speed of the machine.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>

#include "tests/callers/callers_run.h"

namespace azuregw::callers {
namespace {

// Bytes that one connection sends when it sends without end. A crowd of kEndlessCrowd exceeds the
// memory of the instance several times.
constexpr uint64_t kEndless = uint64_t{16} << 20;
constexpr int kEndlessCrowd = 12;
// Connections that each hold a body of the largest legal size.
constexpr int kBodyCrowd = 120;
// Connections that each ask for a long answer.
constexpr int kUnreadCrowd = 40;
// Connections that each hold a head of nearly the largest legal size.
constexpr int kHeadCrowd = 1000;
// Connections that each hold a head of many fields: 1.5 times the memory of the instance.
constexpr int kShortFieldCrowd = 300;
// Connections that the instance accepts, and callers that come at once, in the case of a crowd that
// stays.
constexpr int kStayingCrowd = 75;
constexpr int kArrivals = 30;

std::string Head(const std::string& fields) {
  return "POST /order/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: hostile\r\n"
         "X-Deadline-Ms: 20000\r\nApi-Key: key-0\r\n" +
         fields;
}

std::string HeadWithLength(uint64_t bytes) {
  return Head("Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string Chunked() { return Head("Transfer-Encoding: chunked\r\n\r\n"); }

std::string Repeat(const std::string& text, int times) {
  std::string result;
  for (int i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

void Judge(CallersRun* run, const InstanceLimits& limits) {
  BOOST_TEST(run->Alive());
  const Answer answer = run->Order("ordinary");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "done ordinary");
  BOOST_TEST(run->Alive());
  const int peak_mb = run->PeakMemoryMb();
  BOOST_TEST(peak_mb > 0);
  BOOST_TEST(peak_mb <= limits.memory_mb);
  BOOST_TEST(run->OpenSockets() <= limits.max_descriptors - kFileDescriptors);
  BOOST_TEST_MESSAGE("peak " << peak_mb << " MB of " << limits.memory_mb << ", "
                             << run->OpenSockets() << " sockets");
}

// Plays one kind of caller against a fresh instance.
void Play(int connections, const HostileRequest& request, InstanceLimits limits = {}) {
  CallersRun run(limits);
  BOOST_REQUIRE(run.Start());
  run.Attack(connections, request);
  Judge(&run, limits);
}

BOOST_AUTO_TEST_SUITE(untrusted_callers)

BOOST_AUTO_TEST_CASE(trailers_without_end) {
  Play(kEndlessCrowd,
       {Chunked() + "5\r\nhello\r\n0\r\n", Repeat("X-Trailer: some value\r\n", 500), kEndless});
}

BOOST_AUTO_TEST_CASE(one_trailer_without_end) {
  Play(kEndlessCrowd,
       {Chunked() + "5\r\nhello\r\n0\r\nX-Trailer: ", std::string(16384, 'a'), kEndless});
}

// Guards against a trailer that is within the limit of the head and longer than the library can
// store: one such request ended the process. Which length is complete before the limit is checked
// depends on how the bytes arrive.
BOOST_AUTO_TEST_CASE(long_trailer_within_the_limit_of_the_head) {
  InstanceLimits limits;
  limits.max_header_bytes = 65536;
  CallersRun run(limits);
  BOOST_REQUIRE(run.Start());
  for (size_t length = 65600; length < 80000; length += 600) {
    const std::string trailer = std::string(length, 'a') + "\r\n\r\n";
    run.Attack(1, {Chunked() + "5\r\nhello\r\n0\r\nX-Trailer: ", trailer, trailer.size()});
    BOOST_REQUIRE(run.Alive());
  }
  Judge(&run, limits);
}

BOOST_AUTO_TEST_CASE(chunk_extension_without_end) {
  Play(kEndlessCrowd, {Chunked() + "5;a=", std::string(16384, 'a'), kEndless});
}

BOOST_AUTO_TEST_CASE(small_chunks_with_long_extensions) {
  const std::string piece = "1;a=" + std::string(8000, 'b') + "\r\nx\r\n";
  Play(kEndlessCrowd, {Chunked(), piece, kEndless});
}

BOOST_AUTO_TEST_CASE(header_field_without_end) {
  Play(kEndlessCrowd, {Head("X-Long: "), std::string(16384, 'a'), kEndless});
}

BOOST_AUTO_TEST_CASE(header_fields_without_end) {
  Play(kEndlessCrowd, {Head(""), Repeat("X-Field: some value\r\n", 500), kEndless});
}

BOOST_AUTO_TEST_CASE(request_target_without_end) {
  Play(kEndlessCrowd, {"GET /", std::string(16384, 'a'), kEndless});
}

BOOST_AUTO_TEST_CASE(empty_lines_without_end) {
  Play(kEndlessCrowd, {"", Repeat("\r\n", 4096), kEndless});
}

BOOST_AUTO_TEST_CASE(empty_lines_one_by_one) { Play(kEndlessCrowd, {"", "\r\n", 40000}); }

BOOST_AUTO_TEST_CASE(heads_that_stop_short_of_their_end) {
  InstanceLimits limits;
  limits.memory_mb = 32;
  Play(kHeadCrowd, {Head("X-Long: "), std::string(8000, 'a'), 16000}, limits);
}

// Guards against a process that exceeds its memory by heads of many short fields, each of which
// takes twenty times its bytes on the wire when it is parsed.
BOOST_AUTO_TEST_CASE(heads_of_many_short_fields_with_bodies_that_stop_short) {
  const std::string head =
      Head(Repeat("a:\r\n", 3900) + "Content-Length: 4096\r\n\r\n") + std::string(4095, 'b');
  Play(kShortFieldCrowd, {head, "", 0});
}

BOOST_AUTO_TEST_CASE(bodies_that_stop_short_of_their_end) {
  const InstanceLimits limits;
  Play(kBodyCrowd,
       {HeadWithLength(limits.max_body_bytes), std::string(65536, 'a'), limits.max_body_bytes - 1});
}

BOOST_AUTO_TEST_CASE(chunked_bodies_that_stop_short_of_their_end) {
  const InstanceLimits limits;
  char size[32];
  std::snprintf(size, sizeof(size), "%llx\r\n",
                static_cast<unsigned long long>(limits.max_body_bytes));
  Play(kBodyCrowd, {Chunked() + size, std::string(65536, 'a'), limits.max_body_bytes - 1});
}

BOOST_AUTO_TEST_CASE(bodies_in_small_chunks_that_stop_short_of_their_end) {
  const InstanceLimits limits;
  // A chunk of 512 bytes takes 519 bytes on the wire.
  Play(kBodyCrowd, {Chunked(), "200\r\n" + std::string(512, 'a') + "\r\n",
                    limits.max_body_bytes / 512 * 519 - 519});
}

// The service takes the requests and answers none, so that all that were read whole are held.
BOOST_AUTO_TEST_CASE(whole_bodies_at_once) {
  const InstanceLimits limits;
  CallersRun run(limits);
  BOOST_REQUIRE(run.Start());
  run.SetMute(true);
  run.Attack(kBodyCrowd, {HeadWithLength(limits.max_body_bytes), std::string(65536, 'a'),
                          limits.max_body_bytes});
  run.SetMute(false);
  Judge(&run, limits);
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_descriptors) {
  InstanceLimits limits;
  limits.max_descriptors = kFileDescriptors + 100;
  Play(250, {"", "", 0}, limits);
}

BOOST_AUTO_TEST_CASE(unfinished_heads_beyond_the_descriptors) {
  InstanceLimits limits;
  limits.max_descriptors = kFileDescriptors + 100;
  Play(250, {Head(""), "", 0}, limits);
}

// Guards against callers who are locked out by a crowd that was answered once and stays: callers
// that come together made room for each other.
BOOST_AUTO_TEST_CASE(crowd_that_stays_does_not_lock_ordinary_callers_out) {
  InstanceLimits limits;
  limits.max_descriptors = kFileDescriptors + 100;
  CallersRun run(limits);
  BOOST_REQUIRE(run.Start());
  const std::string no_key =
      "POST /order/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: crowd\r\n"
      "Content-Length: 2\r\n\r\nhi";
  run.Attack(kStayingCrowd, {no_key, "", 0});
  const auto answered = [&](size_t first) {
    return std::count_if(run.Callers().begin() + static_cast<std::ptrdiff_t>(first),
                         run.Callers().end(),
                         [](const auto& caller) { return !caller->Received().empty(); });
  };
  BOOST_TEST(run.Until([&] { return answered(0) == kStayingCrowd; }));
  run.Attack(kArrivals, {HeadWithLength(2) + "hi", "", 0});
  BOOST_TEST(run.Until([&] { return answered(kStayingCrowd) == kArrivals; }));
  Judge(&run, limits);
}

// Each answer is of some MB, and no caller reads.
BOOST_AUTO_TEST_CASE(long_answers_that_are_not_read) {
  const std::string body = std::string(fakes::kLongBody) + "x";
  HostileRequest request = {HeadWithLength(body.size()) + body, "", 0};
  request.reads = false;
  InstanceLimits limits;
  limits.memory_mb = 32;
  Play(kUnreadCrowd, request, limits);
}

// A single request of the largest legal size is served, whole and in chunks.
BOOST_AUTO_TEST_CASE(largest_legal_body_is_served) {
  const InstanceLimits limits;
  CallersRun run(limits);
  BOOST_REQUIRE(run.Start());
  const std::string body(limits.max_body_bytes, 'b');
  const Answer answer = run.Order(body);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST((answer.body == "done " + body));
  run.Attack(1, {Chunked() + "f4240\r\n" + body + "\r\n0\r\n\r\n", "", 0});
  run.Until([&] { return !run.Callers().front()->Received().empty(); });
  BOOST_TEST(run.Callers().front()->Received().find("HTTP/1.1 200") == 0);
  Judge(&run, limits);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::callers
