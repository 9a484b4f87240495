#pragma once

#include "skylarkwind/distribution.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Marks the peer call ids that distribution issues.
inline constexpr std::uint64_t kDistributionCallTag = std::uint64_t{ 1 } << 61;

/// Replication state of one document at this daemon.
struct document_state
{
  distributed_document mDocument;
  /// The data centre that a fleet object belongs to; empty for the table.
  std::string mDataCentre;
  std::optional<distribution::document> mCurrent;

  // Calls to the platform.
  std::uint64_t mObjectVersion = 0; ///< the platform's object version, as last read
  std::uint64_t mPendingCall = 0;   ///< number of the pending call, 0 when none
  instant mCallExpiresAt;
  instant mNextCallAt;
  bool mReadNext = true;        ///< read instead of watch, for example at start and after failures
  std::uint32_t mFailures = 0;  ///< consecutive
  std::uint32_t mUnchanged = 0; ///< consecutive watches without a change
  bool mPlatformStale = false;
  /// Hash of the platform's value that was rejected and logged. The object version does not
  /// identify it: a restored platform reuses the same version for another value.
  std::uint64_t mRefusedHash = 0;

  // The next pull from a peer.
  std::uint64_t mPullVersion = 0; ///< version to pull, as seen at a peer; 0 when none
  std::string mPullFrom;
  instant mPullAt;
  bool mPullPending = false;
  instant mPullExpiresAt;

  // The next push by this daemon as a watcher.
  std::optional<instant> mPushAt;
};

class distribution_core final : public distribution
{
public:
  distribution_core(distribution_settings aSettings, const membership& aMembers);

  const document* Current(std::string_view aName) const override;
  std::vector<document_version> Versions() const override;
  std::vector<std::string> TakeChanged() override;
  bool IsPlatformStale(std::string_view aName) const override;
  bool IsWatcher() const override { return mWatcherRank.has_value(); }
  bool IsPlatformUnreachable() const override { return mPlatformUnreachable; }
  void OnTick(instant aNow, effect_list& aOut) override;
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) override;
  void OnSeenDocument(const membership::seen_document& aSeen,
                      instant aNow,
                      effect_list& aOut) override;
  bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                             instant aNow,
                             effect_list& aOut) override;
  bool OnPeerResponse(const peer_response_received& aPeerResponse,
                      instant aNow,
                      effect_list& aOut) override;
  void OnOwnWrite(std::string_view aName,
                  std::uint64_t aVersion,
                  std::string_view aValue,
                  instant aNow,
                  effect_list& aOut) override;

private:
  struct pull_call
  {
    std::string mName;
  };
  struct push_call
  {
    std::string mName;
    /// Pushed to its first daemon when the receiver does not reply.
    std::vector<daemon_location> mSubtree;
  };
  using peer_call = std::variant<pull_call, push_call>;

  enum class apply_result
  {
    Newer,
    NotNewer,
    Refused
  };

  const document_state* Find(std::string_view aName) const;
  document_state* Find(std::string_view aName);
  static std::uint64_t VersionOf(const document_state& aState);
  bool IsLocal(const document_state& aState) const;

  /// Replaces the document if `aValue` is valid and newer. The only place that replaces one.
  apply_result ApplyIfNewer(document_state& aState,
                            std::string_view aValue,
                            std::string_view aSource,
                            instant aNow,
                            effect_list& aOut);

  // distribution_platform.cpp
  void UpdateWatcherRank(instant aNow);
  void CallPlatform(document_state& aState, instant aNow, effect_list& aOut);
  void ReadAfterPause(instant aNow);
  bool MayCallPlatform(instant aNow) const;
  bool IsPolledSlowly(const document_state& aState) const;
  void OnFound(document_state& aState, const object_found& aFound, instant aNow, effect_list& aOut);
  void OnMissing(document_state& aState, instant aNow, effect_list& aOut);
  void OnFailure(document_state& aState, instant aNow);
  void SetPlatformStale(document_state& aState, bool aStale, effect_list& aOut);

  // distribution_peers.cpp
  void PushToAll(const document_state& aState, effect_list& aOut);
  void PushTo(const document_state& aState,
              std::vector<daemon_location> aTargets,
              effect_list& aOut);
  void PushBranch(const document_state& aState,
                  std::vector<daemon_location> aBranch,
                  effect_list& aOut);
  void SchedulePush(document_state& aState, instant aNow);
  void Pull(document_state& aState, instant aNow, effect_list& aOut);
  document_reply OnPush(const push_document& aPush, instant aNow, effect_list& aOut);
  document_reply ReplyWith(const document_state* aState, std::uint64_t aAfterVersion) const;
  void Send(peer_call aCall, const std::string& aAddress, peer_message aMessage, effect_list& aOut);
  std::chrono::nanoseconds Jitter(std::chrono::nanoseconds aUpTo);

  distribution_settings mSettings;
  const membership& mMembers;
  std::mt19937_64 mRandom;
  std::vector<document_state> mStates;
  std::vector<std::string> mChanged;
  std::map<std::uint64_t, peer_call> mPeerCalls;
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPeerCallCount = 0;
  /// Rank among the watchers of this data centre; empty for others.
  std::optional<std::uint32_t> mWatcherRank;
  instant mNextRankingAt;
  std::optional<instant> mStartedAt;
  instant mLastTick;
  bool mPlatformUnreachable = false;
};

} // namespace skylarkwind
