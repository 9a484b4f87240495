#include "skylarkwind/counters.h"
#include "skylarkwind/hash.h"
#include "skylarkwind/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

namespace skylarkwind {

class base_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(base_test);
  CPPUNIT_TEST(HashesMatchPublishedVectors);
  CPPUNIT_TEST(CountersPrintPrometheusText);
  CPPUNIT_TEST(LogWritesWhatIsAtOrAboveItsLevel);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a wrong digest, which would lock out every account.
  void HashesMatchPublishedVectors()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string{ "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" },
      Sha256Hex("abc"));
    CPPUNIT_ASSERT_EQUAL(
      std::string{ "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8" },
      HmacSha256Hex("key", "The quick brown fox jumps over the lazy dog"));
    CPPUNIT_ASSERT(EqualConstantTime("same", "same"));
    CPPUNIT_ASSERT(!EqualConstantTime("same", "sane"));
  }

  /// Guards against labels or types that a Prometheus scraper would reject.
  void CountersPrintPrometheusText()
  {
    counters registry;
    registry.Get("requests_total", "Requests received.", "service=\"a\"").Add(2);
    registry.Get("open", "Open streams.", "", counter_kind::Gauge).Set(3);
    CPPUNIT_ASSERT_EQUAL(std::string{ "# HELP open Open streams.\n# TYPE open gauge\nopen 3\n"
                                      "# HELP requests_total Requests received.\n"
                                      "# TYPE requests_total counter\n"
                                      "requests_total{service=\"a\"} 2\n" },
                         registry.PrometheusText());
  }

  /// Guards against a log that drops every line: a filter on the level once ran before the level
  /// was part of the record.
  void LogWritesWhatIsAtOrAboveItsLevel()
  {
    std::ostringstream captured;
    auto* before = std::clog.rdbuf(captured.rdbuf());
    StartLog({ log_level::Info, log_format::JsonLines });
    Log(log_level::Debug, "part", "hidden");
    Log(log_level::Warning, "part", "a \"quoted\" line");
    std::clog.rdbuf(before);
    const auto text = captured.str();
    CPPUNIT_ASSERT(text.find("hidden") == std::string::npos);
    CPPUNIT_ASSERT(text.find(R"("level":"warning","part":"part","text":"a \"quoted\" line"})") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_test);

} // namespace skylarkwind
