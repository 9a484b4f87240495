#pragma once

#include "object_history_p.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The objects of a kind as one text, the same on all daemons that have the same objects.
struct state_text
{
  std::uint64_t mRevision = 0; ///< up to which the state is complete
  std::string mText;
  std::string mDigest;
};

/// A state of a kind, compressed against an earlier state if the receiver has that one.
struct encoded_state
{
  std::string mKind;
  std::uint64_t mRevision = 0;       ///< up to which the state is complete
  std::uint64_t mNewestRevision = 0; ///< of the newest change in it
  bool mAfterOutage = false;         ///< as in `change_batch`
  std::uint64_t mBaseRevision = 0;
  std::string mBaseDigest; ///< of the earlier state's text; empty: none is needed
  std::string mDigest;     ///< of this state's text
  std::size_t mTextBytes = 0;
  std::string mBytes;
  std::string mId; ///< digest of the bytes
  /// Time since a daemon read the state from the store.
  std::chrono::milliseconds mAge{};
};

/// A message that tells other daemons of a state, with its bytes if they are few.
struct state_announcement
{
  /// Without bytes: the receiver fetches a state that is as new. Without a digest: a daemon is
  /// reading a newer state from the store, which takes a while.
  encoded_state mState;
  std::string mAddress;    ///< of a daemon that has the state
  bool mForwarded = false; ///< as in `change_batch`

  bool IsNotice() const { return mState.mDigest.empty(); }
};

state_text MakeStateText(const object_map& aObjects, std::uint64_t aRevision);
/// Empty when the text is not valid.
std::optional<std::vector<stored_object>> ParseStateText(std::string_view aText);

/// Compresses a state against an earlier one; `aBase` may be null.
encoded_state EncodeState(std::string aKind, const state_text& aState, const state_text* aBase);
/// The text of an encoded state. Empty when the bytes are damaged, the base is another one or the
/// digest of the text differs.
std::optional<std::string> DecodeState(const encoded_state& aState, std::string_view aBase);

/// Encodes an announcement as CBOR.
std::string EncodeAnnouncement(const state_announcement& aAnnouncement);
/// Empty when the bytes are not an announcement.
std::optional<state_announcement> DecodeAnnouncement(std::string_view aBytes);

/// Asks another daemon for a part of its newest state, or of the encoding whose other parts have
/// arrived.
struct part_request
{
  std::string mKind;
  std::uint64_t mBaseRevision = 0; ///< of the state that the receiver has; zero: none
  std::string mBaseDigest;
  std::uint64_t mLeastRevision = 0; ///< an older state is of no use
  std::string mEncoding;            ///< id of the encoding; empty: no part has arrived yet
  std::size_t mOffset = 0;
  std::size_t mBytes = 0;
  std::string mReceiver; ///< address of the daemon that asks
};

/// The answer to a request for a part.
struct part_response
{
  enum class outcome
  {
    Part,
    Lacking,     ///< no state that is new enough
    Busy,        ///< serves as many daemons as it may
    Same,        ///< the receiver's state is the newest
    Unsupported, ///< not sent: the daemon is of an earlier release, without parts
    Failed       ///< not sent: the daemon did not answer
  } mOutcome = outcome::Failed;
  encoded_state mState; ///< with the bytes of the part only
  std::size_t mOffset = 0;
  std::size_t mTotalBytes = 0;
  std::vector<std::string> mOthers; ///< daemons that have received the state from this one
};

std::string EncodePartRequest(const part_request& aRequest);
std::optional<part_request> DecodePartRequest(std::string_view aBytes);
std::string EncodePartResponse(const part_response& aResponse);
std::optional<part_response> DecodePartResponse(std::string_view aBytes);

} // namespace skylarkwind
