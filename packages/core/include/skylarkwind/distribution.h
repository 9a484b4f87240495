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

/// A platform object that is replicated to the daemons.
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
  std::chrono::milliseconds mPeerTimeout{ 1'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Replicates documents from the platform to the daemons and keeps the newest version of each in
/// force. Versions only increase. The version of the table is its own serial, so that older data
/// of a restored platform is rejected; the version of a fleet object is its member "revision". A
/// few watchers in each data centre watch the platform and push new versions down a tree; every
/// daemon pulls from a peer whose probe shows a higher version.
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

  /// Returns the names of the documents replaced since the last call.
  virtual std::vector<std::string> TakeChanged() = 0;
  /// Whether the platform last returned an older version than the one in force.
  virtual bool IsPlatformStale(std::string_view aName) const = 0;
  /// Whether this daemon is currently a watcher of its data centre.
  virtual bool IsWatcher() const = 0;
  /// True while the most recent platform call has failed.
  virtual bool IsPlatformUnreachable() const = 0;

  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Handles replies whose call id has `part::Configuration`.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  /// Schedules a pull when a peer has a newer version.
  virtual void OnSeenDocument(const membership::seen_document& aSeen,
                              instant aNow,
                              effect_list& aOut) = 0;
  /// Handles `push_document` and `pull_document`; true when the message was one of these.
  virtual bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                     instant aNow,
                                     effect_list& aOut) = 0;
  /// Handles the end of a push or a pull; true when the call was issued by this object.
  virtual bool OnPeerResponse(const peer_response_received& aPeerResponse,
                              instant aNow,
                              effect_list& aOut) = 0;
  /// Puts a document in force that this daemon itself has just written to the platform, and pushes
  /// it.
  virtual void OnOwnWrite(std::string_view aName,
                          std::uint64_t aVersion,
                          std::string_view aValue,
                          instant aNow,
                          effect_list& aOut) = 0;
};

} // namespace skylarkwind
