#include "work_codec_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace skylarkwind {

class work_codec_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(work_codec_test);
  CPPUNIT_TEST(ReportSurvivesTheWire);
  CPPUNIT_TEST(SummarySurvivesTheWire);
  CPPUNIT_TEST(LargestSummaryFitsIntoADatagram);
  CPPUNIT_TEST(OtherBytesAreNoMessage);
  CPPUNIT_TEST_SUITE_END();

  static fleet_member Member(const std::string& aName)
  {
    return { aName, "10.0.0.1:4", "z", 500, true, 0xffff'ffff'ffff'fff0ULL, true };
  }
  static backend_facts Facts()
  {
    return { { { 0xffff'ffff'ffff'ffffULL, 1, true, 0 }, { 5, 2, false, 250 } },
             { { 3, 1'200 } },
             { { "e9", 1'700'000'000'000 } } };
  }
  static work_report Report()
  {
    return { Member("vm-1"),
             9,
             { 11, 12 },
             { { 0xffff'ffff, 3'000, 2, 70'016 } },
             { { 0xffff'ffff, { 7, 1, 2, 3 }, -1.5, 4 } },
             Facts() };
  }
  static work_summary Summary()
  {
    work_summary summary;
    summary.mSender = Member("vm-2");
    summary.mSequence = 8;
    summary.mWholeFleet = true;
    summary.mDaemons = 300;
    summary.mNews = { 11, 12 };
    summary.mWork = { { 4, 3'000, 2, 70'016, 2, 0.5, false }, { 5, 0, 0, 0, 0.5, 1, true } };
    summary.mRecords = { { 4, { 7, 1, 2, 3 }, 0, 0 } };
    summary.mFacts = Facts();
    summary.mMembers = { Member("vm-3"), Member("vm-4") };
    return summary;
  }

  void ReportSurvivesTheWire()
  {
    const auto read = DecodeWork(EncodeWork(Report()));
    CPPUNIT_ASSERT(read && std::get<work_report>(*read) == Report());
  }

  void SummarySurvivesTheWire()
  {
    auto bytes = EncodeWork(Summary());
    auto expected = Summary();
    for (const std::uint64_t includes : { 0ULL, 77ULL }) {
      SetIncludes(bytes, includes);
      expected.mIncludes = includes;
      const auto read = DecodeWork(bytes);
      CPPUNIT_ASSERT(read && std::get<work_summary>(*read) == expected);
    }
  }

  /// As large as the exchange makes one: 200 servers, 120 parts, 8 members, and the collectors of 9
  /// data centres; between data centres 24 records in place of the 8 members.
  void LargestSummaryFitsIntoADatagram()
  {
    auto summary = Summary();
    summary.mWork.assign(200, { 4, 3'000, 2, 70'016 });
    summary.mFacts.mKept.assign(120, { 7, 7, true, 9 });
    summary.mMembers.assign(26, Member("edge-some-data-centre-123"));
    const auto bytes = EncodeWork(summary);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes.size()), bytes.size() <= 8 * 1'024);
    summary.mMembers.resize(18);
    summary.mRecords.resize(24);
    const auto across = EncodeWork(summary);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(across.size()), across.size() <= 8 * 1'024);
  }

  /// Guards against a daemon that ends because of a datagram that another program sent.
  void OtherBytesAreNoMessage()
  {
    CPPUNIT_ASSERT(!DecodeWork(""));
    CPPUNIT_ASSERT(!DecodeWork("W"));
    CPPUNIT_ASSERT(!DecodeWork(std::string(200, 'x')));
    const auto good = EncodeWork(Summary());
    const bool holds = rc::check("damaged messages do no harm", [&good] {
      auto bytes = good;
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!DecodeWork(bytes));
      } else {
        // A changed byte may give another message or none; it must not throw.
        bytes[at] = *rc::gen::arbitrary<char>();
        DecodeWork(bytes);
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_codec_test);

} // namespace skylarkwind
