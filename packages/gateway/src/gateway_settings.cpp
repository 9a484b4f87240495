#include "skylarkwind/gateway_settings.h"

#include "skylarkwind/net_address.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// How one key is checked and stored.
struct setting
{
  std::string mExpected; ///< description of a valid value, for error messages
  bool mRequired = false;
  std::function<bool(const std::string&, gateway_settings&)> mParse;
};

std::optional<double>
Number(const std::string& aText)
{
  double value = 0;
  const auto* last = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc{} || rest != last) {
    return std::nullopt;
  }
  return value;
}

setting
Text(std::string gateway_settings::*aMember)
{
  return { "a name", true, [aMember](const std::string& aText, gateway_settings& aInto) {
            aInto.*aMember = aText;
            return !aText.empty();
          } };
}

setting
Address(std::string gateway_settings::*aMember)
{
  return { "ip:port", true, [aMember](const std::string& aText, gateway_settings& aInto) {
            aInto.*aMember = aText;
            return IsIpPort(aText);
          } };
}

/// A number from 0 to `aMax`, which `aAssign` stores.
setting
Amount(std::string aExpected, double aMax, std::function<void(double, gateway_settings&)> aAssign)
{
  return { std::move(aExpected),
           false,
           [aMax, assign = std::move(aAssign)](const std::string& aText, gateway_settings& aInto) {
             const auto value = Number(aText);
             if (!value || *value < 0 || *value > aMax) {
               return false;
             }
             assign(*value, aInto);
             return true;
           } };
}

setting
Milliseconds(milliseconds gateway_settings::*aMember)
{
  constexpr double kMaxMilliseconds = 3'600'000;
  return Amount(
    "milliseconds", kMaxMilliseconds, [aMember](double aValue, gateway_settings& aInto) {
      aInto.*aMember = milliseconds{ static_cast<std::int64_t>(aValue) };
    });
}

/// A setting that may have an empty value, which leaves the default.
setting
OrEmpty(setting aSetting)
{
  aSetting.mRequired = false;
  aSetting.mExpected += ", or nothing";
  aSetting.mParse = [parse = std::move(aSetting.mParse)](const std::string& aText,
                                                         gateway_settings& aInto) {
    return aText.empty() || parse(aText, aInto);
  };
  return aSetting;
}

