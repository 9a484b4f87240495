#include "skylarkwind/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace skylarkwind {

namespace {

forward_route
Route(std::string aName, std::string aHost, std::string aPrefix)
{
  forward_route route;
  route.mName = std::move(aName);
  route.mHost = std::move(aHost);
  route.mPathPrefix = std::move(aPrefix);
  route.mServices = { { "s", 1 } };
  return route;
}

std::shared_ptr<const forward_configuration>
Configuration(std::uint64_t aVersion, std::vector<forward_route> aRoutes)
{
  auto made = std::make_shared<forward_configuration>();
  made->mVersion = aVersion;
  made->mRoutes = std::move(aRoutes);
  return made;
}

} // namespace

class route_index_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(route_index_test);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST(HostMatchIgnoresCaseAndPort);
  CPPUNIT_TEST(QueryIsNotPartOfThePath);
  CPPUNIT_TEST(OlderVersionIsRejected);
  CPPUNIT_TEST(SplitFollowsTheWeightsAndTheKey);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a request that is sent to the service of a less specific route.
  void LongestPrefixOfTheHostWins()
  {
    route_index index;
    index.Apply(Configuration(1,
                              { Route("short", "a.example", "/p/"),
                                Route("long", "a.example", "/p/q/"),
                                Route("other", "b.example", "/p/q/r/") }));
    CPPUNIT_ASSERT_EQUAL(std::string{ "long" }, index.Find("a.example", "/p/q/r/1")->mName);
    CPPUNIT_ASSERT_EQUAL(std::string{ "short" }, index.Find("a.example", "/p/qq")->mName);
    CPPUNIT_ASSERT(index.Find("a.example", "/x") == nullptr);
    CPPUNIT_ASSERT(index.Find("c.example", "/p/") == nullptr);
  }

  void HostMatchIgnoresCaseAndPort()
  {
    route_index index;
    index.Apply(Configuration(1, { Route("r", "A.example", "/p/") }));
    CPPUNIT_ASSERT(index.Find("a.EXAMPLE:8080", "/p/1") != nullptr);
  }

  void QueryIsNotPartOfThePath()
  {
    route_index index;
    index.Apply(Configuration(1, { Route("r", "a", "/p/q/") }));
    CPPUNIT_ASSERT(index.Find("a", "/p?x=/q/") == nullptr);
    CPPUNIT_ASSERT(index.Find("a", "/p/q/?x") != nullptr);
  }

  /// Guards against a late reply of the store that reverts a daemon to an older version.
  void OlderVersionIsRejected()
  {
    route_index index;
    CPPUNIT_ASSERT(index.Apply(Configuration(7, { Route("new", "a", "/p/") })));
    CPPUNIT_ASSERT(!index.Apply(Configuration(4, { Route("old", "a", "/p/") })));
    CPPUNIT_ASSERT(!index.Apply(Configuration(7, {})));
    CPPUNIT_ASSERT_EQUAL(std::string{ "new" }, index.Find("a", "/p/1")->mName);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, index.Version());
  }

  void SplitFollowsTheWeightsAndTheKey()
  {
    auto route = Route("r", "a", "/p/");
    route.mServices = { { "most", 90 }, { "few", 10 }, { "none", 0 } };
    std::map<std::string, int> counts;
    for (int key = 0; key < 2'000; ++key) {
      ++counts[route_index::ServiceFor(route, std::to_string(key))];
    }
    CPPUNIT_ASSERT(counts["most"] > 1'700 && counts["most"] < 1'900);
    CPPUNIT_ASSERT_EQUAL(0, counts["none"]);
    CPPUNIT_ASSERT_EQUAL(route_index::ServiceFor(route, "k"), route_index::ServiceFor(route, "k"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_index_test);

} // namespace skylarkwind
