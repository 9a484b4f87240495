#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Sizes and times of transfers between daemons.
struct transfer_settings
{
  /// Size of a part. It is halved after each part that did not arrive in its time, down to the
  /// smallest, and doubled after each that did.
  std::size_t mMaxPartBytes = std::size_t{ 16 } * 1'024;
  std::size_t mMinPartBytes = std::size_t{ 1 } * 1'024;
  /// Largest state that is fetched.
  std::size_t mMaxTotalBytes = std::size_t{ 8 } * 1'024 * 1'024;
  /// Time limit of a part. It doubles after each part that did not arrive in time.
  std::chrono::milliseconds mMinPartLimit{ 400 };
  std::chrono::milliseconds mMaxPartLimit{ 3'200 };
  /// Pause before a transfer asks again after all known daemons have failed or are busy. The pause
  /// is drawn between half of it and all of it.
  std::chrono::milliseconds mRetryPause{ 60 };
  /// A transfer without a part for this long counts as stopped.
  std::chrono::milliseconds mProgressTimeout{ 600 };
};

/// A part of an encoded state that has to be requested now.
struct part_order
{
  std::uint64_t mTransfer = 0;
  std::string mAddress;
  std::uint64_t mLeastRevision = 0; ///< the state has to be at least as new
  std::string mEncoding; ///< id of the encoding of which parts have arrived; empty for the first
  std::size_t mOffset = 0;
  std::size_t mBytes = 0;
  std::chrono::milliseconds mLimit{};
};

/// A part that has arrived.
struct part_arrival
{
  std::string_view mEncoding;
  std::uint64_t mRevision = 0; ///< of the encoded state
  std::size_t mOffset = 0;
  std::size_t mBytes = 0;
  std::size_t mTotalBytes = 0; ///< of the encoded state
};

/// What a part that has arrived is to its transfer.
enum class part_use
{
  Begins,    ///< the first part; what has arrived before is of no use
  Continues, ///< the next part
  Rejected   ///< of no use
};

/// Decides from which daemons this one fetches the parts of the states of one kind of object.
///
/// At most two transfers are in progress: the one that was begun first is never given up for a
/// newer state, so that a series of changes cannot keep a daemon from ever completing one; the
/// other one is always for the newest state, so that it does not wait for the first. What has
/// arrived is kept when a source fails, and the next source is asked for the rest. A transfer is
/// alive as long as parts arrive, however long it takes.
class transfer_plan
{
public:
  transfer_plan(transfer_settings aSettings, std::uint64_t aRandomSeed);

  /// Notes that the daemon at this address has the state at this revision. Begins a transfer if no
  /// transfer is for a state as new.
  void OnOffer(std::uint64_t aRevision, const std::string& aAddress, instant aNow);
  /// As `OnOffer`, for daemons that may have a state that is at least as new. A state at the
  /// revision of the copy is requested as well, to learn that the copy is the newest.
  void OnNeeded(std::uint64_t aRevision, const std::vector<std::string>& aAddresses, instant aNow);
  /// Notes that the daemon's copy is complete up to this revision, which ends transfers of older
  /// states.
  void OnApplied(std::uint64_t aRevision);

  /// The parts to request now, at most one for each transfer. Each has to be answered by exactly
  /// one of the calls below.
  std::vector<part_order> TakeOrders(instant aNow);
  /// Notes a part that has arrived. The first part of another encoding than that of the transfer
  /// begins it anew, unless another transfer is for that state, which ends this one.
  part_use OnPart(std::uint64_t aTransfer, const part_arrival& aPart, instant aNow);
  /// The part did not arrive in its time limit.
  void OnTimeout(std::uint64_t aTransfer, instant aNow);
  /// The daemon does not have the state, or cannot be reached.
  void OnFailure(std::uint64_t aTransfer, instant aNow);
  /// The daemon is of an earlier release and serves whole snapshots only. Returns whether to take
  /// one from it, as no other source serves parts; the order then still has to be answered, by
  /// `OnFailure` or `End`.
  bool OnUnsupported(std::uint64_t aTransfer, instant aNow);
  /// The daemon serves as many others as it can, and names some that have the state.
  void OnBusy(std::uint64_t aTransfer, const std::vector<std::string>& aOthers, instant aNow);

  bool IsActive(std::uint64_t aTransfer) const { return Find(aTransfer) != nullptr; }
  /// Whether all parts have arrived.
  bool IsComplete(std::uint64_t aTransfer) const;
  /// Ends a transfer: it is complete, or its content is unusable.
  void End(std::uint64_t aTransfer);
  /// Whether a transfer is alive.
  bool IsProgressing(instant aNow) const;
  bool Empty() const { return mTransfers.empty(); }

private:
  struct transfer
  {
    std::uint64_t mId = 0;
    std::uint64_t mRevision = 0;
    std::deque<std::string> mSources; ///< the first one is asked next
    std::size_t mAsked = 0;           ///< sources that failed since the last part
    std::string mEncoding;
    std::size_t mOffset = 0;
    std::size_t mTotalBytes = 0;
    std::size_t mPartBytes = 0;
    std::chrono::milliseconds mPartLimit{};
    bool mWaitsForPart = false;
    instant mNextAt{};
    instant mProgressAt{};
  };

  transfer* Find(std::uint64_t aTransfer);
  const transfer* Find(std::uint64_t aTransfer) const;
  transfer* Begin(std::uint64_t aRevision, instant aNow);
  static void AddSource(transfer& aTransfer, const std::string& aAddress);
  /// Moves on to the next source, after a pause when all have been asked.
  void TryNextSource(transfer& aTransfer, instant aNow);

  transfer_settings mSettings;
  std::vector<transfer> mTransfers; ///< the one that was begun first is at the front
  std::uint64_t mLastId = 0;
  std::uint64_t mApplied = 0;
  std::mt19937_64 mRandom;
};

} // namespace skylarkwind
