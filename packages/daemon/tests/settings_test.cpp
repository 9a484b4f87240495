#include "skylarkwind/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

namespace {

const std::string kGood = R"(vm: entry-1
region: north-ga
data_centre: ga-a
data_centres: [ga-a, ga-b, ga-c]
peers: ["127.0.0.1:9081"]
links: { address: "127.0.0.1:9080", credential: "0123456789abcdef" }
platform: { address: "127.0.0.1:7000" }
operators:
  credential_sha256: ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
resume_key: "fedcba9876543210"
callers:
  address: "127.0.0.1:8080"
  max_body_bytes: 65536
)";

} // namespace

class settings_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(settings_test);
  CPPUNIT_TEST(ReadsAWholeFile);
  CPPUNIT_TEST(ReportsEveryMistakeWithItsLine);
  CPPUNIT_TEST(ReportsBrokenYaml);
  CPPUNIT_TEST(LeaseTimesMustFitTogether);
  CPPUNIT_TEST_SUITE_END();

  static settings_problems Problems(const std::string& aText)
  {
    const auto result = ParseSettings(aText, "a.yaml");
    const auto* problems = std::get_if<settings_problems>(&result);
    return problems != nullptr ? *problems : settings_problems{};
  }

  /// Guards against values that are read but not kept.
  void ReadsAWholeFile()
  {
    const auto result = ParseSettings(kGood, "a.yaml");
    CPPUNIT_ASSERT(std::holds_alternative<daemon_settings>(result));
    const auto& settings = std::get<daemon_settings>(result);
    CPPUNIT_ASSERT_EQUAL(std::string{ "entry-1" }, settings.mNode.mSelf.mVm);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, settings.mNode.mDataCentres.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 65'536 }, settings.mCallers.mMaxBodyBytes);
    CPPUNIT_ASSERT_EQUAL(std::string{ "127.0.0.1:9081" }, settings.mNode.mMembership.mSeeds.at(0));
  }

  /// Guards against an operator who must start the daemon once for each mistake.
  void ReportsEveryMistakeWithItsLine()
  {
    const auto problems = Problems("vm: \"a b\"\nregion: x\nunknown: 1\n"
                                   "callers: { address: localhost, max_body_bytes: -1 }\n");
    std::string text;
    for (const auto& problem : problems) {
      text += problem.Text() + "\n";
    }
    for (const auto* expected : { "a.yaml:1: vm: expected a name",
                                  "a.yaml:3: unknown: expected a known key",
                                  "a.yaml:4: callers.address: expected ip:port",
                                  "a.yaml:4: callers.max_body_bytes: expected a whole number",
                                  "a.yaml: resume_key: expected a secret",
                                  "a.yaml: links.address: expected ip:port" }) {
      CPPUNIT_ASSERT_MESSAGE(std::string{ expected } + " not in\n" + text,
                             text.find(expected) != std::string::npos);
    }
  }

  /// Guards against an exception of the YAML library that ends the process.
  void ReportsBrokenYaml()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Problems("vm: [a\n").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Problems("- a list\n").size());
  }

  /// Guards against a holder that acts after its lease has ended.
  void LeaseTimesMustFitTogether()
  {
    const auto problems = Problems(kGood + "lease: { term_ms: 1000, stop_after_ms: 1000, "
                                           "renew_every_ms: 300 }\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "lease.stop_after_ms" }, problems.front().mKey);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace skylarkwind
