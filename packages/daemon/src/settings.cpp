#include "skylarkwind/settings.h"

#include "skylarkwind/net_address.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace skylarkwind {

namespace {

constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kSha256HexLength = 64;

/// Reads one node into the settings; false when the value is not what is expected.
using reader = std::function<bool(const YAML::Node&, daemon_settings&)>;

struct setting
{
  setting_description mDescription;
  reader mRead;
};

std::optional<std::string>
Scalar(const YAML::Node& aNode)
{
  if (!aNode.IsScalar() || aNode.Scalar().empty()) {
    return std::nullopt;
  }
  return aNode.Scalar();
}

std::optional<std::uint64_t>
Number(const YAML::Node& aNode, std::uint64_t aLeast, std::uint64_t aMost)
{
  const auto text = Scalar(aNode);
  std::uint64_t value = 0;
  if (!text) {
    return std::nullopt;
  }
  const auto* const end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc{} || rest != end || value < aLeast || value > aMost) {
    return std::nullopt;
  }
  return value;
}

/// The member that a setting is read into.
template<class value>
using member = std::function<value&(daemon_settings&)>;

reader
ReadText(const member<std::string>& aInto, const std::function<bool(const std::string&)>& aGood)
{
  return [aInto, aGood](const YAML::Node& aNode, daemon_settings& aSettings) {
    const auto text = Scalar(aNode);
    const bool good = text && aGood(*text);
    if (good) {
      aInto(aSettings) = *text;
    }
    return good;
  };
}

reader
ReadName(const member<std::string>& aInto)
{
  return ReadText(aInto, [](const std::string& aText) {
    return aText.find_first_of(" /\"\\\t\n") == std::string::npos && aText.size() <= 64;
  });
}

reader
ReadAddress(const member<std::string>& aInto)
{
  return ReadText(aInto, IsIpPort);
}

reader
ReadList(const member<std::vector<std::string>>& aInto,
         const std::function<bool(const std::string&)>& aGood)
{
  return [aInto, aGood](const YAML::Node& aNode, daemon_settings& aSettings) {
    if (!aNode.IsSequence()) {
      return false;
    }
    std::vector<std::string> values;
    for (const auto& item : aNode) {
      const auto text = Scalar(item);
      if (!text || !aGood(*text)) {
        return false;
      }
      values.push_back(*text);
    }
    aInto(aSettings) = std::move(values);
    return true;
  };
}

reader
ReadSecret(const member<std::string>& aInto)
{
  return ReadText(aInto, [](const std::string& aText) { return aText.size() >= kMinSecretLength; });
}

reader
ReadSha256(const member<std::string>& aInto)
{
  return ReadText(aInto, [](const std::string& aText) {
    return aText.size() == kSha256HexLength &&
           aText.find_first_not_of("0123456789abcdef") == std::string::npos;
  });
}

reader
ReadNumber(const member<std::uint64_t>& aInto, std::uint64_t aLeast, std::uint64_t aMost)
{
  return [aInto, aLeast, aMost](const YAML::Node& aNode, daemon_settings& aSettings) {
    const auto value = Number(aNode, aLeast, aMost);
    if (value) {
      aInto(aSettings) = *value;
    }
    return value.has_value();
  };
}

reader
ReadMilliseconds(const member<std::chrono::milliseconds>& aInto,
                 std::uint64_t aLeast,
                 std::uint64_t aMost)
{
  return [aInto, aLeast, aMost](const YAML::Node& aNode, daemon_settings& aSettings) {
    const auto value = Number(aNode, aLeast, aMost);
    if (value) {
      aInto(aSettings) = std::chrono::milliseconds{ *value };
    }
    return value.has_value();
  };
}

template<class value>
reader
ReadChoice(const member<value>& aInto, std::vector<std::pair<std::string, value>> aChoices)
{
  return [aInto, aChoices](const YAML::Node& aNode, daemon_settings& aSettings) {
    const auto text = Scalar(aNode);
    for (const auto& [name, choice] : aChoices) {
      if (text == name) {
        aInto(aSettings) = choice;
        return true;
      }
    }
    return false;
  };
}

std::string
Between(std::uint64_t aLeast, std::uint64_t aMost, std::string_view aUnit)
{
  return "a whole number from " + std::to_string(aLeast) + " to " + std::to_string(aMost) + " (" +
         std::string{ aUnit } + ")";
}

setting
Milliseconds(std::string aKey,
             std::string aHelp,
             std::uint64_t aLeast,
             std::uint64_t aMost,
             const member<std::chrono::milliseconds>& aInto)
{
  return { { std::move(aKey), Between(aLeast, aMost, "ms"), std::move(aHelp), false },
           ReadMilliseconds(aInto, aLeast, aMost) };
}

