#include "load_codec_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace skylarkwind {

class load_codec_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_codec_test);
  CPPUNIT_TEST(ReportRoundTrips);
  CPPUNIT_TEST(SummaryRoundTrips);
  CPPUNIT_TEST(LargestSummaryFitsIntoDatagram);
  CPPUNIT_TEST(InvalidBytesAreRejected);
  CPPUNIT_TEST_SUITE_END();

  static fleet_member Member(const std::string& aName)
  {
    return { aName, "10.0.0.1:4", "z", 500, true, 0xffff'ffff'ffff'fff0ULL, true };
  }
  static backend_updates Facts()
  {
    return { { { 0xffff'ffff'ffff'ffffULL, 1, true, 0 }, { 5, 2, false, 250 } },
             { { 3, 1'200 } },
             { { "e9", 1'700'000'000'000 } } };
  }
  static load_report Report()
  {
    return { Member("vm-1"),
             9,
             { 11, 12 },
             { { 0xffff'ffff, 3'000, 2, 70'016 } },
             { { 0xffff'ffff, { 7, 1, 2, 3 }, -1.5, 4 } },
             Facts() };
  }
  static load_summary Summary()
  {
    load_summary summary;
    summary.mSender = Member("vm-2");
    summary.mSequence = 8;
    summary.mWholeFleet = true;
    summary.mDaemons = 300;
    summary.mStoreRevisions = { 11, 12 };
    summary.mDispatchedLoad = { { 4, 3'000, 2, 70'016, 2, 0.5, false },
                                { 5, 0, 0, 0, 0.5, 1, true } };
    summary.mRecords = { { 4, { 7, 1, 2, 3 }, 0, 0 } };
    summary.mBackendUpdates = Facts();
    summary.mMembers = { Member("vm-3"), Member("vm-4") };
    return summary;
  }

  void ReportRoundTrips()
  {
    const auto read = DecodeLoad(EncodeLoad(Report()));
    CPPUNIT_ASSERT(read && std::get<load_report>(*read) == Report());
  }

  void SummaryRoundTrips()
  {
    auto bytes = EncodeLoad(Summary());
    auto expected = Summary();
    for (const std::uint64_t includedSequence : { 0ULL, 77ULL }) {
      SetIncludedSequence(bytes, includedSequence);
      expected.mIncludedSequence = includedSequence;
      const auto read = DecodeLoad(bytes);
      CPPUNIT_ASSERT(read && std::get<load_summary>(*read) == expected);
    }
  }

  /// The largest load summary that the load exchange produces: 200 servers, 120 cached segments, 8
  /// members and the collectors of 9 data centres; between data centres, 24 records instead of the
  /// 8 members.
  void LargestSummaryFitsIntoDatagram()
  {
    auto summary = Summary();
    summary.mDispatchedLoad.assign(200, { 4, 3'000, 2, 70'016 });
    summary.mBackendUpdates.mCachedSegments.assign(120, { 7, 7, true, 9 });
    summary.mMembers.assign(26, Member("edge-some-data-centre-123"));
    const auto bytes = EncodeLoad(summary);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes.size()), bytes.size() <= 8 * 1'024);
    summary.mMembers.resize(18);
    summary.mRecords.resize(24);
    const auto betweenDataCentres = EncodeLoad(summary);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(betweenDataCentres.size()),
                           betweenDataCentres.size() <= 8 * 1'024);
  }

  /// Guards against a daemon that crashes on a datagram sent by another program.
  void InvalidBytesAreRejected()
  {
    CPPUNIT_ASSERT(!DecodeLoad(""));
    CPPUNIT_ASSERT(!DecodeLoad("W"));
    CPPUNIT_ASSERT(!DecodeLoad(std::string(200, 'x')));
    const auto intact = EncodeLoad(Summary());
    const bool holds = rc::check("damaged messages do not throw", [&intact] {
      auto bytes = intact;
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!DecodeLoad(bytes));
      } else {
        // A changed byte may yield a different message or none, but must not throw.
        bytes[at] = *rc::gen::arbitrary<char>();
        DecodeLoad(bytes);
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_codec_test);

} // namespace skylarkwind
