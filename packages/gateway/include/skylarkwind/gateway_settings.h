#pragma once

#include "skylarkwind/fleet_retry_budget.h"
#include "skylarkwind/log.h"
#include "skylarkwind/prompt_part.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// The settings of a daemon of a gateway deployment, as read from its settings file.
struct gateway_settings
{
  std::string mVm;
  std::string mDataCentre;
  std::string mCallerAddress;      ///< ip:port for callers
  std::string mReadyAddress;       ///< ip:port for the load balancer's readiness checks and metrics
  std::string mStoreAddress;       ///< ip:port of the platform's store
  std::string mPeerAddress;        ///< ip:port (UDP and TCP) that serves other daemons
  std::vector<std::string> mSeeds; ///< ip:port of daemons to contact at start-up; they may be down
  /// CPU share of the VM in thousandths of a core; the daemons with the largest share collect the
  /// reports of the others.
  std::uint32_t mCpuMillicores = 0;
  double mLinkMbitPerS = 100; ///< rate of the VM's link; bounds how many daemons this one serves
  std::chrono::milliseconds mConfigurationDeadline{ 2'000 }; ///< limit for a change to take effect
  /// Limit until a leaving server receives no new requests.
  std::chrono::milliseconds mDrainDeadline{ 2'000 };
  std::chrono::milliseconds mShutdownGrace{ 8'000 }; ///< from SIGTERM to SIGKILL
  /// Time from the first refused readiness check until the load balancer sends no new connections.
  /// It checks once a second and acts on the second refusal.
  std::chrono::milliseconds mBalancerReaction{ 2'600 };
  /// Minimum time between two holders of the command lease.
  std::chrono::milliseconds mLease{ 3'000 };
  std::string mPlatformApiAddress; ///< ip:port of the platform's API; empty when there is none
  double mPlatformCallsPerS = 0;   ///< calls of that API that all daemons together may make
  std::chrono::milliseconds mUsageWindow{}; ///< length of the windows of usage; 0 when not reported
  fleet_retry_budget_settings mRepeats;
  double mPrefillTokensPerMs = 50; ///< assumed for a prefill engine until measured
  double mPrefillShare = 0.5;      ///< share of a model service's engines that should prefill
  std::set<prompt_part> mQuarantineExempt; ///< parts of prompts that are never quarantined
  log_settings mLog;
  std::map<std::string, std::string> mRawValues; ///< values as written in the file, by key
};

/// The effect of re-reading the settings file in a running daemon.
struct settings_change
{
  std::vector<std::string> mTaken;        ///< keys that take effect now
  std::vector<std::string> mNeedsRestart; ///< keys whose old values stay in force
};

/// An error in a settings file.
struct gateway_settings_problem
{
  std::string mFile;
  int mLine = 0; ///< 0 when the error concerns the whole file
  std::string mKey;
  std::string mExpected;

  /// The message for the operator: file, line, key and the expected value.
  std::string Text() const;
};

using gateway_settings_problems = std::vector<gateway_settings_problem>;

/// A settings file that is re-read when it changes while the daemon runs.
class settings_file
{
public:
  explicit settings_file(std::string aPath);
  const std::string& Path() const { return mPath; }
  /// Whether the file has been modified since it was last read.
  bool Changed() const;
  /// Reads and checks the file.
  std::variant<gateway_settings, gateway_settings_problems> Read();

private:
  std::filesystem::file_time_type ModifiedAt() const;

  std::string mPath;
  std::filesystem::file_time_type mLastModifiedAt{};
};

/// Whether the text holds the settings of a gateway deployment rather than those of a daemon with
/// its own table.
bool HasGatewaySettings(std::string_view aText);

/// Applies to `aInForce` those settings of `aRead` that can change while the daemon runs. Returns
/// the changed keys; of those that need a restart, the old values stay in force.
settings_change ApplyChanges(const gateway_settings& aRead, gateway_settings& aInForce);

/// Parses and checks the text of a settings file. Returns all errors found, or the settings if
/// there are none, so that a daemon never starts with a faulty file.
std::variant<gateway_settings, gateway_settings_problems> ParseGatewaySettings(
  std::string_view aText,
  const std::string& aFile);

} // namespace skylarkwind
