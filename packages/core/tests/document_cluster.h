#pragma once

#include "action_queue.h"
#include "document_platform.h"
#include "skylarkwind/distribution.h"
#include "skylarkwind/membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Daemons (membership and distribution) connected by a fake network and a fake platform, in
/// simulated time. The invariants are checked after each event; the first violation is kept in
/// `mViolation`.
class document_cluster
{
public:
  using ms = std::chrono::milliseconds;

  struct daemon
  {
    process_id mProcess;
    daemon_location mLocation;
    std::unique_ptr<membership> mMembers;
    std::unique_ptr<distribution> mDocuments;
    bool mPaused = false;
    std::vector<event> mBacklog; ///< events that arrived while paused
    std::map<std::string, std::uint64_t> mVersions;
    std::map<std::string, instant> mInForceSince;
    std::chrono::nanoseconds mWork{ 0 }; ///< real time spent handling events
    bool IsRunning() const { return mMembers != nullptr; }
  };

  explicit document_cluster(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mSeed(aSeed)
  {
    mPlatform.mSchedule = [this](std::chrono::nanoseconds aAfter, std::function<void()> aAction) {
      mTime.At(aAfter, std::move(aAction));
    };
    mPlatform.mReply =
      [this](std::size_t aDaemon, std::uint64_t aStart, call_id aCall, auto aBody) {
        Deliver(aDaemon, aStart, platform_replied{ aCall, std::move(aBody) });
      };
    mPlatform.mRandom.seed(aSeed + 1);
  }

  /// Adds a daemon that is not started yet. Data centres "a", "b", ... are one region.
  std::size_t Add(std::string aDataCentre, std::string aRegion = "r")
  {
    const auto index = mDaemons.size();
    auto& added = mDaemons.emplace_back();
    added.mProcess.mVm = "vm-" + std::to_string(index);
    added.mLocation = { "10.0.0." + std::to_string(index) + ":7000",
                        std::move(aDataCentre),
                        std::move(aRegion) };
    mDataCentres[added.mLocation.mDataCentre] = added.mLocation.mRegion;
    return index;
  }

  void Start(std::size_t aIndex)
  {
    auto& started = mDaemons[aIndex];
    Kill(aIndex);
    started.mProcess.mStartId = 1'000 + ++mStarts;
    membership_settings settings;
    settings.mSelf = started.mProcess;
    settings.mLocation = started.mLocation;
    settings.mRandomSeed = mSeed;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, mDaemons.size()); ++i) {
      settings.mSeeds.push_back(mDaemons[i].mLocation.mAddress);
    }
    started.mMembers = *membership::Create(settings);
    distribution_settings documents;
    documents.mRandomSeed = mSeed;
    documents.mWatchersPerDataCentre = mWatchers;
    documents.mDocuments.push_back({ "table", { "table", "current" } });
    for (const auto& [dataCentre, region] : mDataCentres) {
      if (mFleetDocuments && region == started.mLocation.mRegion) {
        documents.mDocuments.push_back({ "fleet/" + dataCentre, { "fleet", dataCentre } });
      }
    }
    started.mDocuments = *distribution::Create(documents, *started.mMembers);
    Tick(aIndex, started.mProcess.mStartId, ms{ mRandom() % mTick.count() });
  }

  void StartAll()
  {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      Start(i);
    }
  }

  void Kill(std::size_t aIndex)
  {
    auto& killed = mDaemons[aIndex];
    killed.mDocuments.reset();
    killed.mMembers.reset();
    killed.mPaused = false;
    killed.mBacklog.clear();
    killed.mVersions.clear();
    mPlatform.Forget(aIndex);
  }

  /// Another VM takes over the address.
  void Replace(std::size_t aIndex)
  {
    mDaemons[aIndex].mProcess.mVm += "x";
    Start(aIndex);
  }

  void Leave(std::size_t aIndex)
  {
    if (mDaemons[aIndex].IsRunning() && !mDaemons[aIndex].mPaused) {
      effect_list out;
      mDaemons[aIndex].mMembers->OnShutdown(mTime.mNow, out);
      Perform(aIndex, std::move(out));
      const auto start = mDaemons[aIndex].mProcess.mStartId;
      mTime.At(ms{ 200 }, [this, aIndex, start] {
        if (mDaemons[aIndex].mProcess.mStartId == start) {
          Kill(aIndex);
        }
      });
    }
  }

  void Pause(std::size_t aIndex) { mDaemons[aIndex].mPaused = mDaemons[aIndex].IsRunning(); }

  void Resume(std::size_t aIndex)
  {
    mDaemons[aIndex].mPaused = false;
    for (auto& each : std::exchange(mDaemons[aIndex].mBacklog, {})) {
      Handle(aIndex, each);
    }
  }

  /// Writes a document to the platform as an operator or a lease holder does.
  void Edit(const std::string& aName, std::optional<std::size_t> aWriter = {})
  {
    const bool writerRuns =
      aWriter && mDaemons[*aWriter].IsRunning() && !mDaemons[*aWriter].mPaused;
    if (mPlatform.mOutage || (aWriter && !writerRuns)) {
      return;
    }
    const auto version = ++mNewest[aName];
    const auto number = std::to_string(version);
    const auto value = aName == "table"
                         ? R"({"table":{"serial":)" + number + mTableRows + R"(},"history":[]})"
                         : R"({"revision":)" + number + R"(,"orders":[]})";
    mValid[{ aName, version }] = value;
    mPlatform.Write(KeyOf(aName), value);
    if (writerRuns) {
      effect_list out;
      mDaemons[*aWriter].mDocuments->OnOwnWrite(aName, version, value, mTime.mNow, out);
      Perform(*aWriter, std::move(out));
    }
  }

  /// Writes an invalid table, which must never be in force.
  void WriteInvalidTable()
  {
    const auto number = std::to_string(++mNewest["table"]);
    mPlatform.Write(KeyOf("table"),
                    mRandom() % 2 == 0 ? R"({"table":{"serial":)" + number + R"(,"x":1}})"
                                       : "{\"table\":{\"serial\":" + number);
  }

  /// Delivers the platform's VM list to every running daemon.
  void DeliverVmList()
  {
    vm_list list;
    for (const auto& each : mDaemons) {
      list.mVms.push_back({ each.mProcess.mVm, each.mLocation.mAddress });
    }
    for (const auto& each : mDaemons) {
      if (each.IsRunning()) {
        each.mMembers->OnVmList(list, mTime.mNow);
      }
    }
  }

  /// Runs until the condition holds; false when it did not within `aLimit`.
  bool RunUntil(const std::function<bool()>& aCondition, std::chrono::nanoseconds aLimit)
  {
    for (const auto end = mTime.mNow + aLimit; !aCondition() && mViolation.empty();) {
      if (mTime.mNow >= end) {
        return false;
      }
      mTime.Run(ms{ 20 });
    }
    return mViolation.empty();
  }

  /// Whether every running daemon's live list is exactly the set of running processes.
  bool MembersAgree() const
  {
    std::map<std::string, process_id> running;
    for (const auto& each : mDaemons) {
      if (each.IsRunning()) {
        running[each.mProcess.mVm] = each.mProcess;
      }
    }
    return std::all_of(mDaemons.begin(), mDaemons.end(), [&](const daemon& aDaemon) {
      return !aDaemon.IsRunning() ||
             std::equal(running.begin(),
                        running.end(),
                        aDaemon.mMembers->Live().begin(),
                        aDaemon.mMembers->Live().end(),
                        [](const auto& aRunning, const member_update& aMember) {
                          return aRunning.second == aMember.mProcess;
                        });
    });
  }

  /// Whether every running daemon has at least this version in force.
  bool InForce(const std::string& aName, std::uint64_t aVersion) const
  {
    return std::all_of(mDaemons.begin(), mDaemons.end(), [&](const daemon& aDaemon) {
      const auto* document = aDaemon.IsRunning() ? aDaemon.mDocuments->Current(aName) : nullptr;
      return !aDaemon.IsRunning() || aVersion == 0 ||
             (document != nullptr && document->mVersion >= aVersion);
    });
  }

  bool HasLiveDaemon(const std::string& aDataCentre) const
  {
    return std::any_of(mDaemons.begin(), mDaemons.end(), [&](const daemon& aDaemon) {
      return aDaemon.IsRunning() && aDaemon.mLocation.mDataCentre == aDataCentre;
    });
  }

  /// The highest valid version that a running daemon or the platform holds.
  std::uint64_t HighestHeld(const std::string& aName) const
  {
    std::uint64_t highest = 0;
    for (const auto& each : mDaemons) {
      const auto* document = each.IsRunning() ? each.mDocuments->Current(aName) : nullptr;
      highest = std::max(highest, document == nullptr ? 0 : document->mVersion);
    }
    const auto* stored = mPlatform.Find(KeyOf(aName));
    for (const auto& [key, value] : mValid) {
      if (stored != nullptr && key.first == aName && value == stored->mValue) {
        highest = std::max(highest, key.second);
      }
    }
    return highest;
  }

  std::vector<daemon> mDaemons;
  document_platform mPlatform;
  action_queue mTime;
  std::string mViolation;
  std::map<std::string, std::uint64_t> mNewest; ///< highest version ever written
  std::uint32_t mLossPercent = 0;
  std::uint32_t mDuplicatePercent = 0;
  ms mTick{ 100 };
  std::chrono::microseconds mLinkDelay{ 1'000 };
  std::chrono::microseconds mLinkJitter{ 20'000 };
  /// Links cut in one direction: from, to.
  std::set<std::pair<std::size_t, std::size_t>> mPartitionedLinks;
  std::uint32_t mWatchers = 2;
  bool mFleetDocuments = true;
  bool mMeasure = false;
  std::string mTableRows; ///< JSON members of each written table, after its serial
  std::function<void(std::size_t, const peer_message&)> mOnMessage = [](auto, const auto&) {};
  std::function<void(std::size_t, const peer_reply&)> mOnReply = [](auto, const auto&) {};

private:
  /// A request in flight; the reply goes to the call of the process that sent it.
  struct pending_request
  {
    std::size_t mFrom = 0;
    std::uint64_t mStart = 0;
    peer_call_id mCall;
  };

  static object_key KeyOf(const std::string& aName)
  {
    return aName == "table" ? object_key{ "table", "current" }
                            : object_key{ "fleet", aName.substr(aName.find('/') + 1) };
  }

  void Tick(std::size_t aIndex, std::uint64_t aStart, ms aAfter)
  {
    mTime.At(aAfter, [this, aIndex, aStart] {
      const auto& ticked = mDaemons[aIndex];
      if (!ticked.IsRunning() || ticked.mProcess.mStartId != aStart) {
        return;
      }
      if (!ticked.mPaused) {
        Handle(aIndex, tick{});
      }
      Tick(aIndex, aStart, mTick);
    });
  }

  void Deliver(std::size_t aIndex, std::uint64_t aStart, event aEvent)
  {
    auto& receiver = mDaemons[aIndex];
    if (!receiver.IsRunning() || (aStart != 0 && receiver.mProcess.mStartId != aStart)) {
      return;
    }
    if (receiver.mPaused) {
      receiver.mBacklog.push_back(std::move(aEvent));
    } else {
      Handle(aIndex, aEvent);
    }
  }

  void Handle(std::size_t aIndex, const event& aEvent)
  {
    auto& receiver = mDaemons[aIndex];
    const auto before =
      mMeasure ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point{};
    effect_list out;
    auto& members = *receiver.mMembers;
    auto& documents = *receiver.mDocuments;
    if (std::holds_alternative<tick>(aEvent)) {
      members.OnTick(mTime.mNow, out);
      documents.OnTick(mTime.mNow, out);
    } else if (const auto* request = std::get_if<peer_request_received>(&aEvent)) {
      members.OnPeerRequestReceived(*request, mTime.mNow, out) ||
        documents.OnPeerRequestReceived(*request, mTime.mNow, out);
    } else if (const auto* answer = std::get_if<peer_response_received>(&aEvent)) {
      members.OnPeerResponse(*answer, mTime.mNow, out) ||
        documents.OnPeerResponse(*answer, mTime.mNow, out);
    } else if (const auto* reply = std::get_if<platform_replied>(&aEvent)) {
      documents.OnPlatformReply(*reply, mTime.mNow, out);
    }
    for (const auto& seen : members.TakeSeenDocuments()) {
      documents.OnSeenDocument(seen, mTime.mNow, out);
    }
    members.SetDocuments(documents.Versions());
    if (mMeasure) {
      receiver.mWork += std::chrono::steady_clock::now() - before;
    }
    Perform(aIndex, std::move(out));
  }

  void Perform(std::size_t aIndex, effect_list aEffects)
  {
    CheckDocuments(aIndex);
    for (auto& each : aEffects) {
      if (auto* message = std::get_if<send_to_peer>(&each)) {
        Send(aIndex, *message);
      } else if (auto* answer = std::get_if<respond_to_peer>(&each)) {
        Answer(aIndex, *answer);
      } else if (const auto* call = std::get_if<call_platform>(&each)) {
        mPlatform.Call(aIndex, mDaemons[aIndex].mProcess.mStartId, *call);
        if (mPlatform.mMaxPendingCalls > 1) {
          Violate(aIndex, "has two platform calls for one document in flight");
        }
      }
    }
  }

  void CheckDocuments(std::size_t aIndex)
  {
    auto& checked = mDaemons[aIndex];
    for (const auto& name : checked.mDocuments->TakeChanged()) {
      const auto* document = checked.mDocuments->Current(name);
      auto& last = checked.mVersions[name];
      if (document == nullptr || document->mVersion < last) {
        Violate(aIndex, "version of " + name + " decreased");
        return;
      }
      const auto valid = mValid.find({ name, document->mVersion });
      if (valid == mValid.end() || valid->second != document->mValue) {
        Violate(aIndex, "put an invalid value of " + name + " in force");
      }
      last = document->mVersion;
      checked.mInForceSince[name] = mTime.mNow;
    }
  }

  void Violate(std::size_t aIndex, const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = mDaemons[aIndex].mProcess.mVm + ": " + aText;
    }
  }

  std::chrono::nanoseconds Delay()
  {
    return mLinkDelay + std::chrono::microseconds{ mLinkJitter.count() == 0
                                                     ? 0
                                                     : mRandom() % mLinkJitter.count() };
  }

  bool IsMessageLost(std::size_t aFrom, std::size_t aTo)
  {
    return mRandom() % 100 < mLossPercent || mPartitionedLinks.contains({ aFrom, aTo });
  }

  void Send(std::size_t aFrom, const send_to_peer& aMessage)
  {
    const auto start = mDaemons[aFrom].mProcess.mStartId;
    mOnMessage(aFrom, aMessage.mMessage);
    mTime.At(aMessage.mTimeLimit, [this, aFrom, start, call = aMessage.mCall] {
      Deliver(aFrom, start, peer_response_received{ call, std::nullopt });
    });
    if (const auto* probe = std::get_if<probe_message>(&aMessage.mMessage)) {
      if (probe->mUpdates.size() > 8) {
        Violate(aFrom, "sent more than 8 updates");
      }
    }
    for (std::size_t to = 0; to < mDaemons.size(); ++to) {
      if (mDaemons[to].mLocation.mAddress == aMessage.mAddress) {
        const int copies = 1 + (mRandom() % 100 < mDuplicatePercent ? 1 : 0);
        for (int i = 0; i < copies && !IsMessageLost(aFrom, to); ++i) {
          const auto id = ++mRequestCount;
          mPendingRequests[id] = { aFrom, start, aMessage.mCall };
          mTime.At(Delay(), [this, to, id, body = aMessage.mMessage]() mutable {
            Deliver(to, 0, peer_request_received{ { id }, std::move(body) });
          });
        }
        return;
      }
    }
  }

  void Answer(std::size_t aFrom, respond_to_peer& aAnswer)
  {
    const auto found = mPendingRequests.extract(aAnswer.mCall.mValue);
    if (found.empty()) {
      Violate(aFrom, "replied twice to one peer request");
      return;
    }
    mOnReply(aFrom, aAnswer.mReply);
    const auto to = found.mapped();
    if (!IsMessageLost(aFrom, to.mFrom)) {
      mTime.At(Delay(), [this, to, body = std::move(aAnswer.mReply)]() mutable {
        Deliver(to.mFrom, to.mStart, peer_response_received{ to.mCall, std::move(body) });
      });
    }
  }

  std::mt19937_64 mRandom;
  std::uint64_t mSeed;
  std::uint64_t mStarts = 0;
  std::uint64_t mRequestCount = 0;
  std::map<std::uint64_t, pending_request> mPendingRequests;
  std::map<std::string, std::string> mDataCentres; ///< with the region of each
  std::map<std::pair<std::string, std::uint64_t>, std::string> mValid;
};

} // namespace skylarkwind
