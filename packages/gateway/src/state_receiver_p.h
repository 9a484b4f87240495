#pragma once

#include "change_batch_p.h"
#include "state_codec_p.h"
#include "state_server_p.h"
#include "store_follower_p.h"

#include "skylarkwind/clock.h"
#include "skylarkwind/transfer_plan.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// How a state came to a daemon.
struct state_arrival
{
  bool mPushed = false; ///< with its announcement, else fetched in parts
  std::size_t mBytes = 0;
  std::chrono::milliseconds mAge{}; ///< time since the store's answer arrived at a daemon
};

struct state_receiver_callbacks
{
  /// Asks another daemon for a part.
  std::function<kj::Promise<part_response>(const std::string& aAddress, const part_request&)>
    mFetchPart;
  /// Fetches all objects from a daemon of an earlier release, which has no parts.
  std::function<kj::Promise<std::optional<change_batch>>(const std::string& aAddress)>
    mFetchSnapshot;
  /// Addresses of daemons that may have any state, in the order in which to ask them.
  std::function<std::vector<std::string>()> mSources;
  /// Applies a state.
  std::function<void(const change_batch&, const state_arrival&)> mOnState;
  /// Notes that another daemon has the same state, complete up to this revision.
  std::function<void(std::uint64_t aRevision)> mOnSame;
};

/// Receives the states of one kind of object from other daemons: those that come with their
/// announcement at once, the others in parts. Announcements that build on a state that is still
/// being fetched are kept until it has been applied.
class state_receiver
{
public:
  state_receiver(const store_follower& aFollower,
                 state_server& aServer,
                 std::string aAddress,
                 kj::Timer& aTimer,
                 const clock_source& aClock,
                 std::uint64_t aRandomSeed,
                 state_receiver_callbacks aCallbacks);

  void OnAnnouncement(const state_announcement& aAnnouncement);
  /// Fetches a state that is at least as new, beside what is in progress. The promise resolves when
  /// a state has been applied, or after a while. Dropping it does not end the transfer.
  kj::Promise<void> Fetch(std::uint64_t aRevision);
  /// Notes what the copy holds and goes on with the transfers.
  void OnTick(instant aNow);
  /// Whether a state is being received.
  bool IsProgressing() const { return mPlan.IsProgressing(mClock.Now()); }

  std::uint64_t ReceivedBytes() const { return mReceivedBytes; }

private:
  /// What has arrived of a state, and the state that it is encoded against.
  struct partial_state
  {
    std::shared_ptr<const state_text> mBase; ///< null when this daemon had none
    std::string mBytes;
    instant mBeganAt{};
    std::uint32_t mParts = 0;
    std::uint32_t mFailures = 0;
    std::string mAddress;
    kj::Promise<void> mFetching = nullptr;
  };

  /// Requests the parts that are due.
  void Continue();
  void Request(const part_order& aOrder);
  kj::Promise<void> OnResponse(const part_order& aOrder, const part_response& aResponse);
  /// The part did not arrive in its time limit.
  void OnPartMissed(const part_order& aOrder, const std::string& aReason);
  void OnPart(const part_order& aOrder, const part_response& aResponse);
  void OnComplete(const part_order& aOrder, const part_response& aLast);
  kj::Promise<void> FetchSnapshot(const part_order& aOrder);
  /// Applies a state that came with its announcement. Returns false when it builds on another state
  /// than the copy.
  bool ApplyPushed(const state_announcement& aAnnouncement);
  /// Applies an encoded state. Returns false when its bytes are unusable.
  bool Apply(encoded_state aState, std::string_view aBase, const state_arrival& aArrival);
  /// Applies the announcements that were kept for the state that the daemon has now.
  void ApplyKept();
  void WakeWaiting();

  const store_follower& mFollower;
  state_server& mServer;
  std::string mAddress;
  kj::Timer& mTimer;
  const clock_source& mClock;
  state_receiver_callbacks mCallbacks;
  transfer_plan mPlan;
  std::map<std::uint64_t, partial_state> mPartial; ///< by transfer
  std::vector<state_announcement> mKept;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> mWaiting;
  kj::Promise<void> mContinuing = nullptr;
  std::uint64_t mReceivedBytes = 0;
};

} // namespace skylarkwind
