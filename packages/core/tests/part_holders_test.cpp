#include "skylarkwind/part_holders.h"

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
  const std::vector<prompt_part> mSegments{ { 1, 10'000 }, { 2, 500 } };

  static part_holders Holders()
  {
    part_holders holders;
    for (const auto* id : { "e1", "e2" }) {
      holders.SetCapacity(id, 100'000);
    }
    return holders;
  }
  static std::uint32_t Kept(const part_holders& aHolders,
                            const std::string& aId,
                            const std::vector<prompt_part>& aSegments)
  {
    return aHolders.Kept(aSegments).At(BackendKey(aId));
  }

  /// Guards against placements that rely on segments which newer prompts have evicted.
  void CacheTurnoverEvictsSegments()
  {
    auto holders = Holders();
    holders.OnKept("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e2", mSegments));
    holders.OnAdded("e1", 30'000);
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e1", mSegments));
    holders.OnOthersAdded(BackendKey("e1"), 70'000);
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
  }

  /// Guards against many concurrent requests that compute the same new segment.
  void PendingSegmentsAreKnown()
  {
    auto holders = Holders();
    holders.OnComing("e1", mSegments, milliseconds{ 200 }, mNow);
    const auto pending = holders.PendingPrefix(mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, pending.mTokens);
    CPPUNIT_ASSERT(pending.mReadyAt == mNow + milliseconds{ 200 });
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
    CPPUNIT_ASSERT_EQUAL(0U, holders.PendingPrefix(mSegments, mNow + milliseconds{ 300 }).mTokens);
    // The other daemons receive it too.
    auto other = Holders();
    other.OnTold(holders.TakeFresh(), mNow);
    CPPUNIT_ASSERT_EQUAL(10'000U, other.PendingPrefix(mSegments, mNow).mTokens);
  }

  void RestartClearsCachedSegments()
  {
    auto holders = Holders();
    holders.OnKept("e1", mSegments, mNow);
    holders.Forget("e1");
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e1", mSegments));
  }

  /// Guards against counting tokens that an engine cannot reuse, because it evicted an earlier
  /// segment.
  void SegmentCountsOnlyAfterAllEarlierSegments()
  {
    auto holders = Holders();
    const std::vector<prompt_part> segments{ { 1, 10'000 }, { 2, 500 }, { 3, 70 } };
    const std::vector<prompt_part> first{ { 1, 10'000 }, { 9, 70 } };
    holders.OnKept("e1", segments, mNow);
    holders.OnKept("e2", first, mNow);
    CPPUNIT_ASSERT_EQUAL(10'500U, Kept(holders, "e1", segments));
    CPPUNIT_ASSERT_EQUAL(10'000U, Kept(holders, "e2", segments));
    holders.OnTold(std::vector<kept_part>{ { 5, BackendKey("e2"), true, 0 } }, mNow);
    const std::vector<prompt_part> laterSegments{ { 4, 100 }, { 5, 300 }, { 6, 1 } };
    CPPUNIT_ASSERT_EQUAL(0U, Kept(holders, "e2", laterSegments));
  }

  /// Guards against message volume that grows with the requests for a segment instead of with the
  /// segments.
  void RepeatedUseIsNotReportedAgainAtOnce()
  {
    auto holders = Holders();
    holders.OnKept("e1", mSegments, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, holders.TakeFresh().size());
    for (int i = 0; i < 5; ++i) {
      holders.OnKept("e1", mSegments, mNow);
    }
    CPPUNIT_ASSERT(!holders.HasFresh());
    holders.OnAdded("e1", 20'000);
    holders.OnKept("e1", mSegments, mNow);
    CPPUNIT_ASSERT(holders.HasFresh());
    // A daemon that received the report does not report it again.
    auto other = Holders();
    other.OnTold(holders.TakeFresh(), mNow);
    other.OnKept("e1", mSegments, mNow);
    CPPUNIT_ASSERT(!other.HasFresh());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_holders_test);

} // namespace skylarkwind
