// Resume tokens: signed claims are read back unchanged, and altered tokens are refused.

#include "azuregw/pipeline/resume_token.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

ResumeClaims SampleClaims() {
  ResumeClaims claims;
  claims.sequence_id = "0123456789abcdef0123456789abcdef";
  claims.workspace = "ws-0";
  claims.model = "design";
  claims.stages = {{"design-a1", {0, 8}}, {"design-b1", {8, 16}}, {"design-c1", {16, 24}}};
  claims.point.epochs = {0, 2, 4096};
  claims.point.attempt = 3;
  claims.point.prompt_tokens = 57;
  claims.point.outputs = {17, 50020};
  claims.prompt_hash = 0xfedcba9876543210ULL;
  return claims;
}

BOOST_AUTO_TEST_SUITE(resume_token)

// Guards against a field that is lost or swapped in the encoding.
BOOST_AUTO_TEST_CASE(round_trip) {
  const ResumeTokenCodec codec("secret");
  const auto read = codec.Verify(codec.Sign(SampleClaims()));
  BOOST_REQUIRE(read.has_value());
  const ResumeClaims expected = SampleClaims();
  BOOST_TEST(read.value().sequence_id == expected.sequence_id);
  BOOST_TEST(read.value().workspace == expected.workspace);
  BOOST_TEST(read.value().model == expected.model);
  BOOST_TEST(read.value().stages.size() == 3u);
  BOOST_TEST(read.value().stages[1].upstream == "design-b1");
  BOOST_TEST(read.value().stages[1].range.last == 16);
  BOOST_TEST(read.value().point.epochs == expected.point.epochs);
  BOOST_TEST(read.value().point.attempt == 3u);
  BOOST_TEST(read.value().point.prompt_tokens == 57);
  BOOST_TEST(read.value().point.outputs == expected.point.outputs);
  BOOST_TEST(read.value().prompt_hash == expected.prompt_hash);
}

// Guards against forged tokens: a token with a changed character or of another key is refused.
BOOST_AUTO_TEST_CASE(changed_tokens_are_refused) {
  const ResumeTokenCodec codec("secret");
  const std::string token = codec.Sign(SampleClaims());
  BOOST_TEST(!ResumeTokenCodec("other").Verify(token).has_value());
  for (size_t i = 0; i < token.size(); ++i) {
    std::string changed = token;
    // An adjacent letter could decode to the same bytes, because the last character has unused
    // bits.
    changed[i] = changed[i] == 'A' ? '5' : 'A';
    const auto read = codec.Verify(changed);
    BOOST_TEST((!read.has_value() || token.substr(0, i) + changed[i] != changed.substr(0, i + 1)),
               "character " << i);
  }
}

// Guards against crashes on text that is not a token.
BOOST_AUTO_TEST_CASE(garbage_is_refused) {
  const ResumeTokenCodec codec("secret");
  for (const std::string& text :
       {std::string(), std::string("=\n"), std::string("AAAA"), std::string(100, 'A'),
        std::string(20000, 'A'), std::string("\xff\x00\x80", 3), std::string(61, '-')}) {
    const auto read = codec.Verify(text);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(static_cast<int>(read.error().code) ==
               static_cast<int>(ResultCode::kInvalidResumeToken));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
