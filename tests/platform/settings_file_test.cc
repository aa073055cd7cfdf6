// Tests of the settings of an instance.

#include "platform/settings_file.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw::platform {
namespace {

std::string Settings(const std::string& limits) {
  return "nodeName = \"gw\"\nzone = \"a\"\ninternalPorts = [7340]\n[listen]\n"
         "front = \"127.0.0.1:8227\"\nready = \"127.0.0.1:8220\"\n[limits]\n" +
         limits + "[platform]\naddress = \"127.0.0.1:8223\"\n";
}

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(memory_and_descriptors_are_read) {
  const auto settings = ParseSettings(Settings("memoryMb = 160\nmaxFds = 4100\n"));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().memory_bytes == uint64_t{160} << 20);
  BOOST_TEST(settings.value().max_descriptors == 4100);
  BOOST_TEST(ParseSettings(Settings("")).value().memory_bytes == uint64_t{512} << 20);
}

BOOST_AUTO_TEST_CASE(wrong_limits_are_named) {
  for (const char* const limit : {"memoryMb = 0\n", "memoryMb = \"much\"\n"}) {
    const auto settings = ParseSettings(Settings(limit));
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().message.find("limits.memoryMb") != std::string::npos);
  }
  BOOST_TEST(!ParseSettings(Settings("maxFds = -1\n")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::platform
