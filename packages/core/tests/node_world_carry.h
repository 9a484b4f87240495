#pragma once

#include "node_world.h"

namespace skylarkwind {

inline void
node_world::ApplyEffect(std::size_t aIndex, const caller_error& aError)
{
  const auto number = aError.mRequest.mValue;
  auto& caller = mCallers.at(number);
  caller.mStatus = aError.mStatus;
  caller.mSaidNotRun = aError.mRun == run_state::NotRun;
  if (caller.mSaidNotRun && caller.mRan) {
    ReportViolation("c" + std::to_string(number) + " is told \"not run\" and was run");
  }
  Note("c" + std::to_string(number),
       "gets error " + std::to_string(aError.mStatus) + " " + aError.mCode + ", " +
         std::string{ RunStateText(aError.mRun) });
  End(aIndex, number);
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const caller_tokens& aTokens)
{
  const auto number = aTokens.mRequest.mValue;
  auto& caller = mCallers.at(number);
  const auto expected = TokenText(caller.mFirst, caller.mOffset + 1);
  if (caller.mEnds > 0 || aTokens.mOffset != caller.mOffset + 1 || aTokens.mText != expected) {
    ReportViolation("c" + std::to_string(number) +
                    " got a token that does not continue its response");
  }
  caller.mOffset = aTokens.mOffset;
  caller.mText += aTokens.mText;
  caller.mResumeToken = aTokens.mResumeToken;
  Note("c" + std::to_string(number), "gets token " + aTokens.mText);
  (void)aIndex;
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const caller_completed& aCompleted)
{
  const auto number = aCompleted.mRequest.mValue;
  auto& caller = mCallers.at(number);
  caller.mComplete = caller.mOffset == caller.mTokens;
  if (!caller.mComplete) {
    ReportViolation("c" + std::to_string(number) + " got an incomplete response");
  }
  Note("c" + std::to_string(number), "has its whole answer: " + caller.mText);
  End(aIndex, number);
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const caller_response& aResponse)
{
  const auto number = aResponse.mRequest.mValue;
  auto& caller = mCallers.at(number);
  caller.mStatus = aResponse.mStatus;
  caller.mComplete = aResponse.mBody == "done " + caller.mBody.mIdempotencyKey;
  if (!caller.mComplete) {
    ReportViolation("c" + std::to_string(number) + " got the response to another order");
  }
  std::string recorded;
  for (const auto& [name, value] : aResponse.mHeaders) {
    recorded.append(", ").append(name).append(": ").append(value);
  }
  Note("c" + std::to_string(number),
       "gets " + std::to_string(aResponse.mStatus) + " " + aResponse.mBody + recorded);
  End(aIndex, number);
}

inline void
node_world::End(std::size_t aIndex, std::uint64_t aNumber)
{
  auto& caller = mCallers.at(aNumber);
  if (++caller.mEnds > 1 || caller.mDaemon != aIndex) {
    ReportViolation("c" + std::to_string(aNumber) +
                    " got two responses, or one from another daemon");
  }
}

inline void
node_world::EndAttempt(attempt& aAttempt)
{
  if (std::exchange(aAttempt.mOpen, false)) {
    --mCallers.at(aAttempt.mRequest).mOpenAttempts;
  }
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const start_attempt& aStart)
{
  std::uint64_t number = 0;
  if (const auto* generation = std::get_if<generate_call>(&aStart.mCall)) {
    number = mLatestRequests.at(std::stoull(generation->mBody));
  } else {
    const auto& headers = std::get<plain_call>(aStart.mCall).mHeaders;
    const auto found = std::find_if(headers.begin(), headers.end(), [](const auto& aHeader) {
      return aHeader.first == "X-Number";
    });
    number = std::stoull(found->second);
  }
  const attempt_key key{ aIndex, aStart.mAttempt.mValue };
  const auto backend = BackendAt(aStart.mAddress);
  auto& started = mAttempts[key];
  started = { number, mDaemons[aIndex].mSelf.mStartId, backend };
  ++mCallers.at(number).mOpenAttempts;
  ++mAttemptsStarted;
  const auto* generation = std::get_if<generate_call>(&aStart.mCall);
  const bool resumes = generation != nullptr && generation->mResumeFrom > 0;
  Note(mDaemons[aIndex].mSelf.mVm,
       "sends c" + std::to_string(number) + " to " + aStart.mBackend +
         (resumes ? " from token " + std::to_string(generation->mResumeFrom) : ""));
  CheckStart(mDaemons[aIndex], mBackends[backend]);
  WatchProgress(key, aStart.mFirstProgressLimit, aStart.mProgressLimit);
  mTime.After(LinkDelay(), [this, key, call = aStart.mCall] { Run(key, call); });
}

inline void
node_world::CheckStart(const daemon& aDaemon, const world_backend& aBackend)
{
  int limited = 0;
  for (const auto& [number, each] : mCallers) {
    limited += each.mLimited && each.mOpenAttempts > 0 ? 1 : 0;
  }
  if (limited > static_cast<int>(mSettings.mLimit)) {
    ReportViolation("the limit of account low is exceeded: " + std::to_string(limited));
  }
  if (!aBackend.mNoWorkSince) {
    return;
  }
  // A daemon that is paused or partitioned cannot learn of the change, so the time counts from the
  // end of the fault.
  const auto since = std::max({ *aBackend.mNoWorkSince, mFaultsEnded, aDaemon.mRunningSince });
  if (mTime.Now() > since + ms{ 3'000 }) {
    ReportViolation(aDaemon.mSelf.mVm + " sends new work to " + aBackend.mEngine.mName +
                    ", which must not get any");
  }
}

inline void
node_world::Run(const attempt_key& aKey, const backend_call& aCall)
{
  using cause = attempt_failed::cause;
  auto& run = mAttempts.at(aKey);
  if (!run.mOpen) {
    return;
  }
  auto& backend = mBackends[run.mBackend];
  if (!Reaches(mDaemons[aKey.first].mLocation.mDataCentre, backend.mDataCentre)) {
    Fail(aKey, cause::NotSent, "no connection in time", ms{ 1'000 });
    return;
  }
  if (backend.Down(mTime.Now())) {
    Fail(aKey, cause::NotSent, "connection refused", ms{ 1 });
    return;
  }
  if (backend.mSilent) {
    return;
  }
  backend.mEngine.Advance(mTime.Now());
  if (backend.mEngine.Changing()) {
    Fail(aKey, cause::NotRun, "the engine changes", ms{ 1 });
    return;
  }
  auto& caller = mCallers.at(run.mRequest);
  caller.mRan = true;
  if (caller.mSaidNotRun) {
    ReportViolation("c" + std::to_string(run.mRequest) + " was told \"not run\" and runs now");
  }
  if (const auto* generation = std::get_if<generate_call>(&aCall)) {
    const auto from = generation->mResumeFrom + 1;
    mTime.After(kTokenInterval, [this, aKey, &caller, from, crashCount = backend.mCrashCount] {
      SendToken(aKey, caller.mFirst, from, caller.mTokens, crashCount);
    });
    return;
  }
  const auto& idempotencyKey = caller.mBody.mIdempotencyKey;
  if (++backend.mOrderRuns[idempotencyKey] > 1 ||
      mBackends[mSettings.mEngines.size()].mOrderRuns[idempotencyKey] +
          mBackends.back().mOrderRuns[idempotencyKey] >
        1) {
    ReportViolation("order " + idempotencyKey + " runs twice");
  }
  Note(backend.mEngine.mName, "runs order " + idempotencyKey);
  if (std::exchange(backend.mCrashesInRun, false)) {
    mTime.After(ms{ 50 }, [this, &backend] { backend.Crash(mTime.Now(), ms{ 3'000 }); });
  }
  mTime.After(ms{ 100 }, [this, aKey, &backend, idempotencyKey, crashCount = backend.mCrashCount] {
    if (backend.mCrashCount != crashCount) {
      Fail(aKey, cause::Interrupted, "connection reset", ms{ 1 });
    } else {
      Report(aKey, attempt_response{ 200, {}, "done " + idempotencyKey });
    }
  });
}

inline void
node_world::SendToken(const attempt_key& aKey,
                      std::uint64_t aFirst,
                      std::uint64_t aOffset,
                      std::uint64_t aTokens,
                      std::uint64_t aCrashCount)
{
  auto& run = mAttempts.at(aKey);
  const auto& backend = mBackends[run.mBackend];
  if (!run.mOpen) {
    return;
  }
  if (backend.mCrashCount != aCrashCount) {
    Fail(aKey, attempt_failed::cause::Interrupted, "connection reset", ms{ 1 });
    return;
  }
  if (aOffset > aTokens) {
    Report(aKey, attempt_generated{ "stop", { 3, aTokens, 0 }, {}, {} });
    return;
  }
  Report(aKey, attempt_tokens{ TokenText(aFirst, aOffset), aOffset - 1, aOffset });
  mTime.After(kTokenInterval, [this, aKey, aFirst, aOffset, aTokens, aCrashCount] {
    SendToken(aKey, aFirst, aOffset + 1, aTokens, aCrashCount);
  });
}

/// Delivers an outcome from a backend server; it is lost while the server is silent or the link is
/// partitioned.
inline void
node_world::Report(const attempt_key& aKey, attempt_outcome aOutcome)
{
  const auto& run = mAttempts.at(aKey);
  const auto& backend = mBackends[run.mBackend];
  if (backend.mSilent ||
      !Reaches(mDaemons[aKey.first].mLocation.mDataCentre, backend.mDataCentre)) {
    return;
  }
  mTime.After(ms{ 1 }, [this, aKey, process = run.mProcess, outcome = std::move(aOutcome)] {
    Deliver(aKey.first, process, attempt_progress{ { aKey.second }, outcome });
  });
}

inline void
node_world::Fail(const attempt_key& aKey,
                 attempt_failed::cause aCause,
                 std::string aReason,
                 ms aAfter)
{
  const auto process = mAttempts.at(aKey).mProcess;
  mTime.After(aAfter, [this, aKey, process, aCause, reason = std::move(aReason)] {
    Deliver(aKey.first,
            process,
            attempt_progress{ { aKey.second }, attempt_failed{ aCause, 0, reason } });
  });
}

inline void
node_world::WatchProgress(const attempt_key& aKey, ms aLimit, ms aNextLimit)
{
  const auto before = mAttempts.at(aKey).mProgress;
  mTime.After(aLimit, [this, aKey, before, aNextLimit] {
    const auto& run = mAttempts.at(aKey);
    if (!run.mOpen) {
      return;
    }
    if (run.mProgress == before) {
      Fail(aKey, attempt_failed::cause::Silent, "no progress in time", ms{ 0 });
    } else {
      WatchProgress(aKey, aNextLimit, aNextLimit);
    }
  });
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const cancel_attempt& aCancel)
{
  auto& cancelled = mAttempts.at({ aIndex, aCancel.mAttempt.mValue });
  Note(mDaemons[aIndex].mSelf.mVm,
       "cancels c" + std::to_string(cancelled.mRequest) + " at " +
         mBackends[cancelled.mBackend].mEngine.mName);
  EndAttempt(cancelled);
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const request_engine_state& aObserve)
{
  const auto process = mDaemons[aIndex].mSelf.mStartId;
  auto& backend = mBackends[BackendAt(aObserve.mAddress)];
  engine_state_received observed{ aObserve.mEngine, std::nullopt, mTime.Now() };
  const bool reached = !backend.Down(mTime.Now()) && !backend.mSilent &&
                       Reaches(mDaemons[aIndex].mLocation.mDataCentre, backend.mDataCentre);
  if (reached) {
    backend.mEngine.Advance(mTime.Now());
    observed.mReport = backend.mEngine.Report();
  }
  mTime.After(reached ? LinkDelay() : ms{ 1'000 },
              [this, aIndex, process, observed] { Deliver(aIndex, process, observed); });
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const send_engine_command& aSend)
{
  const auto process = mDaemons[aIndex].mSelf.mStartId;
  const auto& order = aSend.mOrder;
  Note(mDaemons[aIndex].mSelf.mVm,
       "orders " + aSend.mEngine + " to " + std::string{ RoleText(order.mRole) } + " version " +
         order.mVersion + ", fencing " + std::to_string(order.mFencing));
  const auto there =
    mTime.Chance(mDelayProbability) ? ms{ 1'000 + mTime.Below(20'000) } : LinkDelay();
  const bool lost = mTime.Chance(mLoseOrderReply) || there >= ms{ 1'000 };
  const auto answer = [this, aIndex, process, aSend](engine_command_result aResult, ms aAfter) {
    mTime.After(aAfter, [this, aIndex, process, aSend, aResult] {
      Deliver(
        aIndex, process, engine_command_completed{ aSend.mEngine, aSend.mOrder.mOrder, aResult });
    });
  };
  if (lost) {
    answer(engine_command_result::NoAnswer, ms{ 1'000 });
  }
  mTime.After(there, [this, aIndex, aSend, lost, answer] {
    auto& engine = mBackends[BackendAt(aSend.mAddress)];
    auto result = engine_command_result::NoAnswer;
    if (!engine.Down(mTime.Now()) && !engine.mSilent &&
        Reaches(mDaemons[aIndex].mLocation.mDataCentre, engine.mDataCentre)) {
      result = Take(engine, aSend);
    }
    if (!lost) {
      answer(result, result == engine_command_result::NoAnswer ? ms{ 1'000 } : ms{ 1 });
    }
  });
}

inline engine_command_result
node_world::Take(world_backend& aEngine, const send_engine_command& aSend)
{
  auto& engine = aEngine.mEngine;
  engine.Advance(mTime.Now());
  const bool changing = engine.Changing();
  const auto result = engine.Take(aSend.mOrder, mTime.Now() > aSend.mNotAfter, mTime.Now());
  if (result != engine_command_result::Accepted) {
    return result;
  }
  ++mOrdersAccepted;
  Note(engine.mName, "takes the order");
  if (changing) {
    ReportViolation(engine.mName + " got a second order while it changed");
  }
  const auto lease = lease_record::Parse(mPlatform.Value({ "lease", aEngine.mDataCentre }));
  if (!lease.ok() || lease->mFencing != aSend.mOrder.mFencing) {
    ReportViolation(engine.mName + " took a stale order with fencing " +
                    std::to_string(aSend.mOrder.mFencing));
  }
  return result;
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const read_cache_events& aRead)
{
  Deliver(aIndex,
          mDaemons[aIndex].mSelf.mStartId,
          cache_events_read{ aRead.mEngine, 1, {}, aRead.mAfter });
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const call_platform& aCall)
{
  const auto process = mDaemons[aIndex].mSelf.mStartId;
  const bool partitioned = !Reaches(mDaemons[aIndex].mLocation.mDataCentre, "platform");
  if (const auto* watch = std::get_if<watch_object>(&aCall.mOperation)) {
    Watch(aIndex, process, aCall, mTime.Now() + watch->mWait);
    return;
  }
  if (std::holds_alternative<read_vm_list>(aCall.mOperation)) {
    const bool away = partitioned || mPlatform.mFaults.mOutage;
    mTime.After(away ? ms{ 1'000 } : LinkDelay(), [this, aIndex, process, aCall, away] {
      const auto result = away ? platform_result{ platform_outcome_unknown{ "time limit" } }
                               : platform_result{ VmList() };
      Deliver(aIndex, process, platform_replied{ aCall.mCall, result });
    });
    return;
  }
  mPlatform.Call(aCall, partitioned, [this, aIndex, process](const platform_replied& aReply) {
    Deliver(aIndex, process, aReply);
  });
}

/// Simulates a watch by polling until the version is above the requested one.
inline void
node_world::Watch(std::size_t aIndex, std::uint64_t aProcess, call_platform aCall, instant aUntil)
{
  const auto& watch = std::get<watch_object>(aCall.mOperation);
  const bool partitioned = !Reaches(mDaemons[aIndex].mLocation.mDataCentre, "platform");
  const call_platform read{ aCall.mCall, read_object{ watch.mKey } };
  mPlatform.Call(
    read, partitioned, [this, aIndex, aProcess, aCall, aUntil](platform_replied aReply) {
      const auto after = std::get<watch_object>(aCall.mOperation).mAfterVersion;
      const auto* found = std::get_if<object_found>(&aReply.mResult);
      if (found == nullptr || found->mVersion > after) {
        Deliver(aIndex, aProcess, std::move(aReply));
      } else if (mTime.Now() >= aUntil) {
        Deliver(aIndex, aProcess, platform_replied{ aCall.mCall, object_unchanged{} });
      } else if (mDaemons[aIndex].mNode && mDaemons[aIndex].mSelf.mStartId == aProcess) {
        mTime.After(ms{ 100 }, [this, aIndex, aProcess, aCall, aUntil] {
          Watch(aIndex, aProcess, aCall, aUntil);
        });
      }
    });
}

inline vm_list
node_world::VmList() const
{
  vm_list list;
  for (const auto& each : mDaemons) {
    list.mVms.push_back(
      { each.mSelf.mVm, each.mLocation.mAddress, each.mLocation.mDataCentre, vm_kind::Entry });
  }
  for (const auto& each : mBackends) {
    list.mVms.push_back(
      { each.mEngine.mName, each.mAddress, each.mDataCentre, vm_kind::Backend, !each.mListed });
  }
  return list;
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const send_to_peer& aSend)
{
  const auto process = mDaemons[aIndex].mSelf.mStartId;
  const auto answered = std::tuple{ aIndex, process, aSend.mCall.mValue };
  mTime.After(aSend.mTimeLimit, [this, aIndex, process, answered, call = aSend.mCall] {
    if (mAnswered.erase(answered) == 0) {
      mAnswered.insert(answered); // A later reply is dropped.
      Deliver(aIndex, process, peer_response_received{ call, std::nullopt });
    }
  });
  for (std::size_t to = 0; to < mDaemons.size(); ++to) {
    if (mDaemons[to].mLocation.mAddress != aSend.mAddress ||
        !Reaches(mDaemons[aIndex].mLocation.mDataCentre, mDaemons[to].mLocation.mDataCentre)) {
      continue;
    }
    const int copies = mTime.Chance(mDuplicateProbability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto number = ++mLastPeerCall;
      mPeerCalls[number] = { aIndex, process, aSend.mCall, to };
      const auto delay = mTime.Chance(mDelayProbability) ? ms{ mTime.Below(3'000) } : LinkDelay();
      mTime.After(delay, [this, to, number, message = aSend.mMessage] {
        Deliver(to, mDaemons[to].mSelf.mStartId, peer_request_received{ { number }, message });
      });
    }
  }
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const respond_to_peer& aAnswer)
{
  const auto asked = mPeerCalls.extract(aAnswer.mCall.mValue);
  if (asked.empty()) {
    ReportViolation(mDaemons[aIndex].mSelf.mVm + " replied twice to one peer request");
    return;
  }
  const auto peerCall = asked.mapped();
  if (!Reaches(mDaemons[aIndex].mLocation.mDataCentre,
               mDaemons[peerCall.mFrom].mLocation.mDataCentre)) {
    return;
  }
  mTime.After(LinkDelay(), [this, peerCall, reply = aAnswer.mReply] {
    if (mAnswered.emplace(peerCall.mFrom, peerCall.mProcess, peerCall.mCall.mValue).second) {
      Deliver(peerCall.mFrom, peerCall.mProcess, peer_response_received{ peerCall.mCall, reply });
    }
  });
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const log_line& aLine)
{
  Note(mDaemons[aIndex].mSelf.mVm, "logs " + aLine.mPrefix + ": " + aLine.mText);
}

inline void
node_world::ApplyEffect(std::size_t aIndex, const shutdown_complete&)
{
  mDaemons[aIndex].mStopped = true;
  Note(mDaemons[aIndex].mSelf.mVm, "has shut down");
}

inline void
node_world::CheckVersions(daemon& aDaemon)
{
  for (const auto& document : aDaemon.mNode->Documents().Versions()) {
    auto& last = aDaemon.mVersions[document.mName];
    if (document.mVersion < last) {
      ReportViolation(aDaemon.mSelf.mVm + ": the version of " + document.mName + " decreased");
    }
    last = document.mVersion;
  }
}

inline void
node_world::TraceState(daemon& aDaemon, const std::string& aWhat, const std::string& aState)
{
  auto& seen = aDaemon.mSeen[aWhat];
  if (seen != aState) {
    Note(aDaemon.mSelf.mVm, aWhat + ": " + (seen.empty() ? "" : seen + " -> ") + aState);
    seen = aState;
  }
}

inline void
node_world::TraceStates(daemon& aDaemon)
{
  const auto& traced = *aDaemon.mNode;
  TraceState(aDaemon, "table serial", std::to_string(traced.Table().Serial()));
  TraceState(aDaemon,
             "authority",
             traced.Control().HoldsLease(mTime.Now())
               ? "held with fencing " + std::to_string(traced.Control().Fencing())
               : "not held");
  for (const auto& view : traced.Fleet().Engines()) {
    TraceState(aDaemon, view.mName, std::string{ EngineStatusText(view.mStatus) });
  }
}

inline void
node_world::CheckNow()
{
  for (std::size_t i = 0; i < mSettings.mEngines.size() + 2; ++i) {
    auto& backend = mBackends[i];
    const auto object = nlohmann::json::parse(mPlatform.Value(kTable));
    const auto& rows = object["table"][backend.mPlain ? "backends" : "engines"];
    bool noWork = !backend.mListed;
    for (const auto& row : rows) {
      noWork = noWork || (row["name"] == backend.mEngine.mName &&
                          row.value("intent", std::string{ "serve" }) == "drain");
    }
    if (!noWork) {
      backend.mNoWorkSince.reset();
    } else if (!backend.mNoWorkSince) {
      backend.mNoWorkSince = mTime.Now();
    }
  }
  for (const auto& [number, caller] : mCallers) {
    const auto& served = mDaemons[caller.mDaemon];
    if (caller.mEnds == 0 && served.mNode && !served.mPaused &&
        served.mSelf.mStartId == caller.mProcess &&
        mTime.Now() > std::max(caller.mSentAt + kTimeLimit, served.mRunningSince) + ms{ 300 }) {
      ReportViolation("c" + std::to_string(number) + " has no response within its time limit");
    }
  }
}

} // namespace skylarkwind
