// Result codes: the published list must be the list in the code.

#include "azuregw/base/result.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace azuregw {
namespace {

// Number -> (name, status) of docs/errors.md.
std::map<int, std::pair<std::string, int>> DocumentedCodes() {
  std::map<int, std::pair<std::string, int>> codes;
  std::ifstream file("docs/errors.md");
  for (std::string line; std::getline(file, line);) {
    std::istringstream cells(line);
    char bar = 0;
    int number = 0;
    std::string name;
    int status = 0;
    if (cells >> bar >> number >> bar >> name >> bar >> status && bar == '|') {
      codes[number] = {name, status};
    }
  }
  return codes;
}

BOOST_AUTO_TEST_SUITE(result)

// Guards against codes without a description and against descriptions of other codes.
BOOST_AUTO_TEST_CASE(errors_page_lists_exactly_the_codes) {
  const auto documented = DocumentedCodes();
  BOOST_TEST(documented.size() > 50u);
  for (int number = 0; number < 10000; ++number) {
    const auto code = static_cast<ResultCode>(number);
    // Unknown numbers have the name of kInternal.
    const bool in_code =
        ResultCodeName(code) != "internal" || number == static_cast<int>(ResultCode::kInternal);
    BOOST_TEST((documented.count(number) == 1) == in_code, number);
    if (in_code && documented.count(number) == 1) {
      BOOST_TEST(documented.at(number).first == ResultCodeName(code));
      BOOST_TEST(documented.at(number).second == HttpStatus(code));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
