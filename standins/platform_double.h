#pragma once

#include "http_host.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace skylarkwind {

/// Calls allowed per second, with a burst of one second or one call.
class rate_limit
{
public:
  explicit rate_limit(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mBurst(std::max(1.0, aPerSecond))
    , mTokens(mBurst)
  {
  }
  bool Take(std::int64_t aNowMs);

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  std::int64_t mLastMs = 0;
};

/// The platform's object API and VM list in memory (docs/design.md 5.1).
class platform_double : public standin_app
{
public:
  platform_double(double aReadsPerSecond, double aWritesPerSecond)
    : mReads(aReadsPerSecond)
    , mWrites(aWritesPerSecond)
  {
  }

  void OnRequest(const standin_request& aRequest, standin_reply aReply) override;
  void OnTick() override;
  void OnConnectionClosed(std::uint64_t aConnection) override;

private:
  struct stored
  {
    std::uint64_t mVersion = 0;
    std::string mValue;
  };
  struct waiting_watch
  {
    std::string mKey;
    std::uint64_t mAfter = 0;
    std::int64_t mUntilMs = 0;
    std::uint64_t mConnection = 0;
    standin_reply mReply;
  };
  struct delayed_request
  {
    std::int64_t mAtMs = 0;
    standin_request mRequest;
    standin_reply mReply;
  };
  struct vm_sample
  {
    std::int64_t mAtMs = 0;
    std::string mBody;
  };

  void Serve(const standin_request& aRequest, const standin_reply& aReply);
  void ServeControl(const standin_request& aRequest, const standin_reply& aReply);
  void ServeFaults(const nlohmann::json& aFaults);
  void ServeCalls(const standin_reply& aReply);
  void ServeVms(const standin_reply& aReply);
  void ServeObject(const standin_request& aRequest, const standin_reply& aReply);
  void ServeRead(const standin_request& aRequest,
                 const std::string& aKey,
                 const standin_reply& aReply);
  void ServeWrite(const standin_request& aRequest,
                  const std::string& aKey,
                  const standin_reply& aReply);
  void ServeList(const std::string& aKind, const standin_reply& aReply);
  void Restore(std::uint64_t aVersion);
  void Store(const std::string& aKey, std::string aValue);
  void AnswerWatches(const std::string& aKey);

  std::map<std::string, stored> mObjects;
  std::map<std::string, std::vector<stored>> mHistory;
  std::uint64_t mVersion = 0;
  std::list<waiting_watch> mWatches;
  std::deque<delayed_request> mDelayed;
  std::deque<vm_sample> mVmLists;
  rate_limit mReads;
  rate_limit mWrites;
  std::map<std::string, std::uint64_t> mCalls;
  bool mOutage = false;
  bool mSilent = false;
  std::int64_t mDelayMs = 0;
  std::int64_t mVmLagMs = 0;
  std::uint64_t mLoseReplies = 0;
};

} // namespace skylarkwind
