#pragma once

#include "state_codec_p.h"
#include "store_follower_p.h"

#include "skylarkwind/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// Serves the state of one kind of object to other daemons: in parts to those that ask, and in an
/// announcement to those that changes are relayed to. Each state is encoded once for each earlier
/// state that others have.
class state_server
{
public:
  /// `aAddress`: of this daemon. `aMaxReceivers`: daemons that are served at the same time.
  state_server(const store_follower& aFollower,
               std::string aAddress,
               std::size_t aMaxReceivers,
               const clock_source& aClock);

  /// The current state. It must have been listed.
  std::shared_ptr<const state_text> Current();
  /// Answers a request for a part.
  part_response Serve(const part_request& aRequest);
  /// An announcement of the current state, with its difference to the one before it if that is
  /// small.
  state_announcement MakeAnnouncement(bool aForwarded);
  /// Keeps an encoding that another daemon made of the state that this one has now.
  void Keep(encoded_state aState);
  /// Frees the texts that have not been used for a time.
  void OnTick(instant aNow);

  std::uint64_t ServedBytes() const { return mServedBytes; }

private:
  struct holder
  {
    std::string mAddress;
    std::string mDigest;
  };

  /// The state as of an earlier revision, if it has this digest; an empty digest: whatever it is.
  std::shared_ptr<const state_text> Earlier(std::uint64_t aRevision, const std::string& aDigest);
  /// The current state encoded against the earlier one, or in full if that is not known.
  const encoded_state& Encode(std::uint64_t aBaseRevision, const std::string& aBaseDigest);
  const encoded_state* FindEncoding(const std::string& aId) const;
  bool Admit(const std::string& aReceiver);
  std::vector<std::string> HoldersOf(const std::string& aDigest, const std::string& aExcept) const;
  void AddHolder(const std::string& aAddress, const std::string& aDigest);

  const store_follower& mFollower;
  std::string mAddress;
  std::size_t mMaxReceivers;
  const clock_source& mClock;
  std::shared_ptr<const state_text> mCurrent;
  std::uint64_t mCurrentContent = 0; ///< content revision of mCurrent
  std::shared_ptr<const state_text> mEarlier;
  std::deque<encoded_state> mEncodings;      ///< newest first
  std::map<std::string, instant> mReceivers; ///< by address, with the time of their last request
  std::deque<holder> mHolders;               ///< newest first
  instant mUsedAt{};
  std::uint64_t mServedBytes = 0;
};

} // namespace skylarkwind
