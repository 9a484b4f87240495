#include "document_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class membership_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(membership_test);
  CPPUNIT_TEST(DeadMemberIsSuspectedFirst);
  CPPUNIT_TEST(NewerProcessReplacesTheOlderOne);
  CPPUNIT_TEST(PausedMemberComesBack);
  CPPUNIT_TEST(LeavingIsToldAtOnce);
  CPPUNIT_TEST(PartitionHeals);
  CPPUNIT_TEST(CostDoesNotGrowWithTheFleet);
  CPPUNIT_TEST(OneWayCutKeepsMembersAlive);
  CPPUNIT_TEST(LostMessagesKillNobody);
  CPPUNIT_TEST(VersionsAreHeardFromTheirOwner);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<document_cluster> Started(std::size_t aCount)
  {
    auto fleet = std::make_unique<document_cluster>(11);
    for (std::size_t i = 0; i < aCount; ++i) {
      fleet->Add(std::string(1, static_cast<char>('a' + i % 3)));
    }
    fleet->StartAll();
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 60 }));
    return fleet;
  }

  static bool Knows(const document_cluster& aFleet, std::size_t aWho, const process_id& aProcess)
  {
    return aFleet.mDaemons[aWho].mMembers->MayBeAlive(aProcess);
  }

  /// Guards against a member that is declared dead before it had time to refute, and against a dead
  /// one that is never detected. The upper bound is one round of probes, 5 s of suspicion and the
  /// time to spread the update.
  void DeadMemberIsSuspectedFirst()
  {
    const auto fleet = Started(6);
    const auto killed = fleet->mDaemons[5].mProcess;
    fleet->Kill(5);
    fleet->mTime.Run(seconds{ 5 });
    for (std::size_t i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(Knows(*fleet, i, killed));
    }
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 12 }));
    CPPUNIT_ASSERT(!Knows(*fleet, 0, killed));
  }

  /// Guards against two live processes of one VM, and against a late message that makes the old one
  /// live again; claims of the old process depend on this.
  void NewerProcessReplacesTheOlderOne()
  {
    const auto fleet = Started(4);
    const auto before = fleet->mDaemons[3].mProcess;
    fleet->Start(3);
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 20 }));
    CPPUNIT_ASSERT(!Knows(*fleet, 0, before));
    CPPUNIT_ASSERT(Knows(*fleet, 0, fleet->mDaemons[3].mProcess));
    CPPUNIT_ASSERT(Knows(*fleet, 0, { "never-seen", 1 }));
    effect_list out;
    const member_update late{ before, fleet->mDaemons[3].mLocation, 99, member_state::Alive };
    fleet->mDaemons[0].mMembers->OnPeerRequestReceived(
      { { 1 }, probe_message{ late, {}, {} } }, fleet->mTime.mNow, out);
    CPPUNIT_ASSERT(!Knows(*fleet, 0, before));
    const auto replaced = fleet->mDaemons[3].mProcess;
    fleet->Replace(3);
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 30 }));
    CPPUNIT_ASSERT(!Knows(*fleet, 0, replaced));
  }

  /// Guards against a daemon that resumes, finds its timers expired and declares others dead, and
  /// against others that keep considering it dead.
  void PausedMemberComesBack()
  {
    const auto fleet = Started(5);
    fleet->Pause(2);
    fleet->mTime.Run(seconds{ 40 });
    CPPUNIT_ASSERT(!Knows(*fleet, 0, fleet->mDaemons[2].mProcess));
    fleet->Resume(2);
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 15 }));
    for (std::size_t i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(Knows(*fleet, 2, fleet->mDaemons[i].mProcess));
    }
  }

  /// Guards against a planned stop that the others detect only by suspicion.
  void LeavingIsToldAtOnce()
  {
    const auto fleet = Started(8);
    fleet->Leave(7);
    CPPUNIT_ASSERT(fleet->RunUntil(
      [&] { return !fleet->mDaemons[7].IsRunning() && fleet->MembersAgree(); }, seconds{ 5 }));
  }

  /// Guards against halves of a fleet that stay separate after a network partition has healed.
  void PartitionHeals()
  {
    const auto fleet = Started(9);
    for (std::size_t i = 0; i < 9; ++i) {
      for (std::size_t j = 0; j < 9; ++j) {
        if ((i % 3 == 0) != (j % 3 == 0)) {
          fleet->mPartitionedLinks.insert({ i, j });
        }
      }
    }
    fleet->mTime.Run(seconds{ 60 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fleet->mDaemons[0].mMembers->Live().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, fleet->mDaemons[1].mMembers->Live().size());
    fleet->mPartitionedLinks.clear();
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->MembersAgree(); }, seconds{ 30 }));
  }

  /// Guards against traffic that grows with the fleet, and against updates that are sent for ever:
  /// without changes a daemon sends one probe per second and its messages carry no updates.
  void CostDoesNotGrowWithTheFleet()
  {
    for (const std::size_t count : { 4, 64 }) {
      const auto fleet = Started(count);
      fleet->mTime.Run(seconds{ 60 });
      std::size_t probes = 0;
      std::size_t updates = 0;
      fleet->mOnMessage = [&](auto, const peer_message& aMessage) {
        if (const auto* probe = std::get_if<probe_message>(&aMessage)) {
          ++probes;
          updates += probe->mUpdates.size();
        }
      };
      fleet->mTime.Run(seconds{ 10 });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, updates);
      CPPUNIT_ASSERT(probes <= count * 11);
      CPPUNIT_ASSERT(probes >= count * 9);
    }
  }

  /// Guards against a suspicion caused by the failure of one direction of a link: indirect probes
  /// still reach the member.
  void OneWayCutKeepsMembersAlive()
  {
    const auto fleet = Started(6);
    fleet->mPartitionedLinks = { { 0, 1 }, { 2, 3 }, { 3, 2 } };
    for (int i = 0; i < 600; ++i) {
      fleet->mTime.Run(milliseconds{ 100 });
      for (const auto& member : fleet->mDaemons[i % 6].mMembers->Live()) {
        CPPUNIT_ASSERT(member.mState == member_state::Alive);
      }
      CPPUNIT_ASSERT(fleet->MembersAgree());
    }
  }

  /// Guards against live members being declared dead at 10 % message loss.
  void LostMessagesKillNobody()
  {
    const auto fleet = Started(20);
    fleet->mLossPercent = 10;
    for (int i = 0; i < 120; ++i) {
      fleet->mTime.Run(seconds{ 1 });
      CPPUNIT_ASSERT(fleet->MembersAgree());
    }
  }

  /// Guards against a status that shows the table serial of an ended process, one lowered by a late
  /// message, or one for a member that never reported any.
  void VersionsAreHeardFromTheirOwner()
  {
    const auto made = membership::Create({ { "self", 1 }, { "127.0.0.1:1", "a", "r" } });
    CPPUNIT_ASSERT(made.ok());
    auto& members = **made;
    const instant now{ seconds{ 100 } };
    const auto hear = [&](std::uint64_t aStartId, std::uint64_t aSerial) {
      effect_list out;
      const member_update sender{ { "peer", aStartId }, { "127.0.0.1:2", "a", "r" } };
      members.OnPeerRequestReceived(
        { { 1 }, probe_message{ sender, {}, { { "table", aSerial } } } }, now, out);
    };
    const auto seen = [&](const process_id& aProcess) {
      return members.ReportedVersion(aProcess, "table").value_or(0);
    };
    CPPUNIT_ASSERT(!members.ReportedVersion({ "peer", 5 }, "table"));
    hear(5, 8);
    hear(5, 7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, seen({ "peer", 5 }));
    CPPUNIT_ASSERT(!members.ReportedVersion({ "peer", 5 }, "fleet/a"));
    hear(6, 3);
    hear(5, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, seen({ "peer", 6 }));
    CPPUNIT_ASSERT(!members.ReportedVersion({ "peer", 5 }, "table"));
    members.SetDocuments(std::vector<document_version>{ { "table", 4 } });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, seen({ "self", 1 }));
    effect_list out;
    const member_update left{ { "peer", 6 }, { "127.0.0.1:2", "a", "r" }, 0, member_state::Left };
    members.OnPeerRequestReceived({ { 2 }, probe_message{ left, {}, {} } }, now, out);
    CPPUNIT_ASSERT(!members.ReportedVersion({ "peer", 6 }, "table"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace skylarkwind
