#include "peer_digests_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace skylarkwind {

class peer_digests_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(peer_digests_test);
  CPPUNIT_TEST(DigestSurvivesTheWire);
  CPPUNIT_TEST(OtherBytesAreNoDigest);
  CPPUNIT_TEST_SUITE_END();

  static work_digest Digest()
  {
    work_digest digest;
    digest.mSender = "vm-1";
    digest.mSequence = 9;
    digest.mWork = { { "e1", 3'000, 2, 70'000 } };
    digest.mKept = { { 0xffff'ffff'ffff'ffffULL, "e1", true, 0 }, { 5, "e2", false, 250 } };
    digest.mChanging = { { "e3", 1'200 } };
    digest.mAddress = "10.0.0.1:4";
    digest.mDataCentre = "z";
    digest.mConfigurationSeen = 11;
    digest.mServersSeen = 12;
    digest.mReachesStore = true;
    return digest;
  }

  void DigestSurvivesTheWire()
  {
    const auto read = DecodeDigest(EncodeDigest(Digest()));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::string{ "vm-1" }, read->mSender);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 70'000 }, read->mWork.at(0).mAddedTokens);
    CPPUNIT_ASSERT_EQUAL(0xffff'ffff'ffff'ffffULL,
                         static_cast<unsigned long long>(read->mKept.at(0).mKey));
    CPPUNIT_ASSERT_EQUAL(250U, read->mKept.at(1).mReadyInMs);
    CPPUNIT_ASSERT_EQUAL(1'200U, read->mChanging.at(0).mLeftMs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 12 }, read->mServersSeen);
    CPPUNIT_ASSERT_EQUAL(std::string{ "z" }, read->mDataCentre);
    CPPUNIT_ASSERT(read->mReachesStore);
  }

  /// Guards against a daemon that ends because of a datagram that another program sent.
  void OtherBytesAreNoDigest()
  {
    const auto good = EncodeDigest(Digest());
    const bool holds = rc::check("damaged digests are dropped", [&good] {
      auto bytes = good;
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!DecodeDigest(bytes));
      } else {
        // A changed byte may give another digest or none; it must not throw.
        bytes[at] = *rc::gen::arbitrary<char>();
        DecodeDigest(bytes);
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_digests_test);

} // namespace skylarkwind
