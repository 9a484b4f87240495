#pragma once

#include <chrono>
#include <string_view>

namespace skylarkwind {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error
};

enum class log_format
{
  Plain,
  JsonLines
};

enum class log_output
{
  StandardError,
  /// Lines that the reader does not take at once wait in a queue. Those that exceed it or a rate
  /// are dropped and counted, so that logging never holds up the program. Warnings, errors and the
  /// lines of the part `daemon` have a reserve of both.
  StandardOutputBounded
};

struct log_settings
{
  log_level mLevel = log_level::Info;
  log_format mFormat = log_format::Plain;
  log_output mOutput = log_output::StandardError;
};

/// Starts the log. Call once at start.
void StartLog(const log_settings& aSettings);

/// Changes the least level that is logged.
void SetLogLevel(log_level aLevel);

/// Writes one short sentence under the fixed prefix of the part that speaks, for example
/// Log(log_level::Info, "lease", "acquired ga-a with fencing number 4").
void Log(log_level aLevel, std::string_view aPrefix, std::string_view aText);

/// Writes the lines that wait for the reader, as far as it takes them within the limit.
void FlushLog(std::chrono::milliseconds aLimit);

} // namespace skylarkwind
