#include "skylarkwind/http_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/async-io.h>

namespace skylarkwind {

/// Calls that cannot be sent.
class http_pool_failure_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_pool_failure_test);
  CPPUNIT_TEST(UnusableAddressIsFailureOfResult);
  CPPUNIT_TEST(UnusableHeaderIsFailureOfResult);
  CPPUNIT_TEST_SUITE_END();

  struct pool_loop
  {
    kj::AsyncIoContext mIo = kj::setupAsyncIo();
    system_clock_source mClock;
    kj::HttpHeaderTable mTable;
    http_pool mPool{ mIo.provider->getNetwork(), mIo.provider->getTimer(), mClock, mTable, {} };
  };

  static http_call Get(const std::string& aAddress)
  {
    http_call call;
    call.mAddress = aAddress;
    call.mHost = "a.example";
    call.mMethod = "GET";
    call.mTarget = "/a";
    return call;
  }

  /// Guards against exceptions for an address in the store, thrown by the call itself or by its
  /// promise: callers handle failures of the result only.
  void UnusableAddressIsFailureOfResult()
  {
    pool_loop loop;
    for (const auto* address : { "",
                                 ":",
                                 "127.0.0.1:70000",
                                 "127.0.0.1:-1",
                                 "127.0.0.1:x",
                                 "unix:",
                                 "[::1",
                                 "\xff\xfe:1" }) {
      const auto result = loop.mPool.Call(Get(address)).wait(loop.mIo.waitScope);
      CPPUNIT_ASSERT_MESSAGE(address, std::holds_alternative<http_failure>(result));
      CPPUNIT_ASSERT_MESSAGE(address, !std::get<http_failure>(result).mSent);
    }
  }

  /// Guards against exceptions for a header value that the HTTP library refuses, e.g. a handle with
  /// a line break that an engine gave, on a new connection and on an idle one.
  void UnusableHeaderIsFailureOfResult()
  {
    pool_loop loop;
    auto& network = loop.mIo.provider->getNetwork();
    auto port = network.parseAddress("127.0.0.1:0").wait(loop.mIo.waitScope)->listen();
    struct service final : kj::HttpService
    {
      explicit service(const kj::HttpHeaderTable& aTable)
        : mTable(aTable)
      {
      }
      kj::Promise<void> request(kj::HttpMethod,
                                kj::StringPtr,
                                const kj::HttpHeaders&,
                                kj::AsyncInputStream&,
                                Response& aResponse) override
      {
        aResponse.send(200, "OK", kj::HttpHeaders{ mTable }, std::uint64_t{ 0 });
        return kj::READY_NOW;
      }
      const kj::HttpHeaderTable& mTable;
    } served{ loop.mTable };
    kj::HttpServer server{ loop.mIo.provider->getTimer(), loop.mTable, served };
    auto serving = server.listenHttp(*port).eagerlyEvaluate(nullptr);
    const auto address = "127.0.0.1:" + std::to_string(port->getPort());
    for (const bool idle : { false, true }) {
      if (idle) {
        auto result = loop.mPool.Call(Get(address)).wait(loop.mIo.waitScope);
        auto& answer = std::get<std::unique_ptr<http_answer>>(result);
        answer->Body().readAllBytes().wait(loop.mIo.waitScope);
        loop.mPool.Release(std::move(answer), false, std::nullopt);
      }
      auto call = Get(address);
      call.mHeaders.emplace_back("X-Handle", "a\r\nb");
      const auto result = loop.mPool.Call(std::move(call)).wait(loop.mIo.waitScope);
      CPPUNIT_ASSERT(std::holds_alternative<http_failure>(result));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_pool_failure_test);

} // namespace skylarkwind
