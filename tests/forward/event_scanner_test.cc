// Tests of event boundaries and IDs.

#include "azuregw/forward/event_scanner.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(event_scanner)

// A stream forwarded up to the middle of an event could not be resumed.
BOOST_AUTO_TEST_CASE(only_complete_events_are_returned_unchanged) {
  const std::string text =
      "id: 1\ndata: a\n\nx-weights: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\nid: 4\ndata";
  EventScanner scanner;
  std::string passed;
  for (const char byte : text) {
    scanner.Push(std::string_view(&byte, 1));
    passed += scanner.TakeCompleteEvents(std::nullopt);
  }
  BOOST_TEST(passed == text.substr(0, text.find("id: 4")));
  BOOST_TEST(scanner.LastId().value() == "3");
  BOOST_TEST(scanner.HasPartialEvent());
}

// A stream resumed on another engine must not repeat an event.
BOOST_AUTO_TEST_CASE(events_already_sent_are_dropped) {
  EventScanner scanner;
  scanner.Push("id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
  BOOST_TEST(scanner.TakeCompleteEvents(4) == "id: 5\ndata: e\n\n");
  BOOST_TEST(!scanner.HasPartialEvent());
}

// Guards against an ID that is too long for a header field when the stream resumes, or that adds
// header fields of its own.
BOOST_AUTO_TEST_CASE(event_with_an_invalid_id_ends_the_stream_before_it) {
  const std::string good = "id: 1\ndata: a\n\n";
  for (const std::string& id : {std::string(70000, 'x'), std::string(kMaxEventIdBytes + 1, '7'),
                                std::string("2\rx: y"), std::string("2\0", 2)}) {
    EventScanner scanner;
    scanner.Push(good + "id: " + id + "\ndata: b\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(scanner.TakeCompleteEvents(std::nullopt) == good);
    BOOST_TEST(scanner.Invalid());
    BOOST_TEST(scanner.LastId().value() == "1");
    BOOST_TEST(scanner.TakeCompleteEvents(std::nullopt).empty());
    scanner.Clear();
    scanner.Push("id: 2\ndata: b\n\n");
    BOOST_TEST(scanner.TakeCompleteEvents(1) == "id: 2\ndata: b\n\n");
  }
}

BOOST_AUTO_TEST_CASE(only_decimal_ids_are_event_numbers) {
  BOOST_TEST(ParseEventNumber(std::string("12")).value() == 12U);
  BOOST_TEST(!ParseEventNumber(std::string("12a")).has_value());
  BOOST_TEST(!ParseEventNumber(std::string("")).has_value());
  BOOST_TEST(!ParseEventNumber(std::nullopt).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
