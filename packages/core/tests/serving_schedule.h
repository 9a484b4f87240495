#pragma once

#include "serving_world.h"

#include <optional>
#include <tuple>
#include <variant>

namespace skylarkwind {

/// Applies generated events to a `serving_world` and checks the invariants after each of them.
class serving_schedule
{
public:
  /// Kind of an event and two numbers that determine its details.
  using step = std::tuple<int, std::uint32_t, std::uint32_t>;
  static constexpr int kKinds = 15;

  serving_schedule()
    : mWorld(2)
  {
    mWorld.mFleet.mEngines.push_back(serving_world::Engine("p", engine_role::Prefill));
    mWorld.mFleet.mEngines.push_back(serving_world::Engine("q", engine_role::Decode));
    for (auto& view : mWorld.mFleet.mEngines) {
      view.mReport.mPrefillTokensPerSecond = 10'000;
      view.mReportSampledAt = mWorld.mNow;
    }
    mWorld.mLimits.mAvailableTickets[AccountLimit("low")] = 6;
    mWorld.mLimits.mAvailableTickets[RoleLimit("draft", engine_role::Decode)] = 2;
  }

  void Run(const std::vector<step>& aSteps)
  {
    for (const auto& [kind, first, second] : aSteps) {
      Apply(kind, first, second);
      Check();
    }
    Drain();
  }

private:
  struct caller
  {
    caller_request mBody;
    bool mNonIdempotent = false;
    std::uint64_t mFrom = 0; ///< offset of its resume token; 0 if it had none
    std::uint64_t mDelivered = 0;
    std::string mText;
    bool mDisconnected = false;
    int mEndCount = 0;
  };
  struct attempt
  {
    request_id mRequest;
    std::string mBackend;
    std::uint64_t mNext = 0; ///< offset of the last token reported
    bool mGenerates = false;
    bool mPrefill = false;
    instant mStartedAt{};
    bool mOpen = true;
    bool mMayHaveRun = true;
    bool mNotSent = false;
  };

  static void Require(bool aHolds, const std::string& aText) { RequireInTest(aHolds, aText); }

