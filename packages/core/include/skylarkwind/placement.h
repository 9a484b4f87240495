#pragma once

#include "skylarkwind/backend_board.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/part_holders.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

/// Where a request goes.
struct placement
{
  const backend_server* mTarget = nullptr;
  /// Engine that computes the prompt first; null when the target does.
  const backend_server* mPrefill = nullptr;
  /// Engine that keeps the start of the prompt, to be fetched by whoever computes it.
  const backend_server* mFetchFrom = nullptr;
  std::uint32_t mComputeTokens = 0; ///< left to compute after what is kept or fetched
  std::uint32_t mFetchTokens = 0;   ///< fetched from another engine
  std::uint32_t mAheadTokens = 0;   ///< wait at the computing engine before it
  std::chrono::duration<double, std::milli> mWait{};        ///< for that work
  std::chrono::duration<double, std::milli> mPrefillTime{}; ///< until the prompt is computed
  std::chrono::duration<double, std::milli> mFirstToken{};  ///< predicted, from now
};

/// No backend server can serve the request in time.
struct no_placement
{
  std::string_view mReason;
  std::chrono::milliseconds mRetryAfter{};
  std::optional<placement> mBest = std::nullopt; ///< the best one, where it would come too late
};

/// The shared start of the prompt is being computed for another request. Sent now, this request
/// would compute it once more; sent after that, it reuses or fetches it.
struct await_parts
{
  instant mReadyAt{};
};

struct placement_settings
{
  std::string mDataCentre; ///< of this daemon
  /// Added for a backend server in another data centre, whose traffic is paid for.
  std::chrono::duration<double, std::milli> mOtherDataCentre{ 25 };
  /// Weight of computing time against waiting time. Computing delays the requests behind it.
  double mComputeWeight = 0.5;
  /// Weight of the time that a transfer of KV cache takes on the links between engines.
  double mTransferWeight = 2;
  /// Weight of the time to compute what one more copy of a part pushes out of an engine's memory.
  double mCopyWeight = 0.25;
};

/// What is to be placed.
struct placement_query
{
  const forward_route* mRoute = nullptr;
  const forward_service* mService = nullptr;
  const generation_shape* mGeneration = nullptr; ///< null for a plain service
  std::span<const backend_server* const> mServers;
  std::span<const std::string> mAvoid; ///< ids that failed this request
  std::chrono::milliseconds mTimeLeft{};
  std::uint64_t mDraw = 0; ///< random, another one for each attempt
  bool mMayWait = true;    ///< false once the request has waited for parts as long as it may
};

using placement_result = std::variant<placement, no_placement, await_parts>;

/// Chooses the backend server, and for a generation the engine that computes its prompt, by the
/// predicted time to the first token.
class placer
{
public:
  placer(placement_settings aSettings, const backend_board& aBoard, const part_holders& aParts);

  placement_result Place(const placement_query& aQuery, instant aNow) const;
  /// The engine that streams a request whose prompt is computed already; null when none admits it.
  const backend_server* PlaceStream(const placement_query& aQuery, instant aNow) const;

private:
  struct option
  {
    placement mPlacement;
    double mCost = 0;
  };
  /// A server that may take the request, and what is known of it.
  struct candidate
  {
    const backend_server* mServer = nullptr;
    backend_board::view mSeen;
    std::uint32_t mKept = 0; ///< tokens at the start of the prompt
  };
  std::vector<candidate> Candidates(const placement_query& aQuery, instant aNow) const;
  /// The engine to fetch from, of those that keep most of the prompt: one in the data centre of the
  /// computing engine if there is one. Requests spread over several, whose links are shared.
  static const candidate* HolderFor(std::span<const candidate* const> aHolders,
                                    const candidate& aEngine,
                                    std::uint64_t aDraw);
  struct stream_choice
  {
    const candidate* mEngine = nullptr;
    double mCost = 0;
  };
  /// The engine that would stream a request whose prompt another one computes.
  stream_choice ChooseStream(const placement_query& aQuery,
                             std::span<const candidate> aCandidates,
                             instant aNow) const;

  /// The refusal when no server may take the request. Where all of them asked for a time without
  /// requests, the caller may come back at the end of the first such time.
  no_placement NoneAdmits(const placement_query& aQuery,
                          std::string_view aReason,
                          std::chrono::milliseconds aRetryAfter,
                          instant aNow) const;
  placement_result PlacePlain(const placement_query& aQuery, instant aNow) const;
  placement_result PlaceGeneration(const placement_query& aQuery, instant aNow) const;
  /// Computing the prompt at one engine, with what it keeps and what it can fetch.
  option Compute(const placement_query& aQuery,
                 const candidate& aEngine,
                 const candidate* aHolder) const;
  double DistanceCost(const backend_server& aServer) const;
  double TransferMs(const forward_service& aService, double aTokens, bool aNear) const;

  placement_settings mSettings;
  const backend_board& mBoard;
  const part_holders& mParts;
};

} // namespace skylarkwind
