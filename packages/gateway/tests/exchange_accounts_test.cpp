#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

/// Requests of callers with and without a key of an account.
class exchange_accounts_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_accounts_test);
  CPPUNIT_TEST(KnownKeyIsServedInTheNameOfItsAccount);
  CPPUNIT_TEST(MissingAndUnknownKeysAreRejected);
  CPPUNIT_TEST(PublicRouteNeedsNoKey);
  CPPUNIT_TEST(KeyIsCheckedAfterTheBodyHasBeenRead);
  CPPUNIT_TEST(RejectionKeepsTheConnection);
  CPPUNIT_TEST_SUITE_END();

  static std::string Request(const std::string& aRoute, const std::string& aKey)
  {
    return "POST /" + aRoute + "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n" +
           (aKey.empty() ? "" : "Key: " + aKey + "\r\n") + "Content-Length: 1\r\n\r\nb";
  }

  /// Replaces the configuration by one with these accounts, whose route `order` is public.
  static void SetAccounts(exchange_fixture& aFixture, std::vector<client_account> aAccounts)
  {
    auto next = std::make_shared<forward_configuration>(*aFixture.mRoutes.Current());
    ++next->mVersion;
    next->mAccounts = std::move(aAccounts);
    next->mRoutes.back().mIsPublic = true;
    aFixture.mRoutes.Apply(next);
  }

  void KnownKeyIsServedInTheNameOfItsAccount()
  {
    exchange_fixture fixture;
    SetAccounts(fixture, { { "a", { "k1" }, {} } });
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("stream", "k1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
    const auto sent = fixture.Read(*fixture.mServers.front());
    CPPUNIT_ASSERT_MESSAGE(sent, sent.find("Account: a\r\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(sent, sent.find("k1") == std::string::npos);
  }

  /// Guards against work that is done for callers without a key.
  void MissingAndUnknownKeysAreRejected()
  {
    for (const auto* key : { "", "k2" }) {
      exchange_fixture fixture;
      SetAccounts(fixture, { { "a", { "k1" }, {} } });
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, Request("stream", key));
      const auto response = fixture.Read(*caller);
      CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 401 "));
      CPPUNIT_ASSERT_MESSAGE(response, response.find("WWW-Authenticate: ") != std::string::npos);
      CPPUNIT_ASSERT(fixture.mServers.empty());
    }
  }

  void PublicRouteNeedsNoKey()
  {
    exchange_fixture fixture;
    SetAccounts(fixture, { { "a", { "k1" }, {} } });
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order", "k2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
    const auto sent = fixture.Read(*fixture.mServers.front());
    CPPUNIT_ASSERT_MESSAGE(sent, sent.find("Account:") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(sent, sent.find("k2") == std::string::npos);
  }

  /// Guards against a key that is withdrawn while a slow caller still sends its body.
  void KeyIsCheckedAfterTheBodyHasBeenRead()
  {
    exchange_fixture fixture;
    SetAccounts(fixture, { { "a", { "k1" }, {} } });
    auto caller = fixture.mPort.Connect();
    const auto request = Request("stream", "k1");
    fixture.Write(*caller, request.substr(0, request.size() - 1));
    SetAccounts(fixture, { { "a", { "k3" }, {} } });
    fixture.Write(*caller, request.substr(request.size() - 1));
    const auto response = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 401 "));
    CPPUNIT_ASSERT(fixture.mServers.empty());
  }

  /// Guards against a rejection that leaves a part of the request to be read as the next one.
  void RejectionKeepsTheConnection()
  {
    exchange_fixture fixture;
    SetAccounts(fixture, { { "a", { "k1" }, {} } });
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("stream", ""));
    CPPUNIT_ASSERT(fixture.Read(*caller).starts_with("HTTP/1.1 401 "));
    fixture.Write(*caller, Request("stream", "k1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_accounts_test);

} // namespace skylarkwind
