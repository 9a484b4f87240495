#include "role_controller_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>
#include <set>

#include <algorithm>
#include <deque>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An index that no daemon has: none is paused.
constexpr std::size_t kNoDaemon = 99;

/// Simulates daemons that always have commands to send and that share one store. Single daemons
/// can be paused, and the store's replies can be lost.
class lease_simulation
{
public:
  explicit lease_simulation(std::size_t aDaemons)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      mDaemons.push_back(
        { role_controller{ { "d" + std::to_string(i), 0.5, kLease } }, {}, {}, {} });
    }
  }

  /// Advances time by one step. The daemon with the index `aPaused`, if there is one, does not run
  /// during it; with `aLoseReplies` the replies to writes of the lease are lost.
  void Step(std::size_t aPaused, bool aLoseReplies)
  {
    mNow += kStep;
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      if (aPaused == i) {
        continue;
      }
      auto& daemon = mDaemons[i];
      DeliverReplies(daemon, i);
      // Every daemon has rank 0, so that mutual exclusion rests on the lease alone.
      Execute(
        daemon, i, daemon.mRoleController.OnTick(ServiceWithACommandDue(), 0, mNow), aLoseReplies);
    }
  }

  const std::vector<sent_command>& Commands() const { return mCommands; }

private:
  struct daemon
  {
    role_controller mRoleController;
    std::deque<role_call_id> mPendingReads;
    std::deque<std::pair<role_call_id, std::optional<std::uint64_t>>> mPendingWrites;
    std::deque<query_engine_state> mPendingStates;
  };

  void DeliverReplies(daemon& aDaemon, std::size_t aIndex)
  {
    while (!aDaemon.mPendingReads.empty()) {
      const auto call = aDaemon.mPendingReads.front();
      aDaemon.mPendingReads.pop_front();
      aDaemon.mRoleController.OnLeaseRead(call, mLease, false, mNow);
    }
    while (!aDaemon.mPendingWrites.empty()) {
      const auto& [call, revision] = aDaemon.mPendingWrites.front();
      aDaemon.mRoleController.OnLeaseWritten(call, revision, mNow);
      aDaemon.mPendingWrites.pop_front();
    }
    while (!aDaemon.mPendingStates.empty()) {
      const auto query = aDaemon.mPendingStates.front();
      aDaemon.mPendingStates.pop_front();
      engine_state_report report;
      report.mRole = engine_role::Decode;
      Execute(aDaemon,
              aIndex,
              aDaemon.mRoleController.OnEngineState(query.mCall, query.mBackendId, report, mNow),
              false);
    }
  }

  void Execute(daemon& aDaemon,
               std::size_t aIndex,
               const std::vector<role_action>& aActions,
               bool aLoseReplies)
  {
    for (const auto& action : aActions) {
      if (const auto* read = std::get_if<read_lease>(&action)) {
        aDaemon.mPendingReads.push_back(read->mCall);
      } else if (const auto* write = std::get_if<write_lease>(&action)) {
        const bool done = write->mRevision == (mLease ? mLease->mRevision : 0);
        if (done) {
          mLease = command_lease{ ++mRevision, "d" + std::to_string(aIndex), write->mFencing };
        }
        aDaemon.mPendingWrites.emplace_back(
          write->mCall, done && !aLoseReplies ? std::optional{ mRevision } : std::nullopt);
      } else if (const auto* ask = std::get_if<query_engine_state>(&action)) {
        aDaemon.mPendingStates.push_back(*ask);
      } else if (const auto* give = std::get_if<send_role_command>(&action)) {
        if (mNow < give->mNotAfter) {
          mCommands.push_back({ aIndex, give->mOrder.mFencing, mNow });
        }
        aDaemon.mRoleController.OnRoleCommandResult(
          give->mCall, give->mOrder.mBackendId, role_command_result::Unchanged, mNow);
      }
    }
  }

  instant mNow{ seconds{ 1'000 } };
  std::vector<daemon> mDaemons;
  std::optional<command_lease> mLease;
  std::uint64_t mRevision = 0;
  std::vector<sent_command> mCommands;
};

} // namespace

