#include "change_batch_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace skylarkwind {

class change_batch_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(change_batch_test);
  CPPUNIT_TEST(BatchIsReassembledInAnyFragmentOrder);
  CPPUNIT_TEST(MessageWithLostFragmentIsDropped);
  CPPUNIT_TEST(DamagedFragmentsAreDropped);
  CPPUNIT_TEST(UnboundedMessagesAreDropped);
  CPPUNIT_TEST_SUITE_END();

  static change_batch MakeBatch(std::size_t aValueBytes)
  {
    change_batch batch{ "servers", 4, 9, false, true, {} };
    batch.mChanges.push_back({ { "e1", 8, std::string(aValueBytes, 'x') }, false });
    batch.mChanges.push_back({ { "e2", 5, "null" }, true });
    return batch;
  }

  void BatchIsReassembledInAnyFragmentOrder()
  {
    const bool holds = rc::check("a fragmented batch is reassembled", [] {
      const auto size = *rc::gen::inRange<std::size_t>(0, 30'000);
      auto fragments = SplitIntoFragments(EncodeBatch(MakeBatch(size)), "vm-1", 7);
      std::reverse(fragments.begin(), fragments.end());
      fragment_reassembler reassembler;
      std::optional<std::string> message;
      for (const auto& fragment : fragments) {
        RC_ASSERT(fragment_reassembler::IsFragment(fragment));
        RC_ASSERT(!message);
        message = reassembler.Add(fragment);
      }
      RC_ASSERT(message.has_value());
      const auto read = DecodeBatch(*message);
      RC_ASSERT(read.has_value());
      RC_ASSERT(read->mKind == "servers" && read->mFrom == 4 && read->mTo == 9);
      RC_ASSERT(!read->mIsSnapshot && read->mAfterOutage);
      RC_ASSERT(read->mChanges.at(0).mObject.mValue.size() == size);
      RC_ASSERT(read->mChanges.at(1).mRemoved);
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against fragments of two messages that are reassembled into one.
  void MessageWithLostFragmentIsDropped()
  {
    const auto first = SplitIntoFragments(EncodeBatch(MakeBatch(20'000)), "vm-1", 1);
    const auto second = SplitIntoFragments(EncodeBatch(MakeBatch(20'000)), "vm-1", 2);
    fragment_reassembler reassembler;
    CPPUNIT_ASSERT(!reassembler.Add(first[0]));
    for (std::size_t i = 1; i < second.size(); ++i) {
      CPPUNIT_ASSERT(!reassembler.Add(second[i]));
    }
    CPPUNIT_ASSERT(reassembler.Add(second[0]));
  }

  void DamagedFragmentsAreDropped()
  {
    const auto intact = SplitIntoFragments(EncodeBatch(MakeBatch(100)), "vm-1", 1).at(0);
    const bool holds = rc::check("damaged fragments don't throw", [&intact] {
      auto bytes = intact;
      const auto at = *rc::gen::inRange<std::size_t>(1, bytes.size());
      fragment_reassembler reassembler;
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!reassembler.Add(bytes));
      } else {
        bytes[at] = *rc::gen::arbitrary<char>();
        if (const auto message = reassembler.Add(bytes)) {
          DecodeBatch(*message);
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against messages to the daemons' port that overflow the call stack or make the JSON
  /// library throw, which ended the process or the receiving of messages.
  void UnboundedMessagesAreDropped()
  {
    const std::size_t bytes = 400'000;
    const std::string count = "\x7f\xff\xff\xff\xff\xff\xff\xff";
    for (const auto& message : { std::string(bytes, '\x81'), // nested arrays
                                 std::string(bytes, '\x9f'), // of indefinite length
                                 std::string(bytes, '\x7f'), // parts of a text
                                 std::string(bytes, '\x5f'), // parts of a byte string
                                 std::string(bytes, '\xc1'), // tags
                                 std::string(bytes, '\xbf'), // maps
                                 '\x9b' + count,
                                 '\xbb' + count, // huge counts
                                 '\x7b' + count,
                                 '\x5b' + count,
                                 std::string{} }) {
      CPPUNIT_ASSERT(!DecodeBatch(message));
      fragment_reassembler reassembler;
      CPPUNIT_ASSERT(!reassembler.Add('F' + message));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_batch_test);

} // namespace skylarkwind
