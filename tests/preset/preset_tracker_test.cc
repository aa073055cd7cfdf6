// PresetTracker: invariant I7, an accepted configuration never reverts.

#include "azuregw/preset/preset_tracker.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

using OfferResult = PresetTracker::OfferResult;

std::string Document(const std::string& name) { return TestPresetDocument(name).dump(); }

// The tracker without its comparison of revisions, to show that the test notices its absence.
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

// Offers revisions in random order, as from a lagging reader, paused peers and the service. Returns
// whether the revision in force ever decreased.
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
  LastWriterTracker without;
  BOOST_TEST(Reverts([&](uint64_t revision) { without.OfferDocument(revision, document); },
                     [&] { return without.Revision(); }));
}

BOOST_AUTO_TEST_CASE(equal_revision_is_stale) {
  PresetTracker tracker;
  BOOST_TEST((tracker.OfferDocument(3, Document("a")) == OfferResult::kApplied));
  BOOST_TEST((tracker.OfferDocument(3, Document("b")) == OfferResult::kStale));
  BOOST_TEST(tracker.Current().preset->name == "a");
}

// Guards against dropping a good preset for a damaged one.
BOOST_AUTO_TEST_CASE(damaged_document_changes_nothing) {
  PresetTracker tracker;
  tracker.OfferDocument(3, Document("a"));
  BOOST_TEST((tracker.OfferDocument(4, "{}") == OfferResult::kInvalid));
  BOOST_TEST(!tracker.LastProblem().empty());
  BOOST_TEST(tracker.Current().revision == 3u);
  BOOST_TEST((tracker.OfferDocument(4, Document("b")) == OfferResult::kApplied));
}

// Guards against an instance that ignores a newer instance's preset during an upgrade.
BOOST_AUTO_TEST_CASE(unknown_member_is_ignored) {
  nlohmann::json document = TestPresetDocument("a");
  document["limits"] = {{"of_a_later_version", 1}};
  PresetTracker tracker;
  BOOST_TEST((tracker.OfferDocument(1, document.dump()) == OfferResult::kApplied));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
