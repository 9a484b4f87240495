#include "skylarkwind/net_address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class net_address_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(net_address_test);
  CPPUNIT_TEST(AddressesAreToldFromOtherTexts);
  CPPUNIT_TEST(AddressesWithoutHostOrPortAreUnreachable);
  CPPUNIT_TEST_SUITE_END();

  void AddressesAreToldFromOtherTexts()
  {
    CPPUNIT_ASSERT(IsIpPort("10.0.0.1:8080"));
    CPPUNIT_ASSERT(IsIpPort("127.0.0.1:0"));
    for (const auto* text : { "",
                              "10.0.0.1",
                              "10.0.0.1:",
                              ":80",
                              "a.example:80",
                              "10.0.0.1:x",
                              "10.0.0.1:65536",
                              "10.0.0:80",
                              "10.0.0.1:80 " }) {
      CPPUNIT_ASSERT_MESSAGE(text, !IsIpPort(text));
    }
    CPPUNIT_ASSERT(!IsIpPort(std::string_view{ "10.0.0.1\0:80", 12 }));
  }

  /// Guards against connecting to an address that can only be listened at.
  void AddressesWithoutHostOrPortAreUnreachable()
  {
    CPPUNIT_ASSERT(IsReachableIpPort("10.0.0.1:65535"));
    for (const auto* text : { "", "10.0.0.1:0", "0.0.0.0:80", "10.0.0.1:70000", "localhost:80" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !IsReachableIpPort(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(net_address_test);

} // namespace skylarkwind
