#include "skylarkwind/engine_view.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class engine_view_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_view_test);
  CPPUNIT_TEST(RampingEngineAdmitsUpToItsLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against overload of an engine that has just returned to service.
  void RampingEngineAdmitsUpToItsLimit()
  {
    engine_view view;
    view.mStatus = engine_status::Ramping;
    view.mInFlightLimit = 2;
    view.mInFlight = 1;
    CPPUNIT_ASSERT(view.Admits());
    view.mInFlight = 2;
    CPPUNIT_ASSERT(!view.Admits());
    view.mStatus = engine_status::Draining;
    view.mInFlight = 0;
    CPPUNIT_ASSERT(!view.Admits());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_view_test);

} // namespace skylarkwind
