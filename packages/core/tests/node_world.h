#pragma once

#include "node_backends.h"
#include "object_platform.h"
#include "skylarkwind/lease.h"
#include "skylarkwind/node.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace skylarkwind {

struct node_world_settings
{
  std::vector<std::string> mDaemons{ "a", "a", "a" }; ///< data centre of each
  std::vector<std::string> mEngines{ "a", "a", "a" };
  std::uint64_t mLimit = 4; ///< of the account "low", over all daemons
  std::uint64_t mSeed = 1;
  std::chrono::milliseconds mTick{ 20 };
  bool mTrace = false;
};

/// A few complete nodes with fakes of everything around them, in simulated time. The invariants are
/// checked at each event; violations are collected in `mViolations`.
class node_world
{
public:
  using ms = std::chrono::milliseconds;
  static constexpr ms kTimeLimit{ 10'000 };
  static constexpr ms kTokenInterval{ 40 };

  struct daemon
  {
    std::unique_ptr<counters> mCounters;
    std::unique_ptr<node> mNode; ///< empty while the process does not run
    process_id mSelf;
    daemon_location mLocation;
    bool mPaused = false;
    bool mStopped = false; ///< it reported that its shutdown is complete
    std::deque<event> mBacklog;
    instant mRunningSince;
    std::map<std::string, std::uint64_t> mVersions;
    std::map<std::string, std::string> mSeen; ///< states last written to the trace
  };

  struct attempt
  {
    std::uint64_t mRequest = 0;
    std::uint64_t mProcess = 0;
    std::size_t mBackend = 0;
    bool mOpen = true;
    std::uint64_t mProgress = 0;
  };

  node_world_settings mSettings;
  simulated_time mTime;
  object_platform mPlatform;
  std::vector<daemon> mDaemons;
  std::vector<world_backend> mBackends; ///< engines e0.. and then the order service's b0 and b1
  std::map<std::uint64_t, world_caller> mCallers;
  std::vector<std::string> mViolations;
  std::vector<std::string> mTrace;
  /// Pairs of data centres; "platform" counts as one.
  std::set<std::pair<std::string, std::string>> mPartitions;
  ms mLinkDelay{ 2 };
  double mDuplicateProbability = 0; ///< probability that a message between daemons arrives twice
  double mDelayProbability = 0;     ///< probability that a message or an engine command is delayed
  double mLoseOrderReply = 0;
  instant mFaultsEnded; ///< the check for new work at drained servers starts no earlier
  std::uint64_t mOrdersAccepted = 0;
  std::uint64_t mAttemptsStarted = 0;

  explicit node_world(node_world_settings aSettings)
    : mSettings(std::move(aSettings))
    , mTime(mSettings.mSeed)
    , mPlatform(mTime)
    , mStart(mTime.Now())
  {
    for (std::size_t i = 0; i < mSettings.mEngines.size(); ++i) {
      AddBackend("e" + std::to_string(i), mSettings.mEngines[i], false);
    }
    AddBackend("b0", mSettings.mEngines.front(), true);
    AddBackend("b1", mSettings.mEngines.back(), true);
    const nlohmann::json object{ { "table", FirstTable() },
                                 { "history", nlohmann::json::array() } };
    mPlatform.Call({ {}, write_object{ kTable, 0, object.dump() } }, false, [](const auto&) {});
    mTime.RunUntil(mTime.Now() + ms{ 20 });
    mDaemons.resize(mSettings.mDaemons.size());
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      mDaemons[i].mSelf.mVm = "d" + std::to_string(i);
      mDaemons[i].mLocation = { "10.0.0." + std::to_string(i) + ":7000",
                                mSettings.mDaemons[i],
                                "r" };
    }
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      Start(i);
    }
  }

  void Run(ms aTime) { mTime.RunUntil(mTime.Now() + aTime); }
  bool RunUntil(const std::function<bool()>& aCondition, ms aLimit)
  {
    for (const auto end = mTime.Now() + aLimit; mTime.Now() < end && !aCondition();) {
      Run(ms{ 10 });
    }
    return aCondition();
  }

  /// Whether every daemon is ready and has every engine in state serving or ramping.
  bool AllServing() const
  {
    return std::all_of(mDaemons.begin(), mDaemons.end(), [](const daemon& aDaemon) {
      return aDaemon.mNode && aDaemon.mNode->Ready() &&
             std::all_of(aDaemon.mNode->Fleet().Engines().begin(),
                         aDaemon.mNode->Fleet().Engines().end(),
                         [](const engine_view& aView) {
                           return aView.mStatus == engine_status::Serving ||
                                  aView.mStatus == engine_status::Ramping;
                         });
    });
  }

  void Start(std::size_t aIndex)
  {
    auto& started = mDaemons[aIndex];
    Kill(aIndex);
    started.mSelf.mStartId = static_cast<std::uint64_t>(SinceStart()) + 1;
    started.mRunningSince = mTime.Now();
    node_settings settings;
    settings.mSelf = started.mSelf;
    settings.mLocation = started.mLocation;
    settings.mRandomSeed = mSettings.mSeed + aIndex * 100 + 1;
    settings.mServing.mResumeKey = "key";
    const std::set<std::string> centres(mSettings.mDaemons.begin(), mSettings.mDaemons.end());
    settings.mDataCentres.assign(centres.begin(), centres.end());
    for (const auto& each : mDaemons) {
      if (each.mSelf.mVm != started.mSelf.mVm) {
        settings.mMembership.mSeeds.push_back(each.mLocation.mAddress);
      }
    }
    started.mCounters = std::make_unique<counters>();
    started.mNode = node::Create(settings, *started.mCounters).value();
    Note(started.mSelf.mVm, "starts");
    Tick(aIndex, started.mSelf.mStartId, ms{ 1 + aIndex });
  }

  void Kill(std::size_t aIndex)
  {
    auto& killed = mDaemons[aIndex];
    if (killed.mNode) {
      Note(killed.mSelf.mVm, "is killed");
    }
    for (auto& [id, each] : mAttempts) {
      if (id.first == aIndex) {
        EndAttempt(each);
      }
    }
    killed.mNode.reset();
    killed.mPaused = killed.mStopped = false;
    killed.mBacklog.clear();
    killed.mVersions.clear();
    killed.mSeen.clear();
  }

  void Pause(std::size_t aIndex) { mDaemons[aIndex].mPaused = mDaemons[aIndex].mNode != nullptr; }
  void Resume(std::size_t aIndex)
  {
    auto& woken = mDaemons[aIndex];
    if (!std::exchange(woken.mPaused, false)) {
      return;
    }
    woken.mRunningSince = mTime.Now();
    const auto process = woken.mSelf.mStartId;
    for (auto& each : std::exchange(woken.mBacklog, {})) {
      Deliver(aIndex, process, std::move(each));
    }
  }

  void Shutdown(std::size_t aIndex)
  {
    Note(mDaemons[aIndex].mSelf.mVm, "gets SIGTERM");
    Deliver(aIndex, mDaemons[aIndex].mSelf.mStartId, shutdown_requested{});
  }

  std::uint64_t Generate(std::size_t aDaemon, std::uint64_t aTokens, bool aLimited = false)
  {
    const auto number = ++mLastRequest;
    completion_request completion;
    completion.mStreaming = true;
    completion.mModel = "m";
    completion.mPrompt = "prompt " + std::to_string(number);
    completion.mPromptTokens = 3;
    completion.mMaxTokens = aTokens;
    completion.mBody = std::to_string(number);
    world_caller caller;
    caller.mBody.mApiKeySha256 = std::string(64, aLimited ? '1' : '2');
    caller.mBody.mOperation = completion;
    caller.mTokens = aTokens;
    caller.mFirst = number;
    caller.mLimited = aLimited;
    Arrive(aDaemon, number, std::move(caller), "generation of " + std::to_string(aTokens));
    return number;
  }

  /// Sends the request of an interrupted stream again, with its resume token.
  std::uint64_t Continue(std::size_t aDaemon, std::uint64_t aBroken)
  {
    const auto number = ++mLastRequest;
    auto caller = mCallers.at(aBroken);
    caller.mBody.mResumeToken = caller.mResumeToken;
    caller.mEnds = caller.mStatus = caller.mOpenAttempts = 0;
    caller.mRan = caller.mSaidNotRun = false;
    Arrive(aDaemon,
           number,
           std::move(caller),
           "continues c" + std::to_string(aBroken) + " with its resume token");
    return number;
  }

  std::uint64_t Order(std::size_t aDaemon, const std::string& aKey)
  {
    const auto number = ++mLastRequest;
    world_caller caller;
    caller.mBody.mApiKeySha256 = std::string(64, '2');
    caller.mBody.mOperation =
      plain_request{ "POST", "/orders/1", { { "X-Number", std::to_string(number) } }, "x" };
    caller.mBody.mIdempotencyKey = aKey;
    Arrive(aDaemon, number, std::move(caller), "order with key " + aKey);
    return number;
  }

  /// An edit by one operator: read, change, conditional update. A conflict is only traced.
  void Edit(const std::string& aWho, const std::function<void(nlohmann::json&)>& aChange)
  {
    mPlatform.Call({ {}, read_object{ kTable } }, false, [this, aWho, aChange](const auto& aRead) {
      const auto* found = std::get_if<object_found>(&aRead.mResult);
      if (found == nullptr) {
        Note(aWho, "cannot read the table");
        return;
      }
      auto object = nlohmann::json::parse(found->mValue);
      const auto serial = object["table"]["serial"].template get<std::uint64_t>() + 1;
      object["table"]["serial"] = serial;
      aChange(object["table"]);
      const call_platform write{ {}, write_object{ kTable, found->mVersion, object.dump() } };
      mPlatform.Call(write, false, [this, aWho, serial](const auto& aWritten) {
        const bool accepted = std::holds_alternative<write_accepted>(aWritten.mResult);
        const bool conflict = std::holds_alternative<write_conflict>(aWritten.mResult);
        Note(aWho,
             "edit to serial " + std::to_string(serial) +
               (accepted   ? " is accepted"
                : conflict ? " is refused: the table has changed"
                           : " has no answer"));
      });
    });
  }
  void SetIntent(const std::string& aWho, std::size_t aEngine, bool aDrain)
  {
    Edit(aWho, [aEngine, aDrain](nlohmann::json& aTable) {
      aTable["engines"][aEngine]["intent"] = aDrain ? "drain" : "serve";
    });
  }

  /// Attempts that are open at a backend server.
  std::int64_t OpenAt(std::size_t aBackend) const
  {
    return std::count_if(mAttempts.begin(), mAttempts.end(), [aBackend](const auto& aEach) {
      return aEach.second.mOpen && aEach.second.mBackend == aBackend;
    });
  }
  world_caller& Caller(std::uint64_t aNumber) { return mCallers.at(aNumber); }
  bool Ended(std::uint64_t aNumber) const { return mCallers.at(aNumber).mEnds > 0; }
  bool Reaches(const std::string& aFrom, const std::string& aTo) const
  {
    return !mPartitions.contains({ aFrom, aTo }) && !mPartitions.contains({ aTo, aFrom });
  }
  std::int64_t SinceStart() const { return (mTime.Now() - mStart) / ms{ 1 }; }
  void Note(const std::string& aWho, const std::string& aText)
  {
    if (mSettings.mTrace) {
      mTrace.push_back(std::to_string(SinceStart()) + " " + aWho + " " + aText);
    }
  }
  void ReportViolation(const std::string& aText)
  {
    mViolations.push_back(std::to_string(SinceStart()) + " ms: " + aText);
    Note("VIOLATION", aText);
  }

  /// Updates since when each server must get no new work, and finds requests past their time limit.
  void CheckNow();

