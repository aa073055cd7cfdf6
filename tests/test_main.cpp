// Entry point of every test program; the test cases stand in the *_test.cc files beside the fakes.

#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE azuregw
#include <boost/test/unit_test.hpp>
