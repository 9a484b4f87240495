#pragma once

#include "control_fakes.h"
#include "simulated_time.h"
#include "skylarkwind/backend_calls.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// An engine, or with `mPlain` the backend server of a plain service.
struct world_backend
{
  fake_engine mEngine;
  std::string mAddress;
  std::string mDataCentre;
  bool mPlain = false;
  bool mSilent = false;          ///< connections stay open without any data
  bool mListed = true;           ///< false when the VM list shows it as leaving
  bool mCrashesInRun = false;    ///< crashes while it runs its next non-idempotent request
  std::uint64_t mCrashCount = 0; ///< number of crashes
  std::optional<instant> mNoWorkSince;
  std::map<std::string, int> mOrderRuns; ///< by idempotency key

  bool Down(instant aNow) const { return aNow < mEngine.mDownUntil; }
  void Crash(instant aNow, std::chrono::milliseconds aDown)
  {
    mEngine.Crash(aNow, aDown);
    ++mCrashCount;
  }
};

/// A request of a caller and its outcome.
struct world_caller
{
  caller_request mBody;
  std::size_t mDaemon = 0;
  std::uint64_t mProcess = 0; ///< start id of the daemon that it was sent to
  std::uint64_t mTokens = 0;  ///< of the complete response
  std::uint64_t mFirst = 0;   ///< number of the request whose stream this continues
  std::uint64_t mOffset = 0;
  std::string mText;
  std::string mResumeToken;
  instant mSentAt;
  bool mLimited = false;
  bool mRan = false; ///< a backend server started to run it
  bool mSaidNotRun = false;
  bool mComplete = false;
  int mEnds = 0;
  int mStatus = 0;
  int mOpenAttempts = 0;
};

/// Text of token `aOffset` of the response to a request.
inline std::string
TokenText(std::uint64_t aRequest, std::uint64_t aOffset)
{
  return std::to_string(aRequest) + "." + std::to_string(aOffset) + " ";
}

} // namespace skylarkwind
