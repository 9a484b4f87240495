#include "schedules.h"
#include "usage_driver_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace skylarkwind {

/// Usage messages between daemons.
class usage_codec_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(usage_codec_test);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(ManyCountsAreSentInSeveralDatagrams);
  CPPUNIT_TEST(DamagedBytesAreRejected);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kMaxDatagram = 8 * 1'024;
  static constexpr auto kMost = std::numeric_limits<std::uint64_t>::max();

  void MessagesRoundTrip()
  {
    const auto failure = CheckSchedules("usage codec", 14, 200, [] {
      usage_message message{ *rc::gen::string<std::string>(),
                             *rc::gen::arbitrary<std::uint64_t>(),
                             "z",
                             *rc::gen::arbitrary<bool>(),
                             {} };
      // Only valid UTF-8 can be sent.
      for (auto& character : message.mSender) {
        character = static_cast<char>(static_cast<unsigned char>(character) & 0x7fU);
      }
      const auto counts = *rc::gen::inRange(0, 200);
      for (int i = 0; i < counts; ++i) {
        message.mCounts.push_back({ *rc::gen::arbitrary<std::uint64_t>(),
                                    *rc::gen::arbitrary<std::uint64_t>(),
                                    *rc::gen::arbitrary<std::uint64_t>() });
      }
      const auto datagrams = EncodeUsage(message);
      RC_ASSERT(datagrams.size() == 1U);
      RC_ASSERT(IsUsageMessage(datagrams.front()));
      const auto read = DecodeUsage(datagrams.front());
      RC_ASSERT(read && *read == message);
    });
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }

  /// Guards against datagrams that the network drops, and against counts that are left out between
  /// two of them.
  void ManyCountsAreSentInSeveralDatagrams()
  {
    for (const std::size_t counts : { 0, 1, 249, 250, 251, 500, 30'000 }) {
      // Names as long as host names may be, and the largest numbers.
      const std::string name(253, 'n');
      usage_message message{ name, kMost, name, true, {} };
      for (std::size_t i = 0; i < counts; ++i) {
        message.mCounts.push_back({ kMost, kMost - i, kMost });
      }
      usage_message joined{ name, kMost, name, true, {} };
      for (const auto& bytes : EncodeUsage(message)) {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes.size()), bytes.size() < kMaxDatagram);
        const auto part = DecodeUsage(bytes);
        CPPUNIT_ASSERT(part && part->mSender == name && part->mStart == kMost);
        CPPUNIT_ASSERT(part->mDataCentre == name && part->mIsSum);
        joined.mCounts.insert(joined.mCounts.end(), part->mCounts.begin(), part->mCounts.end());
      }
      CPPUNIT_ASSERT(joined == message);
    }
  }

  /// Guards against a daemon that crashes on a datagram sent by another program.
  void DamagedBytesAreRejected()
  {
    for (const auto* bytes : { "", "U", "Ux", "W", "U\x80", "U\xf6" }) {
      CPPUNIT_ASSERT(!DecodeUsage(bytes));
    }
    CPPUNIT_ASSERT(!DecodeUsage(std::string(200, 'U')));
    usage_message message{ "vm-1", 7, "z", false, {} };
    for (std::uint64_t i = 0; i < 20; ++i) {
      message.mCounts.push_back({ 353'445'120, kMost - i, i });
    }
    const auto intact = EncodeUsage(message).front();
    const auto failure = CheckSchedules("damaged usage messages", 15, 2'000, [&intact] {
      auto bytes = intact;
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!DecodeUsage(bytes));
        return;
      }
      bytes[at] = *rc::gen::arbitrary<char>();
      // A changed byte may yield a different message or none. What is taken can be collected.
      if (const auto read = DecodeUsage(bytes)) {
        usage_collector collector{ "z" };
        collector.OnMessage(*read);
        collector.Total(353'445'120);
      }
    });
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_codec_test);

} // namespace skylarkwind
