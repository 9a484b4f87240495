#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/membership.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// A document of the platform that all daemons keep a copy of.
struct distributed_document
{
  std::string mName; ///< "table" or "fleet/<data centre>"
  object_key mKey;
};

struct distribution_settings
{
  std::vector<distributed_document> mDocuments;
  std::uint32_t mWatchersPerDataCentre = 2;
  std::uint32_t mFanOut = 4;
  std::chrono::milliseconds mWatchWait{ 30'000 };
  std::chrono::milliseconds mPeerTimeLimit{ 1'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Keeps the newest version of each document in force. A version never falls: the table counts
/// by its own serial, so that a platform restored from older data is refused; a fleet object
/// counts by its member "revision". A few watchers in each data centre watch the platform and
/// push along a tree; everyone pulls from a peer whose probe shows a higher version.
class distribution
{
public:
  static absl::StatusOr<std::unique_ptr<distribution>> Create(distribution_settings aSettings,
                                                              const membership& aMembers);
  virtual ~distribution() = default;

  struct document
  {
    std::uint64_t mVersion = 0; ///< serial or revision
    std::string mValue;         ///< JSON text
    instant mInForceSince;
  };
  /// The version in force; empty before the first one is known.
  virtual const document* Current(std::string_view aName) const = 0;
  virtual std::vector<document_version> Versions() const = 0;

  /// Names of documents replaced since the last call.
  virtual std::vector<std::string> TakeChanged() = 0;
  /// Whether the platform returned an older version than the one in force.
  virtual bool PlatformIsBehind(std::string_view aName) const = 0;
  /// Whether this daemon watches the platform now.
  virtual bool IsWatcher() const = 0;
  /// True as long as the newest platform call failed.
  virtual bool PlatformAway() const = 0;

  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Replies with part::Configuration.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  virtual void OnSeenDocument(const membership::seen_document& aSeen,
                              instant aNow,
                              effect_list& aOut) = 0;
  /// Handles `push_document` and `pull_document`; true when the message was one of these.
  virtual bool OnPeerAsked(const peer_asked& aAsked, instant aNow, effect_list& aOut) = 0;
  virtual bool OnPeerAnswered(const peer_answered& aAnswered, instant aNow, effect_list& aOut) = 0;
  /// A document that this daemon itself has just written to the platform.
  virtual void OnWritten(std::string_view aName,
                         std::uint64_t aVersion,
                         std::string_view aValue,
                         instant aNow,
                         effect_list& aOut) = 0;
};

} // namespace skylarkwind
