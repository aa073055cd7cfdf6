// Tests of the check for heads that leave the length of their body open.

#include "azuregw/net/body_framing.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

bool Ambiguous(const Fields& fields, unsigned version = 11) {
  boost::beast::http::fields head;
  for (const auto& [name, value] : fields) {
    head.insert(name, value);
  }
  return !BodyLengthAmbiguity(head, version).empty();
}

BOOST_AUTO_TEST_SUITE(body_framing)

BOOST_AUTO_TEST_CASE(usual_heads_are_accepted) {
  BOOST_TEST(!Ambiguous({}));
  BOOST_TEST(!Ambiguous({}, 10));
  BOOST_TEST(!Ambiguous({{"Content-Length", "0"}}));
  BOOST_TEST(!Ambiguous({{"content-length", "4096"}}, 10));
  BOOST_TEST(!Ambiguous({{"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(!Ambiguous({{"transfer-encoding", "Chunked"}}));
}

// Guards against a request that hides inside the body of another one, because two readers disagree
// on where that body ends.
BOOST_AUTO_TEST_CASE(heads_that_leave_the_length_open_are_refused) {
  for (const char* coding :
       {"gzip", "xchunked", "chunkedx", "chunked, gzip", "gzip, chunked", "chunked, chunked",
        "chunked;q=1", "\"chunked\"", "identity", "", "chunked,", ",chunked",
        "\x0b"
        "chunked"}) {
    BOOST_TEST(Ambiguous({{"Transfer-Encoding", coding}}), coding);
    BOOST_TEST(Ambiguous({{"Transfer-Encoding", coding}, {"Content-Length", "5"}}), coding);
    BOOST_TEST(Ambiguous({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", coding}}),
               coding);
  }
  BOOST_TEST(Ambiguous({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(Ambiguous({{"Transfer-Encoding", "chunked"}}, 10));
  BOOST_TEST(Ambiguous({{"Content-Length", "5"}, {"Content-Length", "5"}}));
  for (const char* length : {"5, 5", "+5", "-5", "0x5", "5,"}) {
    BOOST_TEST(Ambiguous({{"Content-Length", length}}), length);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
