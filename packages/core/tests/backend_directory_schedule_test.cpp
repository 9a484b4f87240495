#include "skylarkwind/backend_directory.h"

#include "schedules.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kServers = 3;

/// Servers that write their entries to a store, which executes some writes late and comes back from
/// copies, and a directory that is given what a daemon reads from it.
class directory_schedule
{
public:
  /// `aKeepsNumbers`: whether the store changes an entry of which only the number of the write is
  /// another.
  explicit directory_schedule(bool aKeepsNumbers)
    : mKeepsNumbers(aKeepsNumbers)
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      Restart(i, 1);
    }
  }

  void Step(int aKind, std::size_t aServer, int aAmount)
  {
    auto& server = mServers[aServer];
    switch (aKind) {
      case 0:
        Write(aServer);
        break;
      case 1:
        if (server.mRuns) {
          server.mEntry.mRole =
            server.mEntry.mRole == engine_role::Decode ? engine_role::Prefill : engine_role::Decode;
          Write(aServer);
        }
        break;
      case 2:
        server.mEntry.mDraining = true;
        Write(aServer);
        break;
      case 3:
        server.mRuns = false;
        Unlist(aServer);
        break;
      case 4:
        Restart(aServer, server.mEntry.mStartedAt + 1);
        break;
      case 5:
        if (server.mRuns) {
          ++server.mEntry.mSequence;
          mLateWrites.push_back(server.mEntry);
        }
        break;
      case 6:
        if (!mLateWrites.empty()) {
          Execute(mLateWrites.front());
          mLateWrites.pop_front();
        }
        break;
      case 7:
        mCopy = mStore;
        break;
      case 8:
        mStore = mCopy;
        List(true);
        break;
      case 9:
        List(false);
        break;
      case 10:
        if (server.mRuns && server.mEntry.mDraining) {
          mDirectory.OnLeaving(server.mEntry.mId, server.mEntry.mStartedAt);
          NoteLeaving(server.mEntry);
        }
        break;
      default:
        Advance(milliseconds{ aAmount });
        break;
    }
    Check();
  }

  /// What holds once the servers have written again and nothing is late any more.
  void Settle()
  {
    mLateWrites.clear();
    for (std::size_t i = 0; i < kServers; ++i) {
      if (mServers[i].mRuns) {
        Write(i);
      } else {
        Unlist(i);
      }
    }
    Advance(seconds{ 6 });
    for (const auto& server : mServers) {
      const auto* found = mDirectory.Find(server.mEntry.mId);
      if (!server.mRuns) {
        RC_ASSERT(found == nullptr);
        continue;
      }
      RC_ASSERT(found != nullptr);
      RC_ASSERT(found->mStartedAt == server.mEntry.mStartedAt);
      RC_ASSERT(found->mDraining == server.mEntry.mDraining);
      RC_ASSERT(found->mRole == server.mEntry.mRole);
    }
  }

private:
  struct server
  {
    backend_server mEntry; ///< as it last wrote it
    bool mRuns = true;
  };

  void Restart(std::size_t aServer, std::uint64_t aStartedAt)
  {
    auto& server = mServers[aServer];
    server = {};
    server.mEntry.mId = std::string{ "abc" }.substr(aServer, 1);
    server.mEntry.mService = "s";
    server.mEntry.mRole = engine_role::Decode;
    server.mEntry.mStartedAt = aStartedAt;
    Write(aServer);
  }

  void Write(std::size_t aServer)
  {
    auto& server = mServers[aServer];
    if (server.mRuns) {
      ++server.mEntry.mSequence;
      Execute(server.mEntry);
    }
  }

  void Execute(const backend_server& aEntry)
  {
    auto& stored = mStore[aEntry.mId];
    if (stored) {
      auto renumbered = *stored;
      renumbered.mSequence = aEntry.mSequence;
      if (!mKeepsNumbers && renumbered == aEntry) {
        return;
      }
    }
    stored = aEntry;
    Deliver(aEntry);
    mDirectory.Upsert(aEntry, mNow);
  }

  void Unlist(std::size_t aServer)
  {
    const auto& id = mServers[aServer].mEntry.mId;
    mStore[id].reset();
    mDirectory.Remove(id, false, mNow);
  }

  void List(bool aAfterOutage)
  {
    std::vector<backend_server> listed;
    for (const auto& [id, entry] : mStore) {
      if (entry) {
        listed.push_back(*entry);
        Deliver(*entry);
      }
    }
    mDirectory.Replace(listed, aAfterOutage, mNow);
  }

  void Advance(milliseconds aTime)
  {
    mNow += aTime;
    mDirectory.OnTick(mNow);
  }

  void Deliver(const backend_server& aEntry)
  {
    if (aEntry.mDraining) {
      NoteLeaving(aEntry);
    }
  }

  void NoteLeaving(const backend_server& aEntry)
  {
    auto& start = mLeaving[aEntry.mId];
    start = std::max(start, aEntry.mStartedAt);
  }

  /// No start of a server that the directory was told leaves gets new requests.
  void Check() const
  {
    for (const auto* used : mDirectory.Eligible("s")) {
      const auto leaving = mLeaving.find(used->mId);
      RC_ASSERT((leaving == mLeaving.end() || used->mStartedAt > leaving->second));
    }
  }

  bool mKeepsNumbers;
  std::array<server, kServers> mServers;
  std::map<std::string, std::optional<backend_server>> mStore;
  std::map<std::string, std::optional<backend_server>> mCopy;
  std::deque<backend_server> mLateWrites;
  std::map<std::string, std::uint64_t> mLeaving; ///< latest start that is known to leave, by id
  instant mNow{ seconds{ 100 } };
  backend_directory mDirectory{ directory_settings{} };
};

} // namespace

/// Entries of servers that arrive in an order other than that in which the servers wrote them.
class backend_directory_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(backend_directory_schedule_test);
  CPPUNIT_TEST(OutdatedEntriesNeitherRestoreNorLoseServers);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against requests to a leaving server after an outdated entry, whichever way it came,
  /// and against a server that stays out of use, or in a state of before, after it has written
  /// again.
  void OutdatedEntriesNeitherRestoreNorLoseServers()
  {
    const auto problem = CheckSchedules("backend_directory_schedule", 55, 2'000, [] {
      directory_schedule schedule{ *rc::gen::arbitrary<bool>() };
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 13),
                       rc::gen::inRange<std::size_t>(0, kServers),
                       rc::gen::inRange(0, 3'000)));
      for (const auto& [kind, server, amount] : steps) {
        schedule.Step(kind, server, amount);
      }
      schedule.Settle();
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, problem);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_directory_schedule_test);

} // namespace skylarkwind