/// A duration in seconds, possibly fractional.
setting
Seconds(milliseconds gateway_settings::*aMember)
{
  constexpr double kMaxSeconds = 86'400;
  return Amount("seconds", kMaxSeconds, [aMember](double aValue, gateway_settings& aInto) {
    aInto.*aMember = milliseconds{ static_cast<std::int64_t>(aValue * 1'000) };
  });
}

const std::map<std::string, setting>&
Settings()
{
  constexpr double kMaxSeconds = 3'600;
  constexpr double kMaxRetries = 1e9;
  constexpr double kMaxTokensPerMs = 1e6;
  constexpr double kMaxCores = 1'024;
  constexpr double kMaxLinkMbitPerS = 1'000'000;
  static const std::map<std::string, setting> kSettings{
    { "vm", Text(&gateway_settings::mVm) },
    { "data_centre", Text(&gateway_settings::mDataCentre) },
    { "callers_address", Address(&gateway_settings::mCallerAddress) },
    { "ready_address", Address(&gateway_settings::mReadyAddress) },
    { "store_address", Address(&gateway_settings::mStoreAddress) },
    { "peer_address", Address(&gateway_settings::mPeerAddress) },
    { "configuration_within_ms", Milliseconds(&gateway_settings::mConfigurationDeadline) },
    { "drain_within_ms", Milliseconds(&gateway_settings::mDrainDeadline) },
    { "balancer_notices_ms", Milliseconds(&gateway_settings::mBalancerReaction) },
    { "lease_ms", Milliseconds(&gateway_settings::mLease) },
    { "platform_api_address", OrEmpty(Address(&gateway_settings::mPlatformApiAddress)) },
    { "platform_calls_per_s",
      OrEmpty(Amount(
        "calls per second",
        kMaxRetries,
        [](double aValue, gateway_settings& aInto) { aInto.mPlatformCallsPerS = aValue; })) },
    { "usage_window_s", OrEmpty(Seconds(&gateway_settings::mUsageWindow)) },
    { "shutdown_grace_s",
      Amount("seconds",
             kMaxSeconds,
             [](double aValue, gateway_settings& aInto) {
               aInto.mShutdownGrace = milliseconds{ static_cast<std::int64_t>(aValue * 1'000) };
             }) },
    { "repeat_ratio",
      Amount("a number from 0 to 1",
             1,
             [](double aValue, gateway_settings& aInto) { aInto.mRepeats.mRatio = aValue; }) },
    { "repeat_floor",
      Amount("a number of retries",
             kMaxRetries,
             [](double aValue, gateway_settings& aInto) {
               aInto.mRepeats.mFloor = static_cast<std::uint32_t>(aValue);
             }) },
    { "repeat_window_s",
      Amount("seconds",
             kMaxSeconds,
             [](double aValue, gateway_settings& aInto) {
               aInto.mRepeats.mWindow = milliseconds{ static_cast<std::int64_t>(aValue * 1'000) };
             }) },
    { "seeds",
      { "ip:port, separated by commas",
        false,
        [](const std::string& aText, gateway_settings& aInto) {
          std::istringstream list{ aText };
          for (std::string seed; std::getline(list, seed, ',');) {
            if (!IsIpPort(seed)) {
              return false;
            }
            aInto.mSeeds.push_back(seed);
          }
          return true;
        } } },
    { "quarantine_exempt",
      { "ids of parts of prompts, separated by commas",
        false,
        [](const std::string& aText, gateway_settings& aInto) {
          std::istringstream list{ aText };
          for (std::string id; std::getline(list, id, ',');) {
            if (id.empty() || id.find(' ') != std::string::npos) {
              return false;
            }
            aInto.mQuarantineExempt.insert(PromptPartOf(id));
          }
          return true;
        } } },
    { "processor_share",
      Amount("cores",
             kMaxCores,
             [](double aValue, gateway_settings& aInto) {
               aInto.mCpuMillicores = static_cast<std::uint32_t>(aValue * 1'000);
             }) },
    { "link_mbit_s",
      { "Mbit/s, or nothing if the rate is not known",
        false,
        [](const std::string& aText, gateway_settings& aInto) {
          const auto value = aText.empty() ? 0 : Number(aText);
          if (!value || *value < 0 || *value > kMaxLinkMbitPerS) {
            return false;
          }
          if (*value > 0) {
            aInto.mLinkMbitPerS = *value;
          }
          return true;
        } } },
    { "prefill_tokens_per_ms",
      Amount("tokens per ms",
             kMaxTokensPerMs,
             [](double aValue, gateway_settings& aInto) { aInto.mPrefillTokensPerMs = aValue; }) },
    { "prefill_share",
      Amount("a number from 0 to 1",
             1,
             [](double aValue, gateway_settings& aInto) { aInto.mPrefillShare = aValue; }) },
    { "log_level",
      { "debug, info, warning or error",
        false,
        [](const std::string& aText, gateway_settings& aInto) {
          static const std::map<std::string, log_level> kLevels{ { "debug", log_level::Debug },
                                                                 { "info", log_level::Info },
                                                                 { "warning", log_level::Warning },
                                                                 { "error", log_level::Error } };
          const auto found = kLevels.find(aText);
          if (found == kLevels.end()) {
            return false;
          }
          aInto.mLog.mLevel = found->second;
          return true;
        } } },
  };
  return kSettings;
}

constexpr const char* kSection = "gateway";

/// Settings that take effect in a running daemon; keep in step with ApplyChanges.
constexpr std::array<std::string_view, 8> kReloadable{
  "log_level",     "repeat_ratio",     "repeat_floor",        "repeat_window_s",
  "prefill_share", "shutdown_grace_s", "balancer_notices_ms", "quarantine_exempt",
};

YAML::Node
LoadYaml(std::string_view aText)
{
  try {
    return YAML::Load(std::string{ aText });
  } catch (const YAML::Exception&) {
    // An undefined node stands for malformed YAML; the caller reports it.
    return YAML::Node{ YAML::NodeType::Undefined };
  }
}

} // namespace

settings_change
ApplyChanges(const gateway_settings& aRead, gateway_settings& aInForce)
{
  settings_change change;
  for (const auto& [key, setting] : Settings()) {
    const auto text = [&key = key](const gateway_settings& aSettings) {
      const auto found = aSettings.mRawValues.find(key);
      return found == aSettings.mRawValues.end() ? std::string{} : found->second;
    };
    if (text(aRead) == text(aInForce)) {
      continue;
    }
    if (std::find(kReloadable.begin(), kReloadable.end(), key) == kReloadable.end()) {
      change.mNeedsRestart.push_back(key);
      continue;
    }
    change.mTaken.push_back(key);
    const auto value = aRead.mRawValues.find(key);
    if (value == aRead.mRawValues.end()) {
      aInForce.mRawValues.erase(key);
    } else {
      aInForce.mRawValues[key] = value->second;
    }
  }
  aInForce.mLog.mLevel = aRead.mLog.mLevel;
  aInForce.mRepeats = aRead.mRepeats;
  aInForce.mPrefillShare = aRead.mPrefillShare;
  aInForce.mShutdownGrace = aRead.mShutdownGrace;
  aInForce.mBalancerReaction = aRead.mBalancerReaction;
  aInForce.mQuarantineExempt = aRead.mQuarantineExempt;
  return change;
}

std::string
gateway_settings_problem::Text() const
{
  return mFile + ":" + std::to_string(mLine) + ": " + mKey + ": expected " + mExpected;
}

settings_file::settings_file(std::string aPath)
  : mPath(std::move(aPath))
  , mLastModifiedAt(ModifiedAt())
{
}

std::filesystem::file_time_type
settings_file::ModifiedAt() const
{
  std::error_code unreadable;
  const auto at = std::filesystem::last_write_time(mPath, unreadable);
  // A file that is briefly absent while it is being replaced counts as unchanged.
  return unreadable ? mLastModifiedAt : at;
}

bool
settings_file::Changed() const
{
  return ModifiedAt() != mLastModifiedAt;
}

std::variant<gateway_settings, gateway_settings_problems>
settings_file::Read()
{
  mLastModifiedAt = ModifiedAt();
  std::ostringstream text;
  text << std::ifstream{ mPath }.rdbuf();
  return ParseGatewaySettings(text.str(), mPath);
}

bool
HasGatewaySettings(std::string_view aText)
{
  const auto root = LoadYaml(aText);
  return root.IsMap() && root[kSection];
}

std::variant<gateway_settings, gateway_settings_problems>
ParseGatewaySettings(std::string_view aText, const std::string& aFile)
{
  gateway_settings read;
  gateway_settings_problems problems;
  const auto root = LoadYaml(aText);
  if (!root.IsMap() || !root[kSection] || !root[kSection].IsMap()) {
    problems.push_back({ aFile, 0, kSection, "a map of settings" });
    return problems;
  }
  std::set<std::string> seen;
  for (const auto& entry : root[kSection]) {
    const auto key = entry.first.Scalar();
    const auto line = entry.first.Mark().line + 1;
    const auto found = Settings().find(key);
    if (found == Settings().end()) {
      problems.push_back({ aFile, line, key, "a known setting" });
      continue;
    }
    seen.insert(key);
    read.mRawValues[key] = entry.second.IsScalar() ? entry.second.Scalar() : std::string{};
    if (!entry.second.IsScalar() || !found->second.mParse(entry.second.Scalar(), read)) {
      problems.push_back({ aFile, line, key, found->second.mExpected });
    }
  }
  for (const auto& [key, setting] : Settings()) {
    if (setting.mRequired && !seen.contains(key)) {
      problems.push_back({ aFile, 0, key, setting.mExpected });
    }
  }
  if (!problems.empty()) {
    return problems;
  }
  return read;
}

} // namespace skylarkwind
