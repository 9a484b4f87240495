#include "accept_loop_p.h"
#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/debug.h>

#include <stdexcept>

namespace skylarkwind {

using std::chrono::milliseconds;

namespace {

/// A port whose connections cannot be accepted for a time. Like a socket, it throws from the call
/// itself while a connection waits, and fails the promise otherwise.
class failing_port final : public kj::ConnectionReceiver
{
public:
  enum class failure
  {
    None,
    Call,
    Promise
  };

  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override
  {
    ++mCalls;
    if (mFailure == failure::Call) {
      kj::throwFatalException(Error());
    }
    if (mFailure == failure::Promise) {
      return Error();
    }
    return mPort.accept();
  }
  kj::uint getPort() override { return 0; }

  failure mFailure = failure::None;
  int mCalls = 0;
  pipe_port mPort;

private:
  static kj::Exception Error() { return KJ_EXCEPTION(FAILED, "accept: Too many open files"); }
};

} // namespace

class accept_loop_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(accept_loop_test);
  CPPUNIT_TEST(CallersAreAcceptedAfterFailures);
  CPPUNIT_TEST(FailuresAreToldUntilAnAcceptSucceeds);
  CPPUNIT_TEST(FailureOfAConnectionDoesNotEndTheLoop);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a daemon that accepts nobody for good after it had no descriptor left once.
  void CallersAreAcceptedAfterFailures()
  {
    exchange_fixture fixture;
    for (const auto failure : { failing_port::failure::Call, failing_port::failure::Promise }) {
      failing_port port;
      caller_listener listener{ fixture.mContext };
      port.mFailure = failure;
      auto accepting = listener.Accept(port).eagerlyEvaluate(nullptr);
      fixture.Run();
      for (int i = 0; i < 5; ++i) {
        fixture.Advance(milliseconds{ 60 });
      }
      CPPUNIT_ASSERT_GREATER(3, port.mCalls);
      port.mFailure = failing_port::failure::None;
      fixture.Advance(milliseconds{ 60 });
      const auto caller = port.mPort.Connect();
      fixture.Run();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, listener.Connections());
    }
  }

  /// Guards against a daemon that says it is ready while it cannot accept callers, and against one
  /// that says it is not until a caller comes: a balancer sends none to a daemon that is not ready.
  void FailuresAreToldUntilAnAcceptSucceeds()
  {
    exchange_fixture fixture;
    for (const auto failure : { failing_port::failure::Call, failing_port::failure::Promise }) {
      failing_port port;
      caller_listener listener{ fixture.mContext };
      auto accepting = listener.Accept(port).eagerlyEvaluate(nullptr);
      fixture.Run();
      CPPUNIT_ASSERT(!listener.CannotAccept());
      const auto caller = port.mPort.Connect();
      port.mFailure = failure;
      fixture.Run();
      CPPUNIT_ASSERT(listener.CannotAccept());
      for (int i = 0; i < 5; ++i) {
        fixture.Advance(milliseconds{ 60 });
        CPPUNIT_ASSERT(listener.CannotAccept());
      }
      port.mFailure = failing_port::failure::None;
      fixture.Advance(milliseconds{ 60 });
      CPPUNIT_ASSERT(!listener.CannotAccept());
    }
  }

  void FailureOfAConnectionDoesNotEndTheLoop()
  {
    exchange_fixture fixture;
    pipe_port port;
    int connections = 0;
    accept_loop loop{ "test", fixture.mTimer, [&](const kj::Own<kj::AsyncIoStream>&) {
                       ++connections;
                       if (connections == 1) {
                         throw std::runtime_error("the first connection fails");
                       }
                     } };
    auto accepting = loop.Run(port).eagerlyEvaluate(nullptr);
    fixture.Run();
    const auto first = port.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 60 });
    const auto second = port.Connect();
    fixture.Run();
    CPPUNIT_ASSERT_EQUAL(2, connections);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(accept_loop_test);

} // namespace skylarkwind
