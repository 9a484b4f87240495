#include "skylarkwind/fleet_members.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace skylarkwind {

using std::chrono::seconds;

class fleet_members_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_members_test);
  CPPUNIT_TEST(StrongVmsAreChosenFirst);
  CPPUNIT_TEST(ChoiceDoesNotFollowTheNames);
  CPPUNIT_TEST(DaemonThatStoppedIsNotChosenUntilItStartsAgain);
  CPPUNIT_TEST(SilentCollectorIsChosenAgainLater);
  CPPUNIT_TEST(ListedEntriesNeverReplaceWhatWasHeard);
  CPPUNIT_TEST(DaemonsThatNobodyNamesAreForgotten);
  CPPUNIT_TEST(DutiesGoToDaemonsThatReachTheStore);
  CPPUNIT_TEST(OtherDataCentresAreRememberedThroughACut);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };

  static fleet_member Member(const std::string& aName,
                             std::uint32_t aStrength = 120,
                             const std::string& aDataCentre = "z")
  {
    return { aName, aName + ":1", aDataCentre, aStrength, true, 1 };
  }
  std::vector<std::string> Best(const fleet_members& aMembers, std::size_t aMost) const
  {
    std::vector<std::string> names;
    for (const auto* member : aMembers.Best("z", aMost, mNow)) {
      names.push_back(member->mName);
    }
    return names;
  }
  fleet_members Many() const
  {
    fleet_members members{ Member("vm-0") };
    for (int i = 1; i < 20; ++i) {
      members.OnHeard(Member("vm-" + std::to_string(i)), mNow);
    }
    return members;
  }

  /// Guards against a VM with an eighth of a core that sends to sixty others.
  void StrongVmsAreChosenFirst()
  {
    auto members = Many();
    members.OnHeard(Member("vm-7", 500), mNow);
    members.OnHeard(Member("vm-9", 500), mNow);
    auto best = Best(members, 2);
    std::sort(best.begin(), best.end());
    CPPUNIT_ASSERT(best == (std::vector<std::string>{ "vm-7", "vm-9" }));
  }

  /// Guards against a roll over the VMs by name that stops all chosen ones at once.
  void ChoiceDoesNotFollowTheNames()
  {
    const auto best = Best(Many(), 3);
    CPPUNIT_ASSERT(best != (std::vector<std::string>{ "vm-0", "vm-1", "vm-10" }));
    CPPUNIT_ASSERT(best == Best(Many(), 3));
  }

  void DaemonThatStoppedIsNotChosenUntilItStartsAgain()
  {
    auto members = Many();
    const auto first = Best(members, 1).at(0);
    auto member = Member(first);
    member.mStops = true;
    members.OnHeard(member, mNow);
    CPPUNIT_ASSERT(Best(members, 1).at(0) != first);
    // A summary that still names it comes late.
    member.mStops = false;
    members.OnHeard(member, mNow);
    CPPUNIT_ASSERT(Best(members, 1).at(0) != first);
    member.mStart = 2;
    members.OnHeard(member, mNow);
    CPPUNIT_ASSERT_EQUAL(first, Best(members, 1).at(0));
  }

  void SilentCollectorIsChosenAgainLater()
  {
    auto members = Many();
    const auto first = Best(members, 1).at(0);
    members.OnSilent(first, mNow);
    CPPUNIT_ASSERT(Best(members, 1).at(0) != first);
    mNow += seconds{ 3 };
    CPPUNIT_ASSERT_EQUAL(first, Best(members, 1).at(0));
  }

  /// Guards against a list of the store that brings a daemon's old address back.
  void ListedEntriesNeverReplaceWhatWasHeard()
  {
    auto members = Many();
    auto old = Member("vm-3");
    old.mAddress = "old:1";
    members.OnListed(old, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string{ "vm-3:1" }, members.Find("vm-3")->mAddress);
    members.OnListed(Member("vm-90"), mNow);
    CPPUNIT_ASSERT(members.Find("vm-90") != nullptr);
  }

  void DaemonsThatNobodyNamesAreForgotten()
  {
    auto members = Many();
    members.OnListed(Member("vm-90"), mNow);
    members.OnTick(mNow + seconds{ 4 });
    CPPUNIT_ASSERT(members.Find("vm-3") == nullptr);
    CPPUNIT_ASSERT(members.Find("vm-90") != nullptr);
    members.OnTick(mNow + seconds{ 20 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, members.Known());
  }

  /// Guards against engine commands that nobody sends because the daemon whose turn it is has no
  /// store.
  void DutiesGoToDaemonsThatReachTheStore()
  {
    fleet_members members{ Member("b") };
    members.OnHeard(Member("a"), mNow);
    members.OnHeard(Member("c", 120, "y"), mNow);
    // The best of each data centre come first, so that duties are not lost with one of them.
    const auto duties = members.ForDuties(mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, duties.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "c" }, duties[0]->mName);
    auto cutOff = Member("a");
    cutOff.mReachesStore = false;
    members.OnHeard(cutOff, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, members.DutyRank(mNow));
    members.SetReachesStore(false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, members.ForDuties(mNow).size());
    // While nobody reaches the store somebody has to find out when it is back.
    auto last = Member("c", 120, "y");
    last.mReachesStore = false;
    members.OnHeard(last, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, members.ForDuties(mNow).size());
  }

  void OtherDataCentresAreRememberedThroughACut()
  {
    fleet_members members{ Member("b") };
    members.OnHeard(Member("c", 120, "y"), mNow);
    members.OnTick(mNow + seconds{ 2 });
    CPPUNIT_ASSERT(members.Best("y", 2, mNow).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, members.Known());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, members.Remembered("y", 2).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, members.DataCentres().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_members_test);

} // namespace skylarkwind
