#include "control_fakes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace skylarkwind {

namespace {

using ms = std::chrono::milliseconds;

lease
Make(const std::string& aVm)
{
  lease_settings settings;
  settings.mSelf = { aVm, 1 };
  settings.mDataCentre = "d";
  return *lease::Create(settings);
}

} // namespace

class lease_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(lease_test);
  CPPUNIT_TEST(LateReplyCountsFromBeforeTheWrite);
  CPPUNIT_TEST(LostReplyIsSettledByARead);
  CPPUNIT_TEST(PausedHolderStopsByItsClock);
  CPPUNIT_TEST(OthersWaitAWholeTermFromFirstSight);
  CPPUNIT_TEST(GivenUpLeaseIsTakenAtOnce);
  CPPUNIT_TEST(HigherFencingElsewhereEndsTheAuthority);
  CPPUNIT_TEST(RestoredRecordOfThisProcessProvesNothing);
  CPPUNIT_TEST(OnlyTheNextInOrderPollOften);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ std::chrono::seconds{ 100 } };
  fake_platform mPlatform;
  std::size_t mReads = 0;

  /// Returns the calls of one tick; with `aAnswer` their replies are delivered at once.
  std::vector<call_platform> Tick(lease& aLease,
                                  const std::vector<process_id>& aDaemons,
                                  bool aAnswer = true)
  {
    effect_list out;
    aLease.OnTick(aDaemons, mNow, out);
    return Pass(aLease, out, aAnswer);
  }
  std::vector<call_platform> Pass(lease& aLease, const effect_list& aOut, bool aAnswer)
  {
    std::vector<call_platform> calls;
    for (const auto& effect : aOut) {
      if (const auto* call = std::get_if<call_platform>(&effect)) {
        calls.push_back(*call);
        mReads += std::holds_alternative<read_object>(call->mOperation) ? 1 : 0;
        if (aAnswer) {
          effect_list more;
          const auto result = mPlatform.Execute(call->mOperation, 0, mNow);
          aLease.OnPlatformReply({ call->mCall, result }, mNow, more);
          Pass(aLease, more, true);
        }
      }
    }
    return calls;
  }
  void Run(const std::vector<lease*>& aLeases, ms aTime)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      mNow += ms{ 20 };
      for (auto* each : aLeases) {
        Tick(*each, {});
      }
    }
  }
  /// Runs until the renewal of a held lease is sent and returns it without a reply.
  call_platform NextRenewal(lease& aLease)
  {
    for (int i = 0; i < 1'000; ++i) {
      mNow += ms{ 20 };
      const auto calls = Tick(aLease, {}, false);
      if (!calls.empty()) {
        return calls.front();
      }
    }
    CPPUNIT_FAIL("no renewal came");
    return {};
  }

  /// Guards against authority that outlives the term that the other daemons wait.
  void LateReplyCountsFromBeforeTheWrite()
  {
    auto held = Make("a");
    Run({ &held }, ms{ 11'000 });
    CPPUNIT_ASSERT(held.Holds(mNow));
    const auto renewal = NextRenewal(held);
    const auto sentAt = mNow;
    const auto result = mPlatform.Execute(renewal.mOperation, 0, mNow);
    mNow += ms{ 1'500 };
    effect_list out;
    held.OnPlatformReply({ renewal.mCall, result }, mNow, out);
    CPPUNIT_ASSERT(held.HeldUntil() == sentAt + ms{ 7'000 });
  }

  /// Guards against a holder that stops, or computes its authority wrongly, when only the reply was
  /// lost.
  void LostReplyIsSettledByARead()
  {
    auto held = Make("a");
    Run({ &held }, ms{ 11'000 });
    const auto renewal = NextRenewal(held);
    const auto sentAt = mNow;
    mPlatform.Execute(renewal.mOperation, 0, mNow);
    effect_list out;
    held.OnPlatformReply({ renewal.mCall, platform_outcome_unknown{} }, mNow, out);
    mNow += ms{ 20 };
    Tick(held, {});
    CPPUNIT_ASSERT(held.HeldUntil() == sentAt + ms{ 7'000 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, held.Fencing());
  }

  /// Guards against a holder that resumes from a pause and acts before it reads its clock.
  void PausedHolderStopsByItsClock()
  {
    auto held = Make("a");
    Run({ &held }, ms{ 11'000 });
    mNow = held.HeldUntil();
    CPPUNIT_ASSERT(!held.Holds(mNow));
    Run({ &held }, ms{ 100 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, held.Fencing()); // acquired anew, not resumed
  }

  /// Guards against a takeover while the holder may still act.
  void OthersWaitAWholeTermFromFirstSight()
  {
    auto first = Make("a");
    auto second = Make("b");
    Run({ &first, &second }, ms{ 14'000 });
    CPPUNIT_ASSERT(first.Holds(mNow) != second.Holds(mNow));
    auto& other = first.Holds(mNow) ? second : first;
    const auto heldUntil = (first.Holds(mNow) ? first : second).HeldUntil();
    while (!other.Holds(mNow) && mNow < heldUntil + ms{ 20'000 }) {
      Run({ &other }, ms{ 20 });
    }
    CPPUNIT_ASSERT(mNow >= heldUntil + ms{ 3'000 });
    CPPUNIT_ASSERT(mNow < heldUntil + ms{ 6'000 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, other.Fencing());
  }

  /// Guards against a term without a holder at each planned restart.
  void GivenUpLeaseIsTakenAtOnce()
  {
    auto first = Make("a");
    Run({ &first }, ms{ 11'000 });
    auto second = Make("b");
    Run({ &first, &second }, ms{ 2'000 });
    effect_list out;
    first.GiveUp(mNow, out);
    Pass(first, out, true);
    CPPUNIT_ASSERT(!first.Holds(mNow));
    Run({ &first, &second }, ms{ 1'100 });
    CPPUNIT_ASSERT(second.Holds(mNow));
  }

  /// Guards against fencing numbers that decrease after a restore of the platform.
  void HigherFencingElsewhereEndsTheAuthority()
  {
    auto held = Make("a");
    Run({ &held }, ms{ 11'000 });
    held.OnFencingObserved(41, mNow);
    CPPUNIT_ASSERT(!held.Holds(mNow));
    Run({ &held }, ms{ 100 });
    CPPUNIT_ASSERT(held.Holds(mNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 42 }, held.Fencing());
  }

  /// Guards against two holders after a restore brought back the record of a replaced one.
  void RestoredRecordOfThisProcessProvesNothing()
  {
    auto first = Make("a");
    Run({ &first }, ms{ 11'000 });
    auto second = Make("b");
    while (!second.Holds(mNow)) {
      Run({ &second }, ms{ 20 });
    }
    mPlatform.Restore(1);
    Run({ &first }, ms{ 1'000 });
    CPPUNIT_ASSERT(second.Holds(mNow));
    CPPUNIT_ASSERT(!first.Holds(mNow));
  }

  /// Guards against platform load that grows in proportion to the daemons of a data centre.
  void OnlyTheNextInOrderPollOften()
  {
    std::vector<process_id> daemons;
    std::vector<lease> leases;
    for (int i = 0; i < 39; ++i) {
      daemons.push_back({ "vm" + std::to_string(i), 1 });
      leases.push_back(Make(daemons.back().mVm));
    }
    const auto run = [&](ms aTime) {
      for (const auto end = mNow + aTime; mNow < end;) {
        mNow += ms{ 20 };
        for (auto& each : leases) {
          Tick(each, daemons);
        }
      }
    };
    run(ms{ 30'000 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mPlatform.mAcquisitions.size());
    mReads = 0;
    run(ms{ 100'000 });
    // 3 pollers read once a second and 35 others every 20 s, plus 10 % for jitter: 5.2 reads a
    // second.
    std::cerr << mReads << " reads of 39 daemons in 100 s";
    CPPUNIT_ASSERT(mReads <= 520);
    CPPUNIT_ASSERT(mReads >= 300);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_test);

} // namespace skylarkwind