private:
  inline static const object_key kTable{ "table", "current" };

  void AddBackend(const std::string& aName, const std::string& aDataCentre, bool aPlain)
  {
    world_backend added;
    added.mEngine.mName = aName;
    added.mEngine.mVersion = "1";
    added.mEngine.mWorking = false;
    added.mAddress = "10.0.1." + std::to_string(mBackends.size()) + ":80";
    added.mDataCentre = aDataCentre;
    added.mPlain = aPlain;
    mBackends.push_back(added);
  }

  nlohmann::json FirstTable() const
  {
    auto rows = nlohmann::json::parse(R"({"serial": 1,
      "services": [{"name": "s", "kind": "model", "time_limit_ms": 10000},
                   {"name": "orders", "kind": "plain", "path_prefix": "/orders",
                    "non_idempotent": true, "time_limit_ms": 10000}],
      "models": [{"name": "m", "service": "s", "version": "1"}]})");
    rows["accounts"] = { { { "name", "low" },
                           { "api_key_sha256", std::string(64, '1') },
                           { "max_concurrent", mSettings.mLimit } },
                         { { "name", "high" }, { "api_key_sha256", std::string(64, '2') } } };
    for (const auto& each : mBackends) {
      nlohmann::json row{ { "name", each.mEngine.mName },
                          { "address", each.mAddress },
                          { "data_centre", each.mDataCentre },
                          { "service", each.mPlain ? "orders" : "s" } };
      if (!each.mPlain) {
        row["model"] = "m";
        row["checks_fencing"] = true;
      }
      rows[each.mPlain ? "backends" : "engines"].push_back(row);
    }
    return rows;
  }

  void Tick(std::size_t aIndex, std::uint64_t aProcess, ms aAfter)
  {
    mTime.After(aAfter, [this, aIndex, aProcess] {
      const auto& ticked = mDaemons[aIndex];
      if (!ticked.mNode || ticked.mSelf.mStartId != aProcess) {
        return;
      }
      if (!ticked.mPaused) {
        Deliver(aIndex, aProcess, tick{});
      }
      Tick(aIndex, aProcess, mSettings.mTick);
    });
  }

  void Arrive(std::size_t aDaemon,
              std::uint64_t aNumber,
              world_caller aCaller,
              const std::string& aWhat)
  {
    aCaller.mDaemon = aDaemon;
    aCaller.mProcess = mDaemons[aDaemon].mSelf.mStartId;
    aCaller.mSentAt = mTime.Now();
    auto body = aCaller.mBody;
    mLatestRequests[aCaller.mFirst == 0 ? aNumber : aCaller.mFirst] = aNumber;
    mCallers[aNumber] = std::move(aCaller);
    Note("c" + std::to_string(aNumber), "to " + mDaemons[aDaemon].mSelf.mVm + ": " + aWhat);
    Deliver(aDaemon, mDaemons[aDaemon].mSelf.mStartId, caller_arrived{ { aNumber }, body });
  }

  void Deliver(std::size_t aIndex, std::uint64_t aProcess, event aEvent)
  {
    auto& receiver = mDaemons[aIndex];
    if (!receiver.mNode || receiver.mSelf.mStartId != aProcess) {
      return;
    }
    if (receiver.mPaused) {
      receiver.mBacklog.push_back(std::move(aEvent));
      return;
    }
    if (const auto* arrived = std::get_if<caller_arrived>(&aEvent)) {
      // A paused daemon accepts a request only after it resumes, so the time limit starts here.
      mCallers.at(arrived->mRequest.mValue).mSentAt = mTime.Now();
    }
    if (const auto* progress = std::get_if<attempt_progress>(&aEvent)) {
      auto& known = mAttempts[{ aIndex, progress->mAttempt.mValue }];
      if (!known.mOpen) {
        return;
      }
      ++known.mProgress;
      if (!std::holds_alternative<attempt_tokens>(progress->mOutcome)) {
        EndAttempt(known);
        if (const auto* failed = std::get_if<attempt_failed>(&progress->mOutcome)) {
          Note(receiver.mSelf.mVm,
               "attempt of c" + std::to_string(known.mRequest) + " failed: " + failed->mReason);
        }
      }
    }
    auto effects = receiver.mNode->Handle(aEvent, mTime.Now(), mTime.Wall());
    CheckVersions(receiver);
    for (auto& each : effects) {
      std::visit([this, aIndex](auto& aEffect) { ApplyEffect(aIndex, aEffect); }, each);
    }
    if (mSettings.mTrace) {
      TraceStates(receiver);
    }
  }

  using attempt_key = std::pair<std::size_t, std::uint64_t>; ///< daemon and attempt

  // Apply the effects of a node (node_world_carry.h).
  template<class ignored>
  void ApplyEffect(std::size_t, const ignored&)
  {
  }
  void ApplyEffect(std::size_t aIndex, const caller_error& aError);
  void ApplyEffect(std::size_t aIndex, const caller_tokens& aTokens);
  void ApplyEffect(std::size_t aIndex, const caller_completed& aCompleted);
  void ApplyEffect(std::size_t aIndex, const caller_response& aResponse);
  void ApplyEffect(std::size_t aIndex, const start_attempt& aStart);
  void ApplyEffect(std::size_t aIndex, const cancel_attempt& aCancel);
  void ApplyEffect(std::size_t aIndex, const request_engine_state& aObserve);
  void ApplyEffect(std::size_t aIndex, const send_engine_command& aSend);
  void ApplyEffect(std::size_t aIndex, const read_cache_events& aRead);
  void ApplyEffect(std::size_t aIndex, const call_platform& aCall);
  void ApplyEffect(std::size_t aIndex, const send_to_peer& aSend);
  void ApplyEffect(std::size_t aIndex, const respond_to_peer& aAnswer);
  void ApplyEffect(std::size_t aIndex, const log_line& aLine);
  void ApplyEffect(std::size_t aIndex, const shutdown_complete& aDone);

  void Run(const attempt_key& aKey, const backend_call& aCall);
  void SendToken(const attempt_key& aKey,
                 std::uint64_t aFirst,
                 std::uint64_t aOffset,
                 std::uint64_t aTokens,
                 std::uint64_t aCrashCount);
  void Report(const attempt_key& aKey, attempt_outcome aOutcome);
  void Fail(const attempt_key& aKey, attempt_failed::cause aCause, std::string aReason, ms aAfter);
  void WatchProgress(const attempt_key& aKey, ms aLimit, ms aNextLimit);
  void EndAttempt(attempt& aAttempt);
  void End(std::size_t aIndex, std::uint64_t aNumber);
  engine_command_result Take(world_backend& aEngine, const send_engine_command& aSend);
  void Watch(std::size_t aIndex, std::uint64_t aProcess, call_platform aCall, instant aUntil);
  vm_list VmList() const;
  void CheckVersions(daemon& aDaemon);
  void CheckStart(const daemon& aDaemon, const world_backend& aBackend);
  void TraceStates(daemon& aDaemon);
  void TraceState(daemon& aDaemon, const std::string& aWhat, const std::string& aState);

  std::size_t BackendAt(const std::string& aAddress) const
  {
    for (std::size_t i = 0; i < mBackends.size(); ++i) {
      if (mBackends[i].mAddress == aAddress) {
        return i;
      }
    }
    throw std::logic_error("no backend server at " + aAddress);
  }
  ms LinkDelay() { return std::chrono::duration_cast<ms>(mTime.UpTo(mLinkDelay)) + ms{ 1 }; }

  /// A peer request in flight, keyed by the call id that the receiver replies to.
  struct peer_call
  {
    std::size_t mFrom = 0;
    std::uint64_t mProcess = 0;
    peer_call_id mCall;
    std::size_t mTo = 0;
  };

  instant mStart;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastPeerCall = 0;
  std::map<attempt_key, attempt> mAttempts;
  std::map<std::uint64_t, peer_call> mPeerCalls;
  std::set<std::tuple<std::size_t, std::uint64_t, std::uint64_t>> mAnswered;
  std::map<std::uint64_t, std::uint64_t> mLatestRequests; ///< newest request of each stream
};

} // namespace skylarkwind

#include "node_world_carry.h"
