#include "skylarkwind/falling_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;

class falling_limit_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(falling_limit_test);
  CPPUNIT_TEST(FallHoldsTheLongerLimit);
  CPPUNIT_TEST(RiseHoldsAtOnce);
  CPPUNIT_TEST(LongestOfSeveralHolds);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kHold{ 2'000 };
  static instant At(int aMs) { return instant{} + milliseconds{ aMs }; }

  void FallHoldsTheLongerLimit()
  {
    falling_limit limit{ milliseconds{ 5'000 } };
    limit.Set(milliseconds{ 300 }, kHold, At(100));
    CPPUNIT_ASSERT(limit.At(At(2'099)) == milliseconds{ 5'000 });
    CPPUNIT_ASSERT(limit.At(At(2'100)) == milliseconds{ 300 });
    // The same value once more is no change.
    limit.Set(milliseconds{ 300 }, kHold, At(2'200));
    CPPUNIT_ASSERT(limit.At(At(2'200)) == milliseconds{ 300 });
  }

  void RiseHoldsAtOnce()
  {
    falling_limit limit{ milliseconds{ 300 } };
    limit.Set(milliseconds{ 5'000 }, kHold, At(100));
    CPPUNIT_ASSERT(limit.At(At(100)) == milliseconds{ 5'000 });
  }

  void LongestOfSeveralHolds()
  {
    falling_limit limit{ milliseconds{ 5'000 } };
    limit.Set(milliseconds{ 3'000 }, kHold, At(0));
    limit.Set(milliseconds{ 100 }, kHold, At(1'000));
    limit.Set(milliseconds{ 200 }, kHold, At(1'500));
    CPPUNIT_ASSERT(limit.At(At(1'999)) == milliseconds{ 5'000 });
    CPPUNIT_ASSERT(limit.At(At(2'000)) == milliseconds{ 3'000 });
    CPPUNIT_ASSERT(limit.At(At(3'000)) == milliseconds{ 200 });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(falling_limit_test);

} // namespace skylarkwind
