#include "skylarkwind/account_index.h"

#include "skylarkwind/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class account_index_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(account_index_test);
  CPPUNIT_TEST(EachKeyFindsItsAccount);
  CPPUNIT_TEST(SharedKeyBelongsToNoAccount);
  CPPUNIT_TEST(UnusableAccountsAreLeftOut);
  CPPUNIT_TEST(NewConfigurationReplacesAllKeys);
  CPPUNIT_TEST_SUITE_END();

  static std::string NameOf(const account_index& aIndex, std::string_view aKey)
  {
    const auto* account = aIndex.Find(aKey);
    return account == nullptr ? "-" : account->mName;
  }

  void EachKeyFindsItsAccount()
  {
    const std::vector<client_account> accounts{ { "a", { "k1", "k2" }, 1 }, { "b", { "k3" }, {} } };
    account_index index{ 7 };
    index.Replace(accounts);
    CPPUNIT_ASSERT_EQUAL(std::string{ "a" }, NameOf(index, "k1"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "a" }, NameOf(index, "k2"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "b" }, NameOf(index, "k3"));
    for (const auto* key : { "", "k", "k11", "K1", " k1" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, std::string{ "-" }, NameOf(index, key));
    }
    CPPUNIT_ASSERT(index.Problems().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, index.KeyCount());
  }

  /// Guards against serving a caller in the name of the wrong account, and against a problem text
  /// that reveals a key.
  void SharedKeyBelongsToNoAccount()
  {
    const std::vector<client_account> accounts{ { "a", { "secret", "k1" }, {} },
                                                { "b", { "secret" }, {} },
                                                { "c", { "secret", "k2", "k2" }, {} } };
    account_index index{ 7 };
    index.Replace(accounts);
    CPPUNIT_ASSERT_EQUAL(std::string{ "-" }, NameOf(index, "secret"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "a" }, NameOf(index, "k1"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "c" }, NameOf(index, "k2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, index.Problems().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, index.KeyCount());
    for (const auto& problem : index.Problems()) {
      CPPUNIT_ASSERT_MESSAGE(problem, problem.find("secret") == std::string::npos);
    }
  }

  /// Guards against names that would end a header line early, and against an empty key that every
  /// caller without a key would have.
  void UnusableAccountsAreLeftOut()
  {
    const std::vector<client_account> accounts{ { "", { "k1" }, {} },
                                                { "a\r\nX: 1", { "k2" }, {} },
                                                { "b", { "" }, {} },
                                                { "b", { "k3" }, {} },
                                                { std::string(300, 'n'), { "k4" }, {} } };
    account_index index{ 7 };
    index.Replace(accounts);
    for (const auto* key : { "", "k1", "k2", "k3", "k4" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, std::string{ "-" }, NameOf(index, key));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, index.Problems().size());
  }

  /// Guards against withdrawn keys that stay in use after the configuration without them.
  void NewConfigurationReplacesAllKeys()
  {
    route_index routes{ 7 };
    auto first = std::make_shared<forward_configuration>();
    first->mVersion = 1;
    first->mAccounts = std::vector<client_account>{ { "a", { "k1", "k2" }, {} } };
    auto second = std::make_shared<forward_configuration>();
    second->mVersion = 2;
    second->mAccounts = std::vector<client_account>{ { "a", { "k2" }, {} }, { "b", { "k3" }, {} } };
    routes.Apply(first);
    CPPUNIT_ASSERT_EQUAL(std::string{ "a" }, NameOf(routes.Accounts(), "k1"));
    routes.Apply(second);
    first.reset();
    CPPUNIT_ASSERT_EQUAL(std::string{ "-" }, NameOf(routes.Accounts(), "k1"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "a" }, NameOf(routes.Accounts(), "k2"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "b" }, NameOf(routes.Accounts(), "k3"));
    auto third = std::make_shared<forward_configuration>();
    third->mVersion = 3;
    third->mAccounts.emplace();
    routes.Apply(third);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, routes.Accounts().KeyCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_index_test);

} // namespace skylarkwind
