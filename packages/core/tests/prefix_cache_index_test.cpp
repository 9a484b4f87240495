#include "skylarkwind/prefix_cache_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class part_holders_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(part_holders_test);
  CPPUNIT_TEST(CacheTurnoverEvictsSegments);
  CPPUNIT_TEST(PendingSegmentsAreKnown);
  CPPUNIT_TEST(RestartClearsCachedSegments);
  CPPUNIT_TEST(SegmentCountsOnlyAfterAllEarlierSegments);
  CPPUNIT_TEST(RepeatedUseIsNotReportedAgainAtOnce);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };
  const std::vector<prompt_segment> mSegments{ { 1, 10'000 }, { 2, 500 } };

  static prefix_cache_index Holders()
  {
    prefix_cache_index holders;
    for (const auto* id : { "e1", "e2" }) {
      holders.SetCapacity(id, 100'000);
    }
    return holders;
  }
  static std::uint32_t Kept(const prefix_cache_index& aHolders,
                            const std::string& aId,
                            const std::vector<prompt_segment>& aSegments)
  {
    return aHolders.Kept(aSegments).At(BackendKey(aId));
  }

  /// Guards against placements that rely on segments which newer prompts have evicted.
  void CacheTurnoverEvictsSegments()
  {
    auto holders = Holders();
    holders.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e2", mSegments));
    holders.OnAdded("e1", 30'000);
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e1", mSegments));
    holders.OnPeerTokensAdded(BackendKey("e1"), 70'000);
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
  }

  /// Guards against many concurrent requests that compute the same new segment.
  void PendingSegmentsAreKnown()
  {
    auto holders = Holders();
    holders.OnPrefillStarted("e1", mSegments, milliseconds{ 200 }, mNow);
    const auto pending = holders.PendingPrefix(mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, pending.mTokens);
    CPPUNIT_ASSERT(pending.mReadyAt == mNow + milliseconds{ 200 });
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, holders.PendingPrefix(mSegments, mNow + milliseconds{ 300 }).mTokens);
    // The other daemons receive it too.
    auto other = Holders();
    other.OnPeerSegments(holders.TakeUpdates(), mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, other.PendingPrefix(mSegments, mNow).mTokens);
  }

  void RestartClearsCachedSegments()
  {
    auto holders = Holders();
    holders.OnCached("e1", mSegments, mNow);
    holders.Forget("e1");
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
  }

  /// Guards against counting tokens that an engine cannot reuse, because it evicted an earlier
  /// segment.
  void SegmentCountsOnlyAfterAllEarlierSegments()
  {
    auto holders = Holders();
    const std::vector<prompt_segment> segments{ { 1, 10'000 }, { 2, 500 }, { 3, 70 } };
    const std::vector<prompt_segment> first{ { 1, 10'000 }, { 9, 70 } };
    holders.OnCached("e1", segments, mNow);
    holders.OnCached("e2", first, mNow);
    CPPUNIT_ASSERT_EQUAL(10'500U, Kept(holders, "e1", segments));
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e2", segments));
    holders.OnPeerSegments(std::vector<cached_segment>{ { 5, BackendKey("e2"), true, 0 } }, mNow);
    const std::vector<prompt_segment> laterSegments{ { 4, 100 }, { 5, 300 }, { 6, 1 } };
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e2", laterSegments));
  }

  /// Guards against message volume that grows with the requests for a segment instead of with the
  /// segments.
  void RepeatedUseIsNotReportedAgainAtOnce()
  {
    auto holders = Holders();
    holders.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, holders.TakeUpdates().size());
    for (int i = 0; i < 5; ++i) {
      holders.OnCached("e1", mSegments, mNow);
    }
    CPPUNIT_ASSERT(!holders.HasUpdates());
    holders.OnAdded("e1", 20'000);
    holders.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT(holders.HasUpdates());
    // A daemon that received the report does not report it again.
    auto other = Holders();
    other.OnPeerSegments(holders.TakeUpdates(), mNow);
    other.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT(!other.HasUpdates());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_holders_test);

} // namespace skylarkwind