class role_controller_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(role_controller_test);
  CPPUNIT_TEST(HoldersAreALeaseTimeApart);
  CPPUNIT_TEST(SoleDaemonSendsCommandsRepeatedly);
  CPPUNIT_TEST(TwoDataCentresKeepADecodeEngine);
  CPPUNIT_TEST(LostDecodeEnginesAreReplaced);
  CPPUNIT_TEST(DeviationShorterThanSettleTimeIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against two daemons that send commands to engines at the same time: over schedules of
  /// pauses and lost store replies, commands of different daemons are at least a lease time apart
  /// and fencing tokens never decrease.
  void HoldersAreALeaseTimeApart()
  {
    const bool holds =
      rc::check("commands of different holders are at least a lease time apart", [] {
        lease_simulation simulation{ 3 };
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          60, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 60)));
        for (const auto& [paused, length] : steps) {
          for (int i = 0; i < length; ++i) {
            simulation.Step(static_cast<std::size_t>(paused), paused == 4 && i % 3 == 0);
          }
        }
        CheckCommands(simulation.Commands());
      });
    CPPUNIT_ASSERT(holds);
  }

  void SoleDaemonSendsCommandsRepeatedly()
  {
    lease_simulation simulation{ 1 };
    for (int i = 0; i < 200; ++i) {
      simulation.Step(kNoDaemon, false);
    }
    CPPUNIT_ASSERT(simulation.Commands().size() > 3);
  }

  /// Pattern: few engines in many data centres under a burst of long prompts. The share decides how
  /// many engines decode, but the loss of one data centre must not take all of them.
  void TwoDataCentresKeepADecodeEngine()
  {
    const auto view = Service({ Engine("a1", "a", engine_role::Decode),
                                Engine("a2", "a", engine_role::Decode),
                                Engine("b1", "b", engine_role::Decode),
                                Engine("c1", "c", engine_role::Decode) });
    const auto moderate = role_controller::PlanRoleChanges(view, 0.25);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, moderate.size());
    CPPUNIT_ASSERT(moderate[0].first.starts_with('a'));
    CPPUNIT_ASSERT(moderate[0].second == engine_role::Prefill);
    const auto high = role_controller::PlanRoleChanges(view, 0.75);
    std::set<char> remaining{ 'a', 'b', 'c' };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, high.size());
    CPPUNIT_ASSERT(high[0].first.starts_with('a'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, remaining.erase(high[1].first.front()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, remaining.size());
  }

  /// Guards against a service that stays without decode engines after all of them left at once, as
  /// in seed 674573645581 of tallow-creek's third day of trouble.
  void LostDecodeEnginesAreReplaced()
  {
    const auto view = Service({ Engine("a1", "a", engine_role::Prefill),
                                Engine("a2", "a", engine_role::Prefill),
                                Engine("b1", "b", engine_role::Prefill),
                                Engine("c1", "c", engine_role::Prefill) });
    const auto changes = role_controller::PlanRoleChanges(view, 0.75);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.size());
    CPPUNIT_ASSERT(changes[0].second == engine_role::Decode);
  }

  void DeviationShorterThanSettleTimeIsIgnored()
  {
    role_controller keeper{ { "d0", 0.5, kLease } };
    const std::vector services{ Service(
      { Engine("e0", "a", engine_role::Decode), Engine("e1", "a", engine_role::Decode) }) };
    const instant now{ seconds{ 100 } };
    // The first store call is the periodic read of the lease.
    const auto first = keeper.OnTick(services, 0, now);
    CPPUNIT_ASSERT(first.size() == 1 && std::holds_alternative<read_lease>(first[0]));
    keeper.OnLeaseRead(std::get<read_lease>(first[0]).mCall, std::nullopt, false, now);
    CPPUNIT_ASSERT(keeper.OnTick(services, 0, now + milliseconds{ 200 }).empty());
    const auto later = keeper.OnTick(services, 0, now + milliseconds{ 500 });
    CPPUNIT_ASSERT(later.size() == 1 && std::holds_alternative<write_lease>(later[0]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(role_controller_test);

} // namespace skylarkwind