  void Apply(int aKind, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    using cause = attempt_failed::cause;
    constexpr std::array kCauses = {
      cause::NotSent, cause::NotRun, cause::Rejected, cause::Interrupted, cause::Silent
    };
    const auto open = OpenAttempts();
    const auto picked = open.empty() ? attempt_id{} : open[aFirst % open.size()];
    switch (aKind) {
      case 0:
        return ArriveGeneration(aFirst, aSecond);
      case 1:
        return ArrivePlain(aFirst, aSecond);
      case 2:
      case 3:
      case 4:
        return SendToken(picked, aSecond);
      case 5:
        return FinishAttempt(picked);
      case 6:
      case 7:
        if (picked.mValue != 0) {
          EndAttempt(picked, kCauses[aSecond % kCauses.size()]);
          mWorld.Fail(picked, kCauses[aSecond % kCauses.size()], 422);
        }
        return;
      case 8:
        return LateEvent(aFirst, aSecond);
      case 9:
        return DisconnectCaller(aFirst);
      case 10:
        return ChangeState(aFirst, aSecond);
      case 11:
        mWorld.mClaims.mAvailable = aFirst % 4 != 0;
        return mWorld.DecideClaims();
      case 12:
        mWorld.mLimits.mIncreaseRequested = aFirst % 2 == 0;
        return mWorld.Tick(static_cast<int>(aSecond % 6'000));
      case 13:
        ArrivePlain(aFirst, aSecond);
        return mWorld.DecideClaims();
      default:
        return mWorld.Tick();
    }
  }

  void ArriveGeneration(std::uint32_t aFirst, std::uint32_t aSecond)
  {
    caller next;
    next.mBody =
      serving_world::Generation(std::string(aSecond % 3 == 0 ? 40'000 : 20, 'x'), aFirst % 4 == 0);
    if (aFirst % 5 == 0) {
      next.mBody.mTimeLimit = std::chrono::milliseconds{ aSecond % 3'000 };
    }
    if (aFirst % 3 == 0 && !mTokens.empty()) {
      const auto& [token, offset, body] = mTokens[aSecond % mTokens.size()];
      next.mBody = body;
      next.mBody.mResumeToken = token;
      next.mFrom = next.mDelivered = offset;
    }
    Arrive(std::move(next));
  }

  void ArrivePlain(std::uint32_t aFirst, std::uint32_t aSecond)
  {
    constexpr std::array<const char*, 3> kPaths = { "/orders/1", "/bookings/1", "/desk/1" };
    caller next;
    next.mBody = serving_world::Plain("key" + std::to_string(aSecond % 3),
                                      aFirst % 7 == 0 ? "other" : "x",
                                      kPaths[aFirst % kPaths.size()]);
    if (aFirst % 3 == 2 && aSecond % 2 == 0) {
      next.mBody.mIdempotencyKey.clear();
    }
    next.mNonIdempotent = !next.mBody.mIdempotencyKey.empty();
    Arrive(std::move(next));
  }

  /// Sends the request with its number in the body or a header, so that its attempts can be
  /// matched.
  void Arrive(caller aCaller)
  {
    const auto number = std::to_string(mCallers.size() + 1);
    auto body = aCaller.mBody;
    if (auto* completion = std::get_if<completion_request>(&body.mOperation)) {
      completion->mBody = number;
    } else {
      std::get<plain_request>(body.mOperation).mHeaders = { { "X-Number", number } };
    }
    mCallers.push_back(std::move(aCaller));
    mWorld.Send(std::move(body));
  }

  void SendToken(attempt_id aAttempt, std::uint32_t aDetail)
  {
    if (aAttempt.mValue == 0 || !At(aAttempt).mGenerates || At(aAttempt).mPrefill) {
      return;
    }
    auto& state = At(aAttempt);
    if (aDetail % 8 == 0 && state.mNext > 0) {
      mWorld.Token(aAttempt, 1 + aDetail % state.mNext); // a duplicate
    } else if (aDetail % 16 == 1) {
      mWorld.Token(aAttempt, state.mNext + 2); // a gap
    } else {
      const auto from = std::exchange(state.mNext, state.mNext + 1 + aDetail % 3);
      mWorld.Chunk(aAttempt, from, state.mNext);
    }
  }

  void FinishAttempt(attempt_id aAttempt)
  {
    if (aAttempt.mValue == 0) {
      return;
    }
    auto& state = At(aAttempt);
    state.mOpen = false;
    if (!state.mGenerates) {
      mWorld.Report(aAttempt, attempt_response{ 200, {}, "done" });
    } else {
      attempt_generated end{ "stop", { 1, state.mNext, 0 } };
      if (state.mPrefill) {
        end.mKv = kv_source{ "10.0.0.9:1", "h" };
      }
      mWorld.Report(aAttempt, end);
    }
  }

  /// Records the failure as the backend server knows it, before it is reported to `serving`.
  void EndAttempt(attempt_id aAttempt, attempt_failed::cause aCause)
  {
    using cause = attempt_failed::cause;
    auto& ended = At(aAttempt);
    ended.mOpen = false;
    ended.mNotSent = aCause == cause::NotSent;
    const bool silentOrLost = aCause == cause::Interrupted || aCause == cause::Silent;
    const auto& from = mCallers[ended.mRequest.mValue - 1];
    ended.mMayHaveRun = silentOrLost || (ended.mGenerates && from.mDelivered > from.mFrom);
  }

  void LateEvent(std::uint32_t aFirst, std::uint32_t aSecond)
  {
    std::vector<attempt_id> closed;
    for (const auto& [id, each] : mAttempts) {
      if (!each.mOpen) {
        closed.push_back({ id });
      }
    }
    if (closed.empty()) {
      return;
    }
    const auto picked = closed[aFirst % closed.size()];
    const auto before = mWorld.mOut.size();
    if (aSecond % 3 == 0) {
      mWorld.Token(picked, At(picked).mNext + 1);
    } else if (aSecond % 3 == 1) {
      mWorld.Finish(picked);
    } else {
      mWorld.Fail(picked, attempt_failed::cause::Interrupted);
    }
    Require(mWorld.mOut.size() == before, "an event of a closed attempt has an effect");
  }

  void DisconnectCaller(std::uint32_t aWhich)
  {
    if (!mCallers.empty()) {
      const auto index = aWhich % mCallers.size();
      mCallers[index].mDisconnected =
        mCallers[index].mDisconnected || mCallers[index].mEndCount == 0;
      mWorld.Disconnect({ index + 1 });
    }
  }

  void ChangeState(std::uint32_t aWhich, std::uint32_t aState)
  {
    constexpr std::array kStates = { engine_status::Serving,  engine_status::Serving,
                                     engine_status::Ramping,  engine_status::Draining,
                                     engine_status::Changing, engine_status::Absent };
    auto& views = aWhich % 3 == 0 ? mWorld.mFleet.mBackends : mWorld.mFleet.mEngines;
    auto& view = views[(aWhich / 3) % views.size()];
    view.mStatus = kStates[aState % kStates.size()];
    view.mInFlightLimit = 1 + aState % 2;
  }

  /// Checks the effects since the last call and the state of the fakes.
  void Check()
  {
    for (; mCheckedEffects < mWorld.mOut.size(); ++mCheckedEffects) {
      std::visit([this](const auto& aEffect) { Observe(aEffect); }, mWorld.mOut[mCheckedEffects]);
    }
    std::map<std::string, int, std::less<>> open;
    for (const auto& [id, each] : mAttempts) {
      open[each.mBackend] += each.mOpen ? 1 : 0;
    }
    for (const auto& [name, count] : mWorld.mFleet.mOpen) {
      Require(open[name] == count, "starts and ends of attempts at " + name + " do not match");
    }
    Require(mWorld.mLimits.mHeld.size() >= OpenAttempts().size(),
            "an attempt runs without a ticket");
    if (mWorld.mServing->Idle()) {
      Require(mWorld.mLimits.mHeld.empty(), "a ticket is held although no request is open");
      Require(mWorld.mClaims.mGranted.empty(), "a claim is held although no request is open");
    }
  }

  template<class other>
  void Observe(const other&)
  {
  }

  void Observe(const start_attempt& aStart)
  {
    const auto* generate = std::get_if<generate_call>(&aStart.mCall);
    const auto request = FindRequest(aStart);
    auto& from = mCallers[request.mValue - 1];
    Require(!from.mDisconnected && from.mEndCount == 0,
            "an attempt starts for a request that has ended");
    if (generate != nullptr) {
      Require(generate->mResumeFrom == from.mDelivered, "an attempt resumes at the wrong offset");
      Require(generate->mPriorText == (from.mFrom == 0 ? from.mText : ""),
              "the prior text differs");
    }
    if (from.mNonIdempotent) {
      CheckNonIdempotent(request, aStart);
    }
    mAttempts[aStart.mAttempt.mValue] = { request,
                                          aStart.mBackend,
                                          from.mDelivered,
                                          generate != nullptr,
                                          generate != nullptr && generate->mPrefillOnly,
                                          mWorld.mNow };
  }

  /// A request is sent again only after an attempt of which no byte was sent. A key that may have
  /// run is never sent again, except to the backend server that honours it.
  void CheckNonIdempotent(request_id aRequest, const start_attempt& aStart)
  {
    const auto& body = mCallers[aRequest.mValue - 1].mBody;
    const auto path = std::get<plain_request>(body.mOperation).mPath;
    for (const auto& [id, each] : mAttempts) {
      if (each.mRequest == aRequest) {
        Require(each.mNotSent, "a non-idempotent request is sent twice");
      }
      const auto& other = mCallers[each.mRequest.mValue - 1].mBody;
      if (each.mMayHaveRun && other.mIdempotencyKey == body.mIdempotencyKey && !each.mGenerates &&
          std::get<plain_request>(other.mOperation).mPath == path) {
        Require(path == "/bookings/1" && each.mBackend == aStart.mBackend,
                "a request with the same key may run twice");
      }
    }
  }

  static request_id FindRequest(const start_attempt& aStart)
  {
    const auto* generate = std::get_if<generate_call>(&aStart.mCall);
    return { std::stoull(generate != nullptr
                           ? generate->mBody
                           : std::get<plain_call>(aStart.mCall).mHeaders.front().second) };
  }

  void Observe(const cancel_attempt& aCancel)
  {
    auto& cancelled = At(aCancel.mAttempt);
    Require(cancelled.mOpen, "an attempt is cancelled that is not open");
    // The outcome of a request that was sent is awaited for 30 s after its deadline.
    Require(!mCallers[cancelled.mRequest.mValue - 1].mNonIdempotent ||
              mWorld.mNow - cancelled.mStartedAt >= std::chrono::seconds{ 30 },
            "a non-idempotent request is cancelled");
    cancelled.mOpen = false;
  }

  void Observe(const caller_tokens& aTokens)
  {
    auto& to = mCallers[aTokens.mRequest.mValue - 1];
    Require(!to.mDisconnected && to.mEndCount == 0, "a token is delivered after the request ended");
    Require(aTokens.mOffset > to.mDelivered, "a token is repeated");
    Require(aTokens.mText == serving_world::TextOf(to.mDelivered, aTokens.mOffset),
            "a token is skipped or has the text of another one");
    to.mDelivered = aTokens.mOffset;
    to.mText += aTokens.mText;
    mTokens.emplace_back(aTokens.mResumeToken, aTokens.mOffset, to.mBody);
  }

  void Observe(const caller_completed& aCompleted) { ObserveEnd(aCompleted.mRequest); }
  void Observe(const caller_response& aResponse) { ObserveEnd(aResponse.mRequest); }
  void Observe(const caller_error& aError)
  {
    ObserveEnd(aError.mRequest);
    for (const auto& [id, each] : mAttempts) {
      Require(aError.mRun != run_state::NotRun || each.mRequest != aError.mRequest ||
                !each.mMayHaveRun,
              "a request that may have run is refused as not run");
    }
  }
  void ObserveEnd(request_id aRequest)
  {
    auto& ended = mCallers[aRequest.mValue - 1];
    Require(!ended.mDisconnected && ++ended.mEndCount == 1, "a request ends twice");
  }

  /// Completes all open work and checks that every request ends.
  void Drain()
  {
    for (auto* views : { &mWorld.mFleet.mEngines, &mWorld.mFleet.mBackends }) {
      for (auto& view : *views) {
        view.mStatus = engine_status::Serving;
      }
    }
    for (int i = 0; i < 3'000 && !mWorld.mServing->Idle(); ++i) {
      mWorld.DecideClaims();
      Check();
      for (const auto id : OpenAttempts()) {
        FinishAttempt(id);
        Check();
      }
      mWorld.Tick();
      Check();
    }
    Require(mWorld.mServing->Idle(), "a request never ends");
    for (const auto& each : mCallers) {
      Require(each.mEndCount == (each.mDisconnected ? 0 : 1),
              "a request has no end, or one after its caller disconnected");
    }
  }

  std::vector<attempt_id> OpenAttempts() const
  {
    std::vector<attempt_id> open;
    for (const auto& [id, each] : mAttempts) {
      if (each.mOpen) {
        open.push_back({ id });
      }
    }
    return open;
  }
  attempt& At(attempt_id aAttempt) { return mAttempts.at(aAttempt.mValue); }

  serving_world mWorld;
  std::vector<caller> mCallers; ///< the caller of request n is at n - 1
  std::map<std::uint64_t, attempt> mAttempts;
  std::vector<std::tuple<std::string, std::uint64_t, caller_request>> mTokens;
  std::size_t mCheckedEffects = 0;
};

} // namespace skylarkwind
