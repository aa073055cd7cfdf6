// Tests invariant I7 on PresetTracker: the active preset never reverts to a lower revision.

#include "azuregw/preset/preset_tracker.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

using OfferResult = PresetTracker::OfferResult;

std::string Document(const std::string& name) { return TestPresetDocument(name).dump(); }

// A tracker that does not compare revisions, to verify that the test detects reverts.
class LastWriterTracker {
 public:
  OfferResult OfferDocument(uint64_t revision, std::string_view /*document*/) {
    m_revision = revision;
    return OfferResult::kApplied;
  }
  uint64_t Revision() const { return m_revision; }

 private:
  uint64_t m_revision = 0;
};

// Offers revisions in random order, as lagging readers, paused peers and the service do. Returns
// whether the active revision ever decreased.
template <class OfferRevision, class GetRevision>
bool Reverts(const OfferRevision& offer, const GetRevision& get) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 200; ++i) {
    const uint64_t before = get();
    offer(random() % 50 + 1);
    if (get() < before) {
      return true;
    }
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(preset_tracker)

BOOST_AUTO_TEST_CASE(never_applies_a_lower_revision) {
  const std::string document = Document("p");
  PresetTracker tracker;
  BOOST_TEST(!Reverts([&](uint64_t revision) { tracker.OfferDocument(revision, document); },
                      [&] { return tracker.Current().revision; }));
  BOOST_TEST(tracker.Current().revision == 50u);
  LastWriterTracker last_writer_tracker;
  BOOST_TEST(
      Reverts([&](uint64_t revision) { last_writer_tracker.OfferDocument(revision, document); },
              [&] { return last_writer_tracker.Revision(); }));
}

BOOST_AUTO_TEST_CASE(equal_revision_is_stale) {
  PresetTracker tracker;
  BOOST_TEST((tracker.OfferDocument(3, Document("a")) == OfferResult::kApplied));
  BOOST_TEST((tracker.OfferDocument(3, Document("b")) == OfferResult::kStale));
  BOOST_TEST(tracker.Current().preset->name == "a");
}

// Guards against replacing a valid preset by a corrupt one.
BOOST_AUTO_TEST_CASE(invalid_document_changes_nothing) {
  PresetTracker tracker;
  tracker.OfferDocument(3, Document("a"));
  BOOST_TEST((tracker.OfferDocument(4, "{}") == OfferResult::kInvalid));
  BOOST_TEST(!tracker.LastProblem().empty());
  BOOST_TEST(tracker.Current().revision == 3u);
  BOOST_TEST((tracker.OfferDocument(4, Document("b")) == OfferResult::kApplied));
}

// Guards against rejecting, during an upgrade, a preset of a newer version with additional members.
BOOST_AUTO_TEST_CASE(unknown_member_is_ignored) {
  nlohmann::json document = TestPresetDocument("a");
  document["limits"] = {{"of_a_later_version", 1}};
  PresetTracker tracker;
  BOOST_TEST((tracker.OfferDocument(1, document.dump()) == OfferResult::kApplied));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
