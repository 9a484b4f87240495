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
    directory.Upsert(Server("a"));
    directory.Upsert(Server("b"));
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
    directory.Upsert(server);
    directory.OnLeaving("a", 7);
    directory.Upsert(server);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
    directory.Replace(std::array{ server }, false, mNow);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
    // An entry that expired and was restored still belongs to the same start.
    directory.Remove("a", false, mNow);
    directory.Upsert(server);
    CPPUNIT_ASSERT(directory.Find("a")->mDraining);
  }

  void LaterStartEndsTheLeavingState()
  {
    auto directory = Directory();
    directory.OnLeaving("a", 7);
    auto server = Server("a");
    server.mStartedAt = 8;
    directory.Upsert(server);
    CPPUNIT_ASSERT(!directory.Find("a")->mDraining);
    // A response of the previous start may arrive late.
    directory.OnLeaving("a", 7);
    CPPUNIT_ASSERT(!directory.Find("a")->mDraining);
  }

  void DrainingServerGetsNoNewRequests()
  {
    auto directory = Directory();
    directory.Upsert(Server("a", true));
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
    directory.Upsert(Server("a", true));
    directory.Remove("a", true, mNow);
    CPPUNIT_ASSERT(directory.Find("a") == nullptr);
  }

  void RestoredEntryStays()
  {
    auto directory = Directory();
    directory.Remove("a", true, mNow);
    directory.Upsert(Server("a"));
    directory.OnTick(mNow + seconds{ 5 });
    CPPUNIT_ASSERT(directory.Find("a") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_directory_test);

} // namespace skylarkwind
