// Boundaries and ids of events.

#include "azuregw/forward/event_scanner.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(event_scanner)

// Guards against an answer that is passed on in the middle of an event and cannot be resumed.
BOOST_AUTO_TEST_CASE(only_whole_events_are_passed_on_unchanged) {
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

// Guards against an event that comes twice after a stream went on at another engine.
BOOST_AUTO_TEST_CASE(events_that_the_caller_has_are_dropped) {
  EventScanner scanner;
  scanner.Push("id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
  BOOST_TEST(scanner.TakeCompleteEvents(4) == "id: 5\ndata: e\n\n");
  BOOST_TEST(!scanner.HasPartialEvent());
}

BOOST_AUTO_TEST_CASE(only_whole_numbers_are_event_numbers) {
  BOOST_TEST(ParseEventNumber(std::string("12")).value() == 12U);
  BOOST_TEST(!ParseEventNumber(std::string("12a")).has_value());
  BOOST_TEST(!ParseEventNumber(std::string("")).has_value());
  BOOST_TEST(!ParseEventNumber(std::nullopt).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
