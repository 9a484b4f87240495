#pragma once

#include "skylarkwind/log.h"
#include "skylarkwind/repeat_allowance.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Everything that a daemon of a gateway deployment reads from its settings file.
struct gateway_settings
{
  std::string mVm;
  std::string mDataCentre;
  std::string mCallerAddress;      ///< ip:port for callers
  std::string mReadyAddress;       ///< ip:port for the balancer's readiness checks and the metrics
  std::string mStoreAddress;       ///< ip:port of the platform's store
  std::string mPeerAddress;        ///< ip:port (UDP and TCP) for other daemons
  std::vector<std::string> mSeeds; ///< addresses of daemons that may run, as ip:port
  /// Processor share of the VM in thousandths of a core; strong VMs collect the reports of others.
  std::uint32_t mStrength = 0;
  std::chrono::milliseconds mConfigurationWithin{ 2'000 }; ///< bound for a change to be in force
  std::chrono::milliseconds mDrainWithin{ 2'000 };   ///< bound for no new work to a leaving server
  std::chrono::milliseconds mContact{ 3'000 };       ///< after it a VM counts as healthy again
  std::chrono::milliseconds mShutdownGrace{ 8'000 }; ///< from SIGTERM to SIGKILL
  /// From the first refused readiness check until the balancer sends no new connections. It asks
  /// once a second and acts on the second refusal.
  std::chrono::milliseconds mBalancerNotices{ 2'600 };
  std::chrono::milliseconds mLease{ 3'000 }; ///< least time between two order holders
  repeat_allowance_settings mRepeats;
  double mPrefillTokensPerMs = 50; ///< of a prefill engine, until measured
  double mPrefillShare = 0.5;      ///< part of a model service's engines that should prefill
  log_settings mLog;
  std::map<std::string, std::string> mTexts; ///< what the file says, by key
};

/// What a new reading of the settings changes in a running daemon.
struct settings_change
{
  std::vector<std::string> mTaken;        ///< keys that take effect now
  std::vector<std::string> mNeedsRestart; ///< keys whose old values stay in force
};

/// One mistake in a settings file.
struct gateway_settings_problem
{
  std::string mFile;
  int mLine = 0; ///< 0 when the whole file is meant
  std::string mKey;
  std::string mExpected;

  std::string Text() const;
};

using gateway_settings_problems = std::vector<gateway_settings_problem>;

/// A settings file that may change while the daemon runs.
class settings_file
{
public:
  explicit settings_file(std::string aPath);
  const std::string& Path() const { return mPath; }
  /// Whether it has been written since it was read last.
  bool Changed() const;
  std::variant<gateway_settings, gateway_settings_problems> Read();

private:
  std::filesystem::file_time_type WrittenAt() const;

  std::string mPath;
  std::filesystem::file_time_type mReadAt{};
};

/// True when the text has the settings of a gateway deployment rather than those of a daemon with
/// its own table.
bool HasGatewaySettings(std::string_view aText);

/// Takes over from `aRead` what can change while the daemon runs.
settings_change TakeChanges(const gateway_settings& aRead, gateway_settings& aInForce);

/// Reads and checks a whole file; nothing is started when there is a mistake.
std::variant<gateway_settings, gateway_settings_problems> ParseGatewaySettings(
  std::string_view aText,
  const std::string& aFile);

} // namespace skylarkwind
