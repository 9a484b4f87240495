#include "fake_membership.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/return_ramp.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace skylarkwind {

namespace {

table
TableOf(int aSerial, const std::string& aEngines)
{
  const auto parsed = table::Parse(R"({"serial":)" + std::to_string(aSerial) + R"(,
    "services":[{"name":"stones","kind":"model"},{"name":"orders","kind":"plain","path_prefix":"/orders"}],
    "models":[{"name":"m1","service":"stones","version":"1"}],
    "engines":[)" + aEngines + R"(],
    "backends":[{"name":"b1","address":"10.0.1.1:80","data_centre":"a","service":"orders"}]})");
  CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
  return *parsed;
}

std::string
Engine(const std::string& aName)
{
  return R"({"name":")" + aName + R"(","address":"10.0.0.)" + aName.substr(1) +
         R"(:80","data_centre":"a","service":"stones","model":"m1","role":"both"})";
}

/// The fleet of one daemon with a fake membership and a simulated clock.
struct daemon
{
  daemon(std::size_t aDaemons, std::size_t aSelf)
    : mMembers(fake_membership::Numbered(aDaemons, aSelf))
  {
    fleet_settings settings;
    settings.mSelf = mMembers.mSelf;
    settings.mDataCentre = "a";
    mFleet = *fleet::Create(settings, mMembers);
  }

  void Tick(std::chrono::milliseconds aTime)
  {
    for (const instant end = mNow + aTime; mNow < end;) {
      mNow += std::chrono::milliseconds{ 20 };
      mFleet->OnTick(mNow, mOut);
    }
  }

  void Observe(const std::string& aName, std::uint64_t aTokens)
  {
    engine_report report{ aName, 3, "stones" };
    report.mModel = "m1";
    report.mOutputTokensTotal = aTokens;
    mNow += std::chrono::milliseconds{ 1 };
    mFleet->OnObserved({ aName, report, mNow }, mNow, mOut);
  }

  std::size_t QueryCount(const std::string& aName) const
  {
    return static_cast<std::size_t>(
      std::count_if(mOut.begin(), mOut.end(), [&](const effect& aEffect) {
        const auto* query = std::get_if<request_engine_state>(&aEffect);
        return query != nullptr && query->mEngine == aName;
      }));
  }

  fake_membership mMembers;
  std::unique_ptr<fleet> mFleet;
  effect_list mOut;
  instant mNow{ std::chrono::seconds{ 100 } };
};

} // namespace

