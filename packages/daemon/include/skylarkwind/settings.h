#pragma once

#include "skylarkwind/log.h"
#include "skylarkwind/node.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Limits of the HTTP listener towards callers.
struct caller_settings
{
  std::string mAddress; ///< ip:port
  std::uint64_t mMaxBodyBytes = 4 * 1'024 * 1'024;
  std::uint64_t mMaxHeaderBytes = 32 * 1'024;
  std::uint64_t mMaxOpenRequests = 1'000;
  std::uint64_t mMaxPendingBytes = 1'024 * 1'024;
  std::chrono::milliseconds mHeaderTimeLimit{ 10'000 };
  std::chrono::milliseconds mIdleTimeLimit{ 60'000 };
  std::chrono::milliseconds mStalledWriteLimit{ 20'000 };
};

/// Everything that a daemon reads from its settings file.
struct daemon_settings
{
  node_settings mNode;
  log_settings mLog;
  caller_settings mCallers;
  std::string mPlatformAddress;
  std::string mPlatformCredential;
  std::string mLinkAddress; ///< ip:port where this daemon listens for other daemons
  std::string mPeerCredential;
  std::string mOperatorCredentialSha256;
  std::chrono::milliseconds mShutdownLimit{ 300'000 };
};

/// One mistake in a settings file.
struct settings_problem
{
  std::string mFile;
  int mLine = 0; ///< 0 when the whole file is meant
  std::string mKey;
  std::string mExpected;

  /// For example "a.yaml:3: callers.address: expected ip:port".
  std::string Text() const;
};

using settings_problems = std::vector<settings_problem>;

/// Reads and checks a whole file; nothing is started when there is a mistake.
std::variant<daemon_settings, settings_problems> LoadSettings(const std::string& aFile);
std::variant<daemon_settings, settings_problems> ParseSettings(std::string_view aText,
                                                               const std::string& aFile);

/// One key of the settings file, for the reference in docs/OPERATIONS.md.
struct setting_description
{
  std::string mKey;
  std::string mExpected;
  std::string mHelp;
  bool mRequired = false;
};

std::vector<setting_description> DescribeSettings();

} // namespace skylarkwind
