#include "change_batch_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace skylarkwind {

class change_batch_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(change_batch_test);
  CPPUNIT_TEST(BatchSurvivesFragmentsInAnyOrder);
  CPPUNIT_TEST(MessageWithALostFragmentIsDropped);
  CPPUNIT_TEST(DamagedFragmentsAreDropped);
  CPPUNIT_TEST_SUITE_END();

  static change_batch Batch(std::size_t aValueBytes)
  {
    change_batch batch{ "servers", 4, 9, false, true, {} };
    batch.mChanges.push_back({ { "e1", 8, std::string(aValueBytes, 'x') }, false });
    batch.mChanges.push_back({ { "e2", 5, "null" }, true });
    return batch;
  }

  void BatchSurvivesFragmentsInAnyOrder()
  {
    const bool holds = rc::check("a batch arrives whole", [] {
      const auto size = *rc::gen::inRange<std::size_t>(0, 30'000);
      auto fragments = Fragments(EncodeBatch(Batch(size)), "vm-1", 7);
      std::reverse(fragments.begin(), fragments.end());
      fragment_collector collector;
      std::optional<std::string> message;
      for (const auto& fragment : fragments) {
        RC_ASSERT(fragment_collector::IsFragment(fragment));
        RC_ASSERT(!message);
        message = collector.Add(fragment);
      }
      RC_ASSERT(message.has_value());
      const auto read = DecodeBatch(*message);
      RC_ASSERT(read.has_value());
      RC_ASSERT(read->mKind == "servers" && read->mFrom == 4 && read->mTo == 9);
      RC_ASSERT(!read->mWhole && read->mAfterOutage);
      RC_ASSERT(read->mChanges.at(0).mObject.mValue.size() == size);
      RC_ASSERT(read->mChanges.at(1).mRemoved);
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against parts of two messages that are put together as one.
  void MessageWithALostFragmentIsDropped()
  {
    const auto first = Fragments(EncodeBatch(Batch(20'000)), "vm-1", 1);
    const auto second = Fragments(EncodeBatch(Batch(20'000)), "vm-1", 2);
    fragment_collector collector;
    CPPUNIT_ASSERT(!collector.Add(first[0]));
    for (std::size_t i = 1; i < second.size(); ++i) {
      CPPUNIT_ASSERT(!collector.Add(second[i]));
    }
    CPPUNIT_ASSERT(collector.Add(second[0]));
  }

  void DamagedFragmentsAreDropped()
  {
    const auto good = Fragments(EncodeBatch(Batch(100)), "vm-1", 1).at(0);
    const bool holds = rc::check("damaged fragments don't throw", [&good] {
      auto bytes = good;
      const auto at = *rc::gen::inRange<std::size_t>(1, bytes.size());
      fragment_collector collector;
      if (*rc::gen::arbitrary<bool>()) {
        bytes.resize(at);
        RC_ASSERT(!collector.Add(bytes));
      } else {
        bytes[at] = *rc::gen::arbitrary<char>();
        if (const auto message = collector.Add(bytes)) {
          DecodeBatch(*message);
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_batch_test);

} // namespace skylarkwind