class fleet_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_test);
  CPPUNIT_TEST(FleetObjectKeepsEveryMember);
  CPPUNIT_TEST(LeavingOrCommandedEnginesAreExcludedAtOnce);
  CPPUNIT_TEST(WithdrawnEngineStaysUntilItsRequestsEnd);
  CPPUNIT_TEST(DaemonsDivideTheFirstRequests);
  CPPUNIT_TEST(QueryRateDoesNotGrowWithTheDaemons);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an engine command that another daemon reads differently, and against a broken
  /// object that is taken for an empty one.
  void FleetObjectKeepsEveryMember()
  {
    fleet_object object{
      7, { { "e1", "o1", 4, 5, engine_role::Prefill, "m1", "2" } }, {}, { "e2" }
    };
    for (std::size_t i = 0; i < kFleetAuditLimit + 3; ++i) {
      object.mAudit.push_back("record " + std::to_string(i));
    }
    object.mOrders.push_back(object.mOrders[0]);
    object.mOrders[1].mStage = recorded_command::stage::Settled;
    const auto read = fleet_object::Parse(object.ToJson());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(object.mRevision, read->mRevision);
    CPPUNIT_ASSERT(object.mOrders == read->mOrders);
    CPPUNIT_ASSERT(object.mLeaving == read->mLeaving);
    CPPUNIT_ASSERT_EQUAL(kFleetAuditLimit, read->mAudit.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "record 3" }, read->mAudit.front());
    for (const char* broken :
         { "", "[]", "{}", R"({"revision":"1"})", R"({"revision":1,"orders":[{}]})" }) {
      CPPUNIT_ASSERT(!fleet_object::Parse(broken).ok());
    }
  }

  /// Guards against new requests to a leaving engine (I7) or one with a recorded engine command,
  /// and against an older fleet object that readmits it.
  void LeavingOrCommandedEnginesAreExcludedAtOnce()
  {
    daemon self(1, 0);
    fleet& fleet = *self.mFleet;
    fleet.OnTable(TableOf(1, Engine("e1") + "," + Engine("e2")), self.mNow, self.mOut);
    self.Observe("e1", 1'000'000);
    self.Observe("e2", 1'000'000);
    CPPUNIT_ASSERT(fleet.Engines()[0].Admits() && fleet.Engines()[1].Admits());
    fleet.OnVmList({ { { "e1", "10.0.0.1:80", "a", vm_kind::Backend, true },
                       { "b1", "10.0.1.1:80", "a", vm_kind::Backend, true } } },
                   self.mNow,
                   self.mOut);
    CPPUNIT_ASSERT(!fleet.Engines()[0].Admits() && !fleet.Backends()[0].Admits());
    CPPUNIT_ASSERT(fleet.Explain("e1").find("VM is leaving") != std::string::npos);
    fleet_object object{ 2, { { "e2", "o1" } }, {}, { "e1" } };
    fleet.OnFleetObject("a", object, self.mNow, self.mOut);
    CPPUNIT_ASSERT(!fleet.Engines()[1].Admits());
    fleet.OnVmList({}, self.mNow, self.mOut);
    fleet.OnFleetObject("a", fleet_object{ 1 }, self.mNow, self.mOut);
    fleet.OnTable(TableOf(2, Engine("e1") + "," + Engine("e2")), self.mNow, self.mOut);
    CPPUNIT_ASSERT(!fleet.Engines()[0].Admits() && !fleet.Engines()[1].Admits());
    CPPUNIT_ASSERT(fleet.Backends()[0].Admits());
    fleet.OnFleetObject("a", fleet_object{ 3 }, self.mNow, self.mOut);
    CPPUNIT_ASSERT(fleet.Engines()[0].Admits() && !fleet.Engines()[1].Admits());
    self.Observe("e2", 1'000'001);
    CPPUNIT_ASSERT(fleet.Engines()[1].Admits());
  }

  /// Guards against open requests that are lost when an operator withdraws their engine.
  void WithdrawnEngineStaysUntilItsRequestsEnd()
  {
    daemon self(1, 0);
    self.mFleet->OnTable(TableOf(1, Engine("e1") + "," + Engine("e2")), self.mNow, self.mOut);
    self.Observe("e1", 1'000'000);
    self.mFleet->OnAttemptStarted("e1", self.mNow);
    self.mFleet->OnTable(TableOf(2, Engine("e2")), self.mNow, self.mOut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, self.mFleet->Engines().size());
    CPPUNIT_ASSERT(self.mFleet->Engines()[0].mStatus == engine_status::Draining);
    self.mFleet->OnTable(TableOf(1, Engine("e1")), self.mNow, self.mOut); // older: ignored
    CPPUNIT_ASSERT(self.mFleet->Engines()[0].mStatus == engine_status::Draining);
    self.mFleet->OnAttemptEnded("e1", attempt_health::Answered, self.mNow);
    self.Tick(std::chrono::milliseconds{ 20 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, self.mFleet->Engines().size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "e2" }, self.mFleet->Engines()[0].mName);
  }

  /// Guards against all daemons sending a first request to a returning engine at once.
  void DaemonsDivideTheFirstRequests()
  {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < 5; ++i) {
      daemon each(5, i);
      each.mFleet->OnTable(TableOf(1, Engine("e1")), each.mNow, each.mOut);
      each.Observe("e1", 0);
      CPPUNIT_ASSERT(each.mFleet->Engines()[0].mStatus == engine_status::Warming);
      sum += each.mFleet->Engines()[0].mInFlightLimit;
    }
    CPPUNIT_ASSERT_EQUAL(return_ramp::kInitialLimit, sum);
  }

  /// Guards against a state query rate that grows with the number of daemons, against daemons that
  /// query at the same moments, and against slow observation of an engine that is out of service.
  void QueryRateDoesNotGrowWithTheDaemons()
  {
    for (const auto& [daemons, expected] :
         std::vector<std::pair<std::size_t, std::size_t>>{ { 1, 100 }, { 8, 100 }, { 80, 10 } }) {
      daemon self(daemons, 0);
      self.mFleet->OnTable(TableOf(1, Engine("e1") + "," + Engine("e2")), self.mNow, self.mOut);
      for (int i = 0; i < 1'000; ++i) {
        self.Tick(std::chrono::milliseconds{ 100 });
        self.Observe("e1", 1'000'000);
      }
      const std::size_t usual = self.QueryCount("e1");
      const std::size_t absent = self.QueryCount("e2");
      CPPUNIT_ASSERT(usual >= expected * 4 / 5 && usual <= expected * 5 / 4);
      CPPUNIT_ASSERT(absent >= usual * 3 && absent <= expected * 5);
      CPPUNIT_ASSERT(self.mFleet->Explain("e2").find("absent") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace skylarkwind
