// Tests of the comparison of eras.

#include "azuregw/kv/store_era.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(store_era)

BOOST_AUTO_TEST_CASE(first_era_of_a_process_is_no_restore) {
  StoreEra era;
  BOOST_TEST((era.OnAnswer(0, 4, TimePoint()) == EraVerdict::kCurrent));
  BOOST_TEST(era.Current() == 4U);
  BOOST_TEST(era.Restores() == 0U);
}

BOOST_AUTO_TEST_CASE(rise_is_noticed_once_and_told_to_all_listeners) {
  StoreEra era;
  std::string heard;
  era.AddListener([&](uint64_t previous, std::string_view source) {
    heard += std::to_string(previous) + std::string(source);
  });
  era.OnAnswer(0, 1, TimePoint());
  BOOST_TEST((era.OnAnswer(1, 3, TimePoint()) == EraVerdict::kRestored));
  BOOST_TEST((era.OnAnswer(1, 3, TimePoint()) == EraVerdict::kRestored));
  BOOST_TEST((era.OnAnswer(3, 3, TimePoint()) == EraVerdict::kCurrent));
  BOOST_TEST(era.Restores() == 1U);
  BOOST_TEST(heard == "1store");
}

// Guards against an answer from before the restore that is taken for the state after it.
BOOST_AUTO_TEST_CASE(held_up_answer_of_an_earlier_era_is_outdated) {
  StoreEra era;
  era.OnAnswer(0, 1, TimePoint());
  era.OnAnswer(1, 2, TimePoint());
  BOOST_TEST((era.OnAnswer(1, 1, TimePoint()) == EraVerdict::kOutdated));
  BOOST_TEST(era.Current() == 2U);
}

BOOST_AUTO_TEST_CASE(answers_without_an_era_change_nothing) {
  StoreEra era;
  BOOST_TEST((era.OnAnswer(0, 0, TimePoint()) == EraVerdict::kCurrent));
  era.OnAnswer(0, 2, TimePoint());
  BOOST_TEST((era.OnAnswer(2, 0, TimePoint()) == EraVerdict::kCurrent));
  BOOST_TEST(era.Current() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
