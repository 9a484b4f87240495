#include "skylarkwind/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;

class gateway_settings_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_settings_test);
  CPPUNIT_TEST(ValidFileIsParsed);
  CPPUNIT_TEST(EachErrorIsReportedWithItsLine);
  CPPUNIT_TEST(MissingSettingsAreReported);
  CPPUNIT_TEST(OtherSettingsFilesAreRecognised);
  CPPUNIT_TEST(ChangesAreAppliedOrNeedRestart);
  CPPUNIT_TEST(ExemptPartsAreAppliedWhileRunning);
  CPPUNIT_TEST(UnknownLinkRateKeepsDefault);
  CPPUNIT_TEST(EmptyPlatformSettingsTurnTheFeaturesOff);
  CPPUNIT_TEST(PlatformSettingsAreParsed);
  CPPUNIT_TEST_SUITE_END();

  static std::string ValidSettings()
  {
    return "gateway:\n  vm: e1\n  data_centre: ga-a\n  callers_address: 10.0.0.1:1\n"
           "  ready_address: 10.0.0.1:2\n  store_address: 10.0.0.2:3\n"
           "  peer_address: 10.0.0.1:4\n  repeat_ratio: 0.2\n  shutdown_grace_s: 8\n"
           "  lease_ms: 3000\n  log_level: debug\n";
  }
  static gateway_settings_problems ParseProblems(const std::string& aText)
  {
    const auto parsed = ParseGatewaySettings(aText, "f.yaml");
    const auto* problems = std::get_if<gateway_settings_problems>(&parsed);
    return problems == nullptr ? gateway_settings_problems{} : *problems;
  }

  /// Guards against a daemon that does not start where the platform fills in nothing.
  void EmptyPlatformSettingsTurnTheFeaturesOff()
  {
    const auto parsed = ParseGatewaySettings(ValidSettings() + "  platform_api_address: \"\"\n"
                                                               "  platform_calls_per_s: \"\"\n"
                                                               "  usage_window_s: \"\"\n",
                                             "f.yaml");
    const auto* settings = std::get_if<gateway_settings>(&parsed);
    CPPUNIT_ASSERT(settings != nullptr);
    CPPUNIT_ASSERT(settings->mPlatformApiAddress.empty());
    CPPUNIT_ASSERT(settings->mUsageWindow == milliseconds{ 0 });
  }

  void PlatformSettingsAreParsed()
  {
    const auto parsed =
      ParseGatewaySettings(ValidSettings() + "  platform_api_address: 10.0.0.3:5\n"
                                             "  platform_calls_per_s: 50.0\n"
                                             "  usage_window_s: 2.5\n",
                           "f.yaml");
    const auto* settings = std::get_if<gateway_settings>(&parsed);
    CPPUNIT_ASSERT(settings != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string{ "10.0.0.3:5" }, settings->mPlatformApiAddress);
    CPPUNIT_ASSERT_EQUAL(50.0, settings->mPlatformCallsPerS);
    CPPUNIT_ASSERT(settings->mUsageWindow == milliseconds{ 2'500 });
    const auto problems =
      ParseProblems(ValidSettings() + "  platform_api_address: somewhere\n  usage_window_s: x\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, problems.size());
    CPPUNIT_ASSERT(problems.front().Text().find("or nothing") != std::string::npos);
  }

  void ValidFileIsParsed()
  {
    const auto parsed = ParseGatewaySettings(ValidSettings(), "f.yaml");
    const auto* settings = std::get_if<gateway_settings>(&parsed);
    CPPUNIT_ASSERT(settings != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string{ "10.0.0.2:3" }, settings->mStoreAddress);
    CPPUNIT_ASSERT(settings->mShutdownGrace == milliseconds{ 8'000 });
    CPPUNIT_ASSERT_EQUAL(0.2, settings->mRepeats.mRatio);
    CPPUNIT_ASSERT(settings->mLog.mLevel == log_level::Debug);
  }

  void EachErrorIsReportedWithItsLine()
  {
    auto text = ValidSettings();
    text += "  repeat_floor: -3\n  unknown: 1\n  prefill_share: 2\n";
    const auto problems = ParseProblems(text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "f.yaml:12: repeat_floor: expected a number of retries" },
                         problems[0].Text());
    CPPUNIT_ASSERT_EQUAL(std::string{ "unknown" }, problems[1].mKey);
    CPPUNIT_ASSERT_EQUAL(14, problems[2].mLine);
  }

  void MissingSettingsAreReported()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, ParseProblems("gateway: {}\n").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ParseProblems("gateway: 7\n").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ParseProblems("a: [\n").size());
  }

  void ChangesAreAppliedOrNeedRestart()
  {
    const auto read = [](const std::string& aText) {
      return std::get<gateway_settings>(ParseGatewaySettings(aText, "f.yaml"));
    };
    auto inForce = read(ValidSettings() + "  prefill_tokens_per_ms: 50\n  repeat_floor: 3\n");
    const auto next = read(ValidSettings() + "  prefill_tokens_per_ms: 60\n  repeat_floor: 4\n");
    const auto change = ApplyChanges(next, inForce);
    CPPUNIT_ASSERT(change.mTaken == std::vector<std::string>{ "repeat_floor" });
    CPPUNIT_ASSERT(change.mNeedsRestart == std::vector<std::string>{ "prefill_tokens_per_ms" });
    CPPUNIT_ASSERT_EQUAL(4U, inForce.mRepeats.mFloor);
    CPPUNIT_ASSERT_EQUAL(50.0, inForce.mPrefillTokensPerMs);
    // A key that has been removed from the file reverts to its default.
    CPPUNIT_ASSERT(ApplyChanges(read(ValidSettings()), inForce).mTaken ==
                   std::vector<std::string>{ "repeat_floor" });
    CPPUNIT_ASSERT_EQUAL(0U, inForce.mRepeats.mFloor);
  }

  void ExemptPartsAreAppliedWhileRunning()
  {
    const auto read = [](const std::string& aText) { return ParseGatewaySettings(aText, "file"); };
    auto inForce = std::get<gateway_settings>(read(ValidSettings()));
    CPPUNIT_ASSERT(inForce.mQuarantineExempt.empty());
    const auto next = read(ValidSettings() + "  quarantine_exempt: \"bad,5c\"\n");
    CPPUNIT_ASSERT(ApplyChanges(std::get<gateway_settings>(next), inForce).mTaken ==
                   std::vector<std::string>{ "quarantine_exempt" });
    CPPUNIT_ASSERT((std::set<prompt_part>{ 0xbad, 0x5c }) == inForce.mQuarantineExempt);
    CPPUNIT_ASSERT(std::holds_alternative<gateway_settings_problems>(
      read(ValidSettings() + "  quarantine_exempt: \"bad, 5c\"\n")));
  }

  /// Guards against a daemon that does not start where the platform does not state the link's rate.
  void UnknownLinkRateKeepsDefault()
  {
    const auto rate = [](const std::string& aText) {
      return std::get<gateway_settings>(
               ParseGatewaySettings(ValidSettings() + "  link_mbit_s: " + aText + "\n", "f.yaml"))
        .mLinkMbitPerS;
    };
    CPPUNIT_ASSERT_EQUAL(10.0, rate("10.0"));
    CPPUNIT_ASSERT_EQUAL(200.0, rate("\"200\""));
    for (const char* unknown : { "\"\"", "0" }) {
      CPPUNIT_ASSERT_EQUAL(gateway_settings{}.mLinkMbitPerS, rate(unknown));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         ParseProblems(ValidSettings() + "  link_mbit_s: fast\n").size());
  }

  void OtherSettingsFilesAreRecognised()
  {
    CPPUNIT_ASSERT(HasGatewaySettings(ValidSettings()));
    CPPUNIT_ASSERT(!HasGatewaySettings("callers:\n  address: 127.0.0.1:1\n"));
    CPPUNIT_ASSERT(!HasGatewaySettings("a: ["));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

} // namespace skylarkwind
