#include "skylarkwind/prefix_cache_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class prefix_cache_index_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(prefix_cache_index_test);
  CPPUNIT_TEST(CacheTurnoverEvictsSegments);
  CPPUNIT_TEST(PendingSegmentsAreKnown);
  CPPUNIT_TEST(RestartClearsCachedSegments);
  CPPUNIT_TEST(SegmentCountsOnlyAfterAllEarlierSegments);
  CPPUNIT_TEST(RepeatedUseIsNotReportedAgainAtOnce);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };
  const std::vector<prompt_segment> mSegments{ { 1, 10'000 }, { 2, 500 } };

  static prefix_cache_index MakeIndex()
  {
    prefix_cache_index index;
    for (const auto* id : { "e1", "e2" }) {
      index.SetCapacity(id, 100'000);
    }
    return index;
  }
  static std::uint32_t CachedTokens(const prefix_cache_index& aIndex,
                                    const std::string& aId,
                                    const std::vector<prompt_segment>& aSegments)
  {
    return aIndex.CachedPrefixes(aSegments).At(BackendKey(aId));
  }

  /// Guards against placements that rely on segments which newer prompts have evicted.
  void CacheTurnoverEvictsSegments()
  {
    auto index = MakeIndex();
    index.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, CachedTokens(index, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, CachedTokens(index, "e2", mSegments));
    index.OnTokensAdded("e1", 30'000);
    CPPUNIT_ASSERT_EQUAL(10'000U, CachedTokens(index, "e1", mSegments));
    index.OnPeerTokensAdded(BackendKey("e1"), 70'000);
    CPPUNIT_ASSERT_EQUAL(0U, CachedTokens(index, "e1", mSegments));
  }

  /// Guards against many concurrent requests that compute the same new segment.
  void PendingSegmentsAreKnown()
  {
    auto index = MakeIndex();
    index.OnPrefillStarted("e1", mSegments, milliseconds{ 200 }, mNow);
    const auto pending = index.PendingPrefix(mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, pending.mTokens);
    CPPUNIT_ASSERT(pending.mReadyAt == mNow + milliseconds{ 200 });
    CPPUNIT_ASSERT_EQUAL(0U, CachedTokens(index, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, index.PendingPrefix(mSegments, mNow + milliseconds{ 300 }).mTokens);
    // The other daemons receive it too.
    auto other = MakeIndex();
    other.OnPeerSegments(index.TakeUpdates(), mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, other.PendingPrefix(mSegments, mNow).mTokens);
  }

  void RestartClearsCachedSegments()
  {
    auto index = MakeIndex();
    index.OnCached("e1", mSegments, mNow);
    index.RemoveEngine("e1");
    CPPUNIT_ASSERT_EQUAL(0U, CachedTokens(index, "e1", mSegments));
  }

  /// Guards against counting tokens that an engine cannot reuse, because it evicted an earlier
  /// segment.
  void SegmentCountsOnlyAfterAllEarlierSegments()
  {
    auto index = MakeIndex();
    const std::vector<prompt_segment> segments{ { 1, 10'000 }, { 2, 500 }, { 3, 70 } };
    const std::vector<prompt_segment> first{ { 1, 10'000 }, { 9, 70 } };
    index.OnCached("e1", segments, mNow);
    index.OnCached("e2", first, mNow);
    CPPUNIT_ASSERT_EQUAL(10'500U, CachedTokens(index, "e1", segments));
    CPPUNIT_ASSERT_EQUAL(10'000U, CachedTokens(index, "e2", segments));
    index.OnPeerSegments(std::vector<cached_segment>{ { 5, BackendKey("e2"), true, 0 } }, mNow);
    const std::vector<prompt_segment> laterSegments{ { 4, 100 }, { 5, 300 }, { 6, 1 } };
    CPPUNIT_ASSERT_EQUAL(0U, CachedTokens(index, "e2", laterSegments));
  }

  /// Guards against message volume that grows with the requests for a segment instead of with the
  /// segments.
  void RepeatedUseIsNotReportedAgainAtOnce()
  {
    auto index = MakeIndex();
    index.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, index.TakeUpdates().size());
    for (int i = 0; i < 5; ++i) {
      index.OnCached("e1", mSegments, mNow);
    }
    CPPUNIT_ASSERT(!index.HasUpdates());
    index.OnTokensAdded("e1", 20'000);
    index.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT(index.HasUpdates());
    // A daemon that received the report does not report it again.
    auto other = MakeIndex();
    other.OnPeerSegments(index.TakeUpdates(), mNow);
    other.OnCached("e1", mSegments, mNow);
    CPPUNIT_ASSERT(!other.HasUpdates());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_index_test);

} // namespace skylarkwind