setting
Count(std::string aKey,
      std::string aHelp,
      std::string_view aUnit,
      std::uint64_t aLeast,
      std::uint64_t aMost,
      const member<std::uint64_t>& aInto)
{
  return { { std::move(aKey), Between(aLeast, aMost, aUnit), std::move(aHelp), false },
           ReadNumber(aInto, aLeast, aMost) };
}

const std::string kNameText = "a name without spaces or slashes, at most 64 characters";
const std::string kAddressText = "ip:port, for example 127.0.0.1:8080";
const std::string kSecretText = "a secret of at least 16 characters";

void
AddIdentity(std::vector<setting>& aOut)
{
  aOut.push_back({ { "vm", kNameText, "Name of this VM, as in the platform's VM list.", true },
                   ReadName([](auto& aIn) -> auto& { return aIn.mNode.mSelf.mVm; }) });
  aOut.push_back({ { "region", kNameText, "Region of this VM.", true },
                   ReadName([](auto& aIn) -> auto& { return aIn.mNode.mLocation.mRegion; }) });
  aOut.push_back({ { "data_centre", kNameText, "Data centre of this VM.", true },
                   ReadName([](auto& aIn) -> auto& { return aIn.mNode.mLocation.mDataCentre; }) });
  aOut.push_back(
    { { "data_centres", "a list of names", "Data centres of the region, this one included.", true },
      ReadList(
        [](auto& aIn) -> auto& { return aIn.mNode.mDataCentres; },
        [](const std::string& aText) { return aText.find('/') == std::string::npos; }) });
  aOut.push_back(
    { { "peers", "a list of ip:port", "Addresses of other daemons, to join at the start.", false },
      ReadList(
        [](auto& aIn) -> auto& { return aIn.mNode.mMembership.mSeeds; }, IsIpPort) });
  aOut.push_back(
    { { "links.address", kAddressText, "Where this daemon listens for other daemons.", true },
      ReadAddress([](auto& aIn) -> auto& { return aIn.mLinkAddress; }) });
  aOut.push_back(
    { { "links.advertise",
        kAddressText,
        "Address at which other daemons reach this one, if it differs from links.address.",
        false },
      ReadAddress([](auto& aIn) -> auto& { return aIn.mNode.mLocation.mAddress; }) });
  aOut.push_back({ { "links.credential",
                     kSecretText,
                     "Shared by all daemons; calls without it are refused.",
                     true },
                   ReadSecret([](auto& aIn) -> auto& { return aIn.mPeerCredential; }) });
  aOut.push_back({ { "platform.address", kAddressText, "The platform's object API.", true },
                   ReadAddress([](auto& aIn) -> auto& { return aIn.mPlatformAddress; }) });
  aOut.push_back(
    { { "platform.credential", kSecretText, "Sent to the platform as bearer token.", false },
      ReadSecret([](auto& aIn) -> auto& { return aIn.mPlatformCredential; }) });
  aOut.push_back({ { "operators.credential_sha256",
                     "64 lower-case hexadecimal digits",
                     "SHA-256 of the credential that operators' commands carry.",
                     true },
                   ReadSha256([](auto& aIn) -> auto& { return aIn.mOperatorCredentialSha256; }) });
  aOut.push_back(
    { { "resume_key", kSecretText, "Signs resume tokens; the same in all daemons.", true },
      ReadSecret([](auto& aIn) -> auto& { return aIn.mNode.mServing.mResumeKey; }) });
}

void
AddCallers(std::vector<setting>& aOut)
{
  aOut.push_back(
    { { "callers.address", kAddressText, "Where this daemon listens for callers.", true },
      ReadAddress([](auto& aIn) -> auto& { return aIn.mCallers.mAddress; }) });
  aOut.push_back(Count(
    "callers.max_body_bytes", "Largest body of a request.", "bytes", 1'024, 64 * 1'024 * 1'024, [
    ](auto& aIn) -> auto& { return aIn.mCallers.mMaxBodyBytes; }));
  aOut.push_back(Count(
    "callers.max_header_bytes", "Largest header of a request.", "bytes", 1'024, 1'024 * 1'024, [
    ](auto& aIn) -> auto& { return aIn.mCallers.mMaxHeaderBytes; }));
  aOut.push_back(Count(
    "callers.max_open_requests",
    "Requests open at once; more are refused.",
    "requests",
    1,
    100'000,
    [](auto& aIn) -> auto& { return aIn.mCallers.mMaxOpenRequests; }));
  aOut.push_back(Count(
    "callers.max_pending_bytes",
    "Unsent output of one caller before its connection is closed.",
    "bytes",
    4'096,
    64 * 1'024 * 1'024,
    [](auto& aIn) -> auto& { return aIn.mCallers.mMaxPendingBytes; }));
  aOut.push_back(Milliseconds(
    "callers.header_time_limit_ms", "Time for a request to arrive whole.", 100, 600'000, [
    ](auto& aIn) -> auto& { return aIn.mCallers.mHeaderTimeLimit; }));
  aOut.push_back(Milliseconds(
    "callers.idle_time_limit_ms",
    "Time after which an idle connection is closed.",
    100,
    3'600'000,
    [](auto& aIn) -> auto& { return aIn.mCallers.mIdleTimeLimit; }));
  aOut.push_back(Milliseconds(
    "callers.stalled_write_limit_ms",
    "Time without progress of a write before the connection is closed.",
    100,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mCallers.mStalledWriteLimit; }));
}

