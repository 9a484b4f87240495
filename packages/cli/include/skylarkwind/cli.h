#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Where the client finds the platform and a daemon, and who asks.
struct cli_settings
{
  std::string mPlatform;           ///< ip:port of the platform's object API
  std::string mPlatformCredential; ///< bearer token for the platform; may be empty
  std::string mDaemon;             ///< ip:port where a daemon listens for callers
  std::string mCredential;         ///< the operators' credential
  std::string mWho;                ///< recorded with each edit
  std::string mWhy;                ///< recorded with each edit
  bool mJson = false;
  bool mFromDaemon = false; ///< `table show` asks the daemon instead of the platform
};

/// Exit codes of the client.
enum class cli_exit : int
{
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3 ///< someone else's edit came first
};

/// Runs one command, for example {"table", "apply", "table.json"}.
cli_exit RunCommand(const cli_settings& aSettings,
                    std::span<const std::string> aCommand,
                    std::ostream& aOut,
                    std::ostream& aErr);

} // namespace skylarkwind
