#include "skylarkwind/water_filling.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <vector>

namespace skylarkwind {

class water_filling_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(water_filling_test);
  CPPUNIT_TEST(CheapestWithoutUnreportedLoad);
  CPPUNIT_TEST(SharesFollowFromTheFillLevel);
  CPPUNIT_TEST(InfiniteCostsAreNeverChosen);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<int> Chosen(const std::vector<double>& aCosts, double aUnreportedLoad)
  {
    constexpr int kDraws = 1'000;
    std::vector<int> counts(aCosts.size());
    for (int i = 0; i < kDraws; ++i) {
      ++counts.at(ChooseByWaterFilling(aCosts, aUnreportedLoad, static_cast<double>(i) / kDraws));
    }
    return counts;
  }

  void CheapestWithoutUnreportedLoad()
  {
    CPPUNIT_ASSERT_EQUAL(1'000, Chosen({ 30, 20, 40 }, 0)[1]);
  }

  /// 60 units of load raise the costs 10 and 30 to the level 50: shares of 40 and 20.
  void SharesFollowFromTheFillLevel()
  {
    const auto counts = Chosen({ 10, 90, 30 }, 60);
    CPPUNIT_ASSERT(counts[0] >= 665 && counts[0] <= 668);
    CPPUNIT_ASSERT_EQUAL(0, counts[1]);
    CPPUNIT_ASSERT(counts[2] >= 332 && counts[2] <= 335);
  }

  void InfiniteCostsAreNeverChosen()
  {
    const auto infinite = std::numeric_limits<double>::infinity();
    CPPUNIT_ASSERT_EQUAL(1'000, Chosen({ infinite, 5 }, 1'000)[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         ChooseByWaterFilling(std::vector{ infinite, infinite }, 10, 0.5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(water_filling_test);

} // namespace skylarkwind