void
AddTiming(std::vector<setting>& aOut)
{
  aOut.push_back(Milliseconds(
    "serving.default_time_limit_ms", "Time limit of a request that names none.", 100, 3'600'000, [
    ](auto& aIn) -> auto& { return aIn.mNode.mServing.mDefaultTimeLimit; }));
  aOut.push_back(Milliseconds(
    "serving.first_progress_limit_ms",
    "Time until the first byte of a backend server's answer.",
    50,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mServing.mFirstProgressLimit; }));
  aOut.push_back(Milliseconds(
    "serving.progress_limit_ms",
    "Time between two parts of a backend server's answer.",
    50,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mServing.mProgressLimit; }));
  aOut.push_back(Milliseconds(
    "membership.probe_period_ms", "Time between two probes of other daemons.", 20, 60'000, [
    ](auto& aIn) -> auto& { return aIn.mNode.mMembership.mProbePeriod; }));
  aOut.push_back(Milliseconds(
    "membership.probe_time_limit_ms",
    "Time limit of one probe; a period must hold three.",
    5,
    20'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mMembership.mProbeTimeout; }));
  aOut.push_back(Milliseconds(
    "membership.suspicion_ms",
    "Time between the suspicion and the death of a member.",
    100,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mMembership.mSuspicionTimeout; }));
  aOut.push_back(Milliseconds(
    "lease.term_ms", "Term of the lease over a data centre's engines.", 500, 600'000, [
    ](auto& aIn) -> auto& { return aIn.mNode.mControl.mLeaseTerm; }));
  aOut.push_back(Milliseconds(
    "lease.renew_every_ms", "Time between renewals of the lease.", 100, 600'000, [
    ](auto& aIn) -> auto& { return aIn.mNode.mControl.mLeaseRenewEvery; }));
  aOut.push_back(Milliseconds(
    "lease.stop_after_ms",
    "Time after which a holder that could not renew stops acting.",
    100,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mControl.mLeaseStopAfter; }));
  aOut.push_back(Milliseconds(
    "lease.order_expiry_ms",
    "Time after which an engine drops an order that it receives late.",
    100,
    600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mControl.mOrderExpiry; }));
  aOut.push_back(Milliseconds(
    "lease.drain_limit_ms",
    "Time for an engine to drain before its change is withdrawn.",
    1'000,
    3'600'000,
    [](auto& aIn) -> auto& { return aIn.mNode.mControl.mDrainLimit; }));
  aOut.push_back(Milliseconds(
    "shutdown_limit_ms", "Longest graceful shutdown.", 1'000, 3'600'000, [](auto& aIn) -> auto& {
      return aIn.mShutdownLimit;
    }));
}

void
AddLog(std::vector<setting>& aOut)
{
  aOut.push_back(
    { { "log.level", "debug, info, warning or error", "Least level that is written.", false },
      ReadChoice<log_level>([](auto& aIn) -> auto& { return aIn.mLog.mLevel; },
                            { { "debug", log_level::Debug },
                              { "info", log_level::Info },
                              { "warning", log_level::Warning },
                              { "error", log_level::Error } }) });
  aOut.push_back({ { "log.format", "plain or json", "Form of the log lines.", false },
                   ReadChoice<log_format>(
                     [](auto& aIn) -> auto& { return aIn.mLog.mFormat; },
                     { { "plain", log_format::Plain }, { "json", log_format::JsonLines } }) });
}

const std::vector<setting>&
AllSettings()
{
  static const auto kSettings = [] {
    std::vector<setting> settings;
    AddIdentity(settings);
    AddCallers(settings);
    AddTiming(settings);
    AddLog(settings);
    return settings;
  }();
  return kSettings;
}

/// Collects the mistakes of one file.
class checker
{
public:
  explicit checker(std::string aFile)
    : mFile{ std::move(aFile) }
  {
  }

