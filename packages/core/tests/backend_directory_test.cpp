#include "skylarkwind/backend_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class backend_directory_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(backend_directory_test);
  CPPUNIT_TEST(DrainingServerGetsNoNewRequests);
  CPPUNIT_TEST(RemovedServerIsDroppedAtOnce);
  CPPUNIT_TEST(ExpiredEntryStaysForTheGracePeriodOnly);
  CPPUNIT_TEST(DrainingServerHasNoGracePeriod);
  CPPUNIT_TEST(RestoredEntryStays);
  CPPUNIT_TEST(LeavingServerGetsNoNewRequests);
  CPPUNIT_TEST(OlderEntryDoesNotRestoreALeavingServer);
  CPPUNIT_TEST(LaterStartEndsTheLeavingState);
  CPPUNIT_TEST(LateWriteDoesNotRestoreADrainingServer);
  CPPUNIT_TEST(OlderListDoesNotRestoreADrainingServer);
  CPPUNIT_TEST(RelistedEntryDoesNotRestoreADrainingServer);
  CPPUNIT_TEST(LaterStartOfADrainingServerIsUsed);
  CPPUNIT_TEST(ServerWithoutStartTimeIsUsedAgain);
  CPPUNIT_TEST(EarlierWriteDoesNotReplaceANewerOne);
  CPPUNIT_TEST(EarlierStartDoesNotReplaceALaterOne);
  CPPUNIT_TEST(EarlierWriteDoesNotBringBackARemovedServer);
  CPPUNIT_TEST(NewerWriteBringsBackARemovedServer);
  CPPUNIT_TEST(OutdatedEntryThatStaysListedIsUsed);
  CPPUNIT_TEST(OutdatedEntryThatIsReplacedIsNotUsed);
  CPPUNIT_TEST(ReplacementsAreReported);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };

  static backend_server Server(std::string aId, bool aDraining = false)
  {
    backend_server server;
    server.mId = std::move(aId);
    server.mService = "s";
    server.mDraining = aDraining;
    return server;
  }
  static backend_directory Directory()
  {
    backend_directory directory{ { milliseconds{ 1'500 } } };
    directory.Upsert(Server("a"), instant{});
    directory.Upsert(Server("b"), instant{});
    return directory;
  }

  /// Guards against requests to a server that said in a response that it is leaving, while the
  /// store does not show it yet or is unreachable.
  void LeavingServerGetsNoNewRequests()
  {
    auto directory = Directory();
    const auto before = directory.Revision();
    directory.OnLeaving("a", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, directory.Eligible("s").size());
    CPPUNIT_ASSERT(directory.Revision() > before);
  }

  void OlderEntryDoesNotRestoreALeavingServer()
  {
    auto directory = Directory();
    auto server = Server("a");
    server.mStartedAt = 7;
    directory.Upsert(server, mNow);
    directory.OnLeaving("a", 7);
    directory.Upsert(server, mNow);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
    directory.Replace(std::array{ server }, false, mNow);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
    // An entry that expired and was restored still belongs to the same start.
    directory.Remove("a", false, mNow);
    directory.Upsert(server, mNow);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
  }

  void LaterStartEndsTheLeavingState()
  {
    auto directory = Directory();
    directory.OnLeaving("a", 7);
    auto server = Server("a");
    server.mStartedAt = 8;
    directory.Upsert(server, mNow);
    CPPUNIT_ASSERT(!directory.Find("a")->mDraining);
    // A response of the previous start may arrive late.
    directory.OnLeaving("a", 7);
    CPPUNIT_ASSERT(!directory.Find("a")->mDraining);
  }

  static backend_server Started(std::uint64_t aStartedAt, std::uint64_t aSequence, bool aDraining)
  {
    auto server = Server("a", aDraining);
    server.mStartedAt = aStartedAt;
    server.mSequence = aSequence;
    return server;
  }

  /// Whether server a may get new requests.
  static bool IsUsed(const backend_directory& aDirectory)
  {
    const auto* server = aDirectory.Find("a");
    return server != nullptr && !server->mDraining;
  }

  /// Guards against requests to a draining server after the store has executed an earlier write of
  /// its entry late (review case 10).
  void LateWriteDoesNotRestoreADrainingServer()
  {
    auto directory = Directory();
    directory.Upsert(Started(7, 4, false), mNow);
    directory.Upsert(Started(7, 6, true), mNow);
    directory.Upsert(Started(7, 5, false), mNow);
    CPPUNIT_ASSERT(!IsUsed(directory));
  }

  /// Guards against requests to a draining server whose entry is listed as of before, by a store
  /// that was restored from a copy or by a daemon that is behind (review case 6).
  void OlderListDoesNotRestoreADrainingServer()
  {
    auto directory = Directory();
    directory.Replace(std::array{ Started(7, 6, true), Server("b") }, false, mNow);
    directory.Replace(std::array{ Started(7, 4, false), Server("b") }, true, mNow);
    CPPUNIT_ASSERT(!IsUsed(directory));
  }

  /// Guards against requests to a server that has drained and was removed, and whose entry an
  /// earlier write or a restored store brings back.
  void RelistedEntryDoesNotRestoreADrainingServer()
  {
    auto directory = Directory();
    directory.Upsert(Started(7, 6, true), mNow);
    directory.Remove("a", false, mNow);
    directory.Upsert(Started(7, 5, false), mNow);
    CPPUNIT_ASSERT(!IsUsed(directory));
  }

  /// Guards against the loss of a server that restarts under its id after it has drained, also when
  /// a write of the earlier start arrives meanwhile.
  void LaterStartOfADrainingServerIsUsed()
  {
    auto directory = Directory();
    directory.Upsert(Started(7, 6, true), mNow);
    directory.Upsert(Started(8, 1, false), mNow);
    CPPUNIT_ASSERT(IsUsed(directory));
    directory.Upsert(Started(7, 6, true), mNow);
    directory.Upsert(Started(8, 2, false), mNow);
    CPPUNIT_ASSERT(IsUsed(directory));
  }

  /// Guards against the loss of a server that restarts under its id where entries have no start
  /// time.
  void ServerWithoutStartTimeIsUsedAgain()
  {
    auto directory = Directory();
    directory.Upsert(Started(0, 6, true), mNow);
    directory.Upsert(Started(0, 1, false), mNow);
    CPPUNIT_ASSERT(IsUsed(directory));
  }

  static backend_server InRole(engine_role aRole, std::uint64_t aSequence)
  {
    auto server = Started(7, aSequence, false);
    server.mRole = aRole;
    return server;
  }

  /// Guards against prompts sent to an engine that has left the role in which an earlier write of
  /// its entry shows it.
  void EarlierWriteDoesNotReplaceANewerOne()
  {
    auto directory = Directory();
    directory.Upsert(InRole(engine_role::Prefill, 4), mNow);
    directory.Upsert(InRole(engine_role::Decode, 6), mNow);
    CPPUNIT_ASSERT(directory.Upsert(InRole(engine_role::Prefill, 5), mNow) ==
                   entry_outcome::Deferred);
    CPPUNIT_ASSERT(directory.Find("a")->mRole == engine_role::Decode);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      directory.Replace(std::array{ InRole(engine_role::Prefill, 4), Server("b") }, false, mNow));
    CPPUNIT_ASSERT(directory.Find("a")->mRole == engine_role::Decode);
  }

  /// Guards against requests to the address of a server's earlier start.
  void EarlierStartDoesNotReplaceALaterOne()
  {
    auto directory = Directory();
    auto before = Started(7, 90, false);
    before.mAddress = "before";
    auto after = Started(8, 1, false);
    after.mAddress = "after";
    directory.Upsert(before, mNow);
    directory.Upsert(after, mNow);
    directory.Upsert(before, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string{ "after" }, directory.Find("a")->mAddress);
  }

  /// Guards against requests to a server that has left without draining, and whose entry is there
  /// again as of before its removal.
  void EarlierWriteDoesNotBringBackARemovedServer()
  {
    auto directory = Directory();
    directory.Upsert(Started(7, 6, false), mNow);
    directory.Remove("a", false, mNow);
    directory.Upsert(Started(7, 5, false), mNow);
    CPPUNIT_ASSERT(!IsUsed(directory));
    directory.Replace(std::array{ Started(7, 6, false) }, false, mNow);
    CPPUNIT_ASSERT(!IsUsed(directory));
    directory.Remove("a", false, mNow);
    directory.OnTick(mNow + seconds{ 6 });
    CPPUNIT_ASSERT(!IsUsed(directory));
  }

  /// Guards against the loss of a server whose entry expired while it did not reach the store.
  void NewerWriteBringsBackARemovedServer()
  {
    auto directory = Directory();
    directory.Upsert(Started(7, 6, false), mNow);
    directory.Remove("a", false, mNow);
    directory.Upsert(Started(7, 9, false), mNow);
    CPPUNIT_ASSERT(IsUsed(directory));
  }

  /// Guards against the loss of a server that has restarted with its clock set back, or whose
  /// removal was lost when the store was restored from a copy.
  void OutdatedEntryThatStaysListedIsUsed()
  {
    auto directory = Directory();
    directory.Upsert(InRole(engine_role::Decode, 6), mNow);
    directory.Upsert(InRole(engine_role::Prefill, 5), mNow);
    directory.OnTick(mNow + milliseconds{ 4'900 });
    CPPUNIT_ASSERT(directory.Find("a")->mRole == engine_role::Decode);
    // That it is listed again does not start the time anew.
    directory.Upsert(InRole(engine_role::Prefill, 5), mNow + milliseconds{ 4'900 });
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(directory.Find("a")->mRole == engine_role::Prefill);
    directory.Remove("a", false, mNow);
    directory.Upsert(InRole(engine_role::Prefill, 5), mNow);
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(IsUsed(directory));
  }

  /// Guards against an outdated entry that takes effect after the server has written again, or
  /// after it has left.
  void OutdatedEntryThatIsReplacedIsNotUsed()
  {
    auto directory = Directory();
    directory.Upsert(InRole(engine_role::Decode, 6), mNow);
    directory.Upsert(InRole(engine_role::Prefill, 5), mNow);
    directory.Upsert(InRole(engine_role::Decode, 7), mNow);
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(directory.Find("a")->mRole == engine_role::Decode);
    directory.Upsert(InRole(engine_role::Prefill, 5), mNow);
    directory.OnLeaving("a", 7);
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(!IsUsed(directory));
  }

  /// Guards against what is known of an engine that is kept after it has restarted, or discarded
  /// for an entry that is not used.
  void ReplacementsAreReported()
  {
    auto directory = Directory();
    int restarts = 0;
    directory.SetOnReplaced([&](const backend_server& aBefore, const backend_server& aAfter) {
      restarts += aBefore.mStartedAt != aAfter.mStartedAt ? 1 : 0;
    });
    directory.Upsert(Started(7, 1, false), mNow);
    CPPUNIT_ASSERT_EQUAL(1, restarts);
    directory.Upsert(Started(7, 2, true), mNow);
    directory.Upsert(Started(6, 1, false), mNow);
    CPPUNIT_ASSERT_EQUAL(1, restarts);
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(2, restarts);
  }

  void DrainingServerGetsNoNewRequests()
  {
    auto directory = Directory();
    directory.Upsert(Server("a", true), mNow);
    const auto usable = directory.Eligible("s");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, usable.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "b" }, usable[0]->mId);
    CPPUNIT_ASSERT(directory.Eligible("t").empty());
  }

  /// Guards against requests to a server that disappeared without notice, later than the allowed
  /// time after it.
  void RemovedServerIsDroppedAtOnce()
  {
    auto directory = Directory();
    directory.Remove("a", false, mNow);
    CPPUNIT_ASSERT(directory.Find("a") == nullptr);
  }

  /// Guards against an empty server list after a store outage that outlasts the lifetime of the
  /// entries, and against dead servers that stay listed after it.
  void ExpiredEntryStaysForTheGracePeriodOnly()
  {
    auto directory = Directory();
    const std::array listed{ Server("b") };
    directory.Replace(listed, true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, directory.Eligible("s").size());
    directory.OnTick(mNow + milliseconds{ 1'400 });
    CPPUNIT_ASSERT(directory.Find("a") != nullptr);
    directory.OnTick(mNow + milliseconds{ 1'500 });
    CPPUNIT_ASSERT(directory.Find("a") == nullptr);
    CPPUNIT_ASSERT(directory.Find("b") != nullptr);
  }

  void DrainingServerHasNoGracePeriod()
  {
    auto directory = Directory();
    directory.Upsert(Server("a", true), mNow);
    directory.Remove("a", true, mNow);
    CPPUNIT_ASSERT(directory.Find("a") == nullptr);
  }

  void RestoredEntryStays()
  {
    auto directory = Directory();
    directory.Remove("a", true, mNow);
    directory.Upsert(Server("a"), mNow);
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(directory.Find("a") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_directory_test);

} // namespace skylarkwind
