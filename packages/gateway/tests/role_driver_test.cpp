#include "exchange_fixture.h"
#include "role_driver_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>

namespace skylarkwind {

/// What role commands and queries of an engine's state take for an answer.
class role_driver_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(role_driver_test);
  CPPUNIT_TEST(InvalidStatusIsNoState);
  CPPUNIT_TEST(InvalidStatusIsNoResultOfACommand);
  CPPUNIT_TEST_SUITE_END();

  /// Counts the answers that are passed on, and takes each state for that of an idle engine.
  struct recording_protocol final : plain_protocol
  {
    control_request StateRequest() const override { return { "GET", "/state", {}, {} }; }
    absl::StatusOr<engine_state_report> ParseState(std::string_view) const override
    {
      ++mStates;
      return engine_state_report{};
    }
    control_request RoleCommandRequest(const role_command&) const override
    {
      return { "POST", "/role", {}, "{}" };
    }
    role_command_result ParseRoleCommandResult(int) const override
    {
      ++mResults;
      return role_command_result::Accepted;
    }

    mutable int mStates = 0;
    mutable int mResults = 0;
  };

  /// A store without objects that takes every write.
  struct empty_store final : object_store
  {
    kj::Promise<store_result<object_page>> List(std::string, std::string, bool) override
    {
      return store_result<object_page>{ object_page{} };
    }
    kj::Promise<store_result<object_changes>> Watch(std::string,
                                                    std::uint64_t,
                                                    std::chrono::milliseconds) override
    {
      return store_result<object_changes>{ object_changes{} };
    }
    kj::Promise<store_result<stored_object>> Read(std::string, std::string) override
    {
      return store_result<stored_object>{ store_failure{ store_failure::cause::Missing, {} } };
    }
    kj::Promise<store_result<object_written>> Write(std::string,
                                                    std::string,
                                                    std::optional<std::uint64_t>,
                                                    std::string) override
    {
      return store_result<object_written>{ object_written{ ++mRevision } };
    }
    kj::Promise<store_result<object_written>> Replace(std::string,
                                                      std::string,
                                                      std::string) override
    {
      return store_result<object_written>{ object_written{ ++mRevision } };
    }
    kj::Promise<store_result<object_written>> Remove(std::string,
                                                     std::string,
                                                     std::uint64_t) override
    {
      return store_result<object_written>{ object_written{ ++mRevision } };
    }

    std::uint64_t mRevision = 0;
  };

  /// A daemon that wants one of four decode engines to compute prompts.
  struct played_change : played_exchange
  {
    played_change()
    {
      auto configuration = *mFixture.mRoutes.Current();
      ++configuration.mVersion;
      configuration.mServices.front().mEngine.emplace().mRoleChange = std::chrono::seconds{ 1 };
      mFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
      mFixture.mDirectory.Remove("s1", false, mFixture.mClock.Now());
      for (int i = 1; i <= 4; ++i) {
        mFixture.AddServer('d' + std::to_string(i), engine_role::Decode);
      }
    }
    /// Passes time until the driver has opened connection `aIndex`, and reads the request on it.
    std::string Request(std::size_t aIndex)
    {
      for (int i = 0; i < 200 && mFixture.mServers.size() <= aIndex; ++i) {
        mDriver.OnTick(true, mFixture.mClock.Now());
        mFixture.Advance(std::chrono::milliseconds{ 50 });
      }
      return mFixture.Read(Server(aIndex));
    }

    recording_protocol mProtocol;
    empty_store mStore;
    role_driver mDriver{ role_controller_settings{ "vm", 0.25, std::chrono::milliseconds{ 3'000 } },
                         mProtocol,
                         mFixture.mRoutes,
                         mFixture.mDirectory,
                         mFixture.mLoadTracker,
                         mFixture.mLoadExchange,
                         mStore,
                         mFixture.mPool,
                         mFixture.mResponseBodies,
                         mFixture.mTimer,
                         mFixture.mClock,
                         mFixture.mTasks };
  };

  static std::string Response(std::string_view aStatus)
  {
    return "HTTP/1.1 " + std::string{ aStatus } + " OK\r\nContent-Length: 2\r\n\r\n{}";
  }

  static constexpr std::array kInvalid{ "000", "0", "99", "100", "600", "1000" };

  /// Guards against a command that follows from bytes that are no response.
  void InvalidStatusIsNoState()
  {
    for (const auto* status : kInvalid) {
      played_change change;
      const auto request = change.Request(0);
      CPPUNIT_ASSERT_MESSAGE(request, request.starts_with("GET /state "));
      change.mFixture.Write(change.Server(0), Response(status));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 0, change.mProtocol.mStates);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::size_t{ 1 }, change.mFixture.mServers.size());
    }
  }

  /// Guards against a role that counts as changed because of bytes that are no response.
  void InvalidStatusIsNoResultOfACommand()
  {
    for (const auto* status : { "000", "0", "99", "100", "600", "1000", "200" }) {
      played_change change;
      change.Request(0);
      change.mFixture.Write(change.Server(0), Response("200"));
      CPPUNIT_ASSERT_EQUAL(1, change.mProtocol.mStates);
      const auto command = change.Request(1);
      CPPUNIT_ASSERT_MESSAGE(command, command.starts_with("POST /role "));
      change.mFixture.Write(change.Server(1), Response(status));
      const bool valid = std::string_view{ status } == "200";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, valid ? 1 : 0, change.mProtocol.mResults);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(role_driver_test);

} // namespace skylarkwind