  void Add(int aLine, std::string aKey, std::string aExpected)
  {
    mProblems.push_back({ mFile, aLine, std::move(aKey), std::move(aExpected) });
  }

  void CheckMap(const YAML::Node& aMap, const std::string& aPrefix, daemon_settings& aSettings)
  {
    std::set<std::string> seen;
    for (const auto& entry : aMap) {
      const auto key = aPrefix + entry.first.as<std::string>("");
      if (!seen.insert(key).second) {
        Add(entry.first.Mark().line + 1, key, "each key once");
        continue;
      }
      CheckEntry(key, entry.first, entry.second, aSettings);
    }
  }

  void CheckRequired()
  {
    for (const auto& known : AllSettings()) {
      if (known.mDescription.mRequired && !mRead.contains(known.mDescription.mKey)) {
        Add(0, known.mDescription.mKey, known.mDescription.mExpected + " (the key is missing)");
      }
    }
  }

  /// Rules between settings.
  void CheckTogether(const daemon_settings& aSettings)
  {
    const auto& node = aSettings.mNode;
    if (mRead.contains("data_centre") && mRead.contains("data_centres") &&
        std::find(node.mDataCentres.begin(), node.mDataCentres.end(), node.mLocation.mDataCentre) ==
          node.mDataCentres.end()) {
      Add(mRead["data_centres"], "data_centres", "a list that contains data_centre");
    }
    const auto& members = node.mMembership;
    if (members.mProbePeriod < 3 * members.mProbeTimeout) {
      Add(mRead["membership.probe_period_ms"],
          "membership.probe_period_ms",
          "at least three times membership.probe_time_limit_ms");
    }
    const auto& lease = node.mControl;
    if (lease.mLeaseRenewEvery >= lease.mLeaseStopAfter) {
      Add(mRead["lease.renew_every_ms"], "lease.renew_every_ms", "less than lease.stop_after_ms");
    }
    if (lease.mLeaseStopAfter >= lease.mLeaseTerm) {
      Add(mRead["lease.stop_after_ms"], "lease.stop_after_ms", "less than lease.term_ms");
    }
  }

  settings_problems Take() { return std::move(mProblems); }

private:
  void CheckEntry(const std::string& aKey,
                  const YAML::Node& aKeyNode,
                  const YAML::Node& aValue,
                  daemon_settings& aSettings)
  {
    const int line = aKeyNode.Mark().line + 1;
    for (const auto& known : AllSettings()) {
      if (known.mDescription.mKey == aKey) {
        mRead[aKey] = line;
        if (!known.mRead(aValue, aSettings)) {
          Add(line, aKey, known.mDescription.mExpected);
        }
        return;
      }
    }
    const auto isSection = [&](const setting& aKnown) {
      return aKnown.mDescription.mKey.starts_with(aKey + ".");
    };
    if (!std::any_of(AllSettings().begin(), AllSettings().end(), isSection)) {
      Add(line, aKey, "a known key (see docs/OPERATIONS.md)");
    } else if (!aValue.IsMap()) {
      Add(line, aKey, "a map of keys");
    } else {
      CheckMap(aValue, aKey + ".", aSettings);
    }
  }

  std::string mFile;
  settings_problems mProblems;
  std::map<std::string, int> mRead;
};

} // namespace

std::string
settings_problem::Text() const
{
  std::string text = mFile;
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  return text + ": " + (mKey.empty() ? "" : mKey + ": ") + "expected " + mExpected;
}

std::variant<daemon_settings, settings_problems>
LoadSettings(const std::string& aFile)
{
  std::ifstream in{ aFile };
  if (!in) {
    return settings_problems{ { aFile, 0, "", "a readable file" } };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), aFile);
}

std::variant<daemon_settings, settings_problems>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  YAML::Node root;
  try {
    root = YAML::Load(std::string{ aText });
  } catch (const YAML::Exception& error) {
    return settings_problems{ { aFile, error.mark.line + 1, "", "YAML (" + error.msg + ")" } };
  }
  checker check{ aFile };
  daemon_settings settings;
  if (!root.IsMap()) {
    check.Add(1, "", "a map of keys");
    return check.Take();
  }
  check.CheckMap(root, "", settings);
  check.CheckRequired();
  check.CheckTogether(settings);
  auto problems = check.Take();
  if (!problems.empty()) {
    return problems;
  }
  if (settings.mNode.mLocation.mAddress.empty()) {
    settings.mNode.mLocation.mAddress = settings.mLinkAddress;
  }
  return settings;
}

std::vector<setting_description>
DescribeSettings()
{
  std::vector<setting_description> descriptions;
  for (const auto& known : AllSettings()) {
    descriptions.push_back(known.mDescription);
  }
  return descriptions;
}

} // namespace skylarkwind
