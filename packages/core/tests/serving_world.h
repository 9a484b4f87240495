#pragma once

#include "skylarkwind/serving.h"

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Fails a test from within a fake, which cannot use the assertions of the test framework.
inline void
RequireInTest(bool aHolds, const std::string& aText)
{
  if (!aHolds) {
    throw std::logic_error(aText);
  }
}

/// Fake of the fleet. A test sets the states of its backend servers directly.
class fake_backends final : public fleet
{
public:
  std::vector<engine_view> mEngines;
  std::vector<engine_view> mBackends;
  std::map<std::string, int, std::less<>> mOpen; ///< open attempts by backend server
  std::vector<bool> mHealth;                     ///< of ended attempts: false if failed
  std::vector<engine_report> mReports;

  engine_view& At(std::string_view aName)
  {
    for (auto* views : { &mEngines, &mBackends }) {
      for (auto& view : *views) {
        if (view.mName == aName) {
          return view;
        }
      }
    }
    throw std::logic_error("no such engine");
  }

  std::span<const engine_view> Engines() const override { return mEngines; }
  std::span<const engine_view> Backends() const override { return mBackends; }
  std::string Explain(std::string_view) const override { return {}; }
  void OnAttemptStarted(std::string_view aName, instant) override
  {
    RequireInTest(At(aName).Admits(),
                  "an attempt was started at an engine that does not admit requests");
    ++mOpen[std::string{ aName }];
    ++At(aName).mInFlight;
  }
  void OnAttemptEnded(std::string_view aName, attempt_health aHealth, instant) override
  {
    RequireInTest(--mOpen[std::string{ aName }] >= 0, "an attempt ended that was never started");
    --At(aName).mInFlight;
    mHealth.push_back(aHealth != attempt_health::Failed);
  }
  void OnReport(const engine_report& aReport, instant, effect_list&) override
  {
    mReports.push_back(aReport);
  }
  void OnTable(const table&, instant, effect_list&) override {}
  void OnFleetObject(std::string_view, const fleet_object&, instant, effect_list&) override {}
  void OnVmList(const vm_list&, instant, effect_list&) override {}
  void OnObserved(const engine_state_received&, instant, effect_list&) override {}
  void OnTick(instant, effect_list&) override {}
};

/// Limits with a fixed number of tickets each; limits that are not listed are always granted.
class fake_shares final : public limit_shares
{
public:
  std::map<std::string, int> mAvailableTickets;
  bool mIncreaseRequested = false; ///< denials say that a larger share was requested
  std::map<std::uint64_t, std::vector<std::string>> mHeld; ///< limits of each open ticket

  limit_decision TryAcquire(std::span<const std::string> aLimits, instant, instant) override
  {
    for (const auto& limit : aLimits) {
      if (mAvailableTickets.contains(limit) && mAvailableTickets[limit] <= 0) {
        return limit_denied{ limit, std::chrono::milliseconds{ 100 }, !mIncreaseRequested };
      }
    }
    for (const auto& limit : aLimits) {
      mAvailableTickets.contains(limit) ? --mAvailableTickets[limit] : 0;
    }
    mHeld[++mLast] = { aLimits.begin(), aLimits.end() };
    return limit_ticket{ mLast };
  }
  void Release(limit_ticket aTicket, instant) override
  {
    const auto found = mHeld.find(aTicket.mNumber);
    RequireInTest(found != mHeld.end(), "a ticket was released twice");
    for (const auto& limit : found->second) {
      mAvailableTickets.contains(limit) ? ++mAvailableTickets[limit] : 0;
    }
    mHeld.erase(found);
  }
  void OnTable(const table&, instant) override {}
  void OnVmList(const vm_list&, instant) override {}
  void OnTick(instant, effect_list&) override {}
  void OnPlatformReply(const platform_replied&, instant, effect_list&) override {}
  void OnShutdown(instant, effect_list&) override {}
  std::vector<share_view> View() const override { return {}; }

private:
  std::uint64_t mLast = 0;
};

/// Claim store that decides only in `TakeDecisions`, from what was recorded before.
class fake_claim_store final : public request_claims
{
public:
  enum class state
  {
    Claimed,
    Done,
    Unknown
  };
  struct entry
  {
    state mState = state::Claimed;
    std::string mFingerprint;
    attempt_response mOutcome;
  };
  struct claim_request
  {
    request_id mRequest;
    std::string mKey;
    std::string mFingerprint;
  };
  bool mAvailable = true;
  std::vector<claim_request> mPendingRequests;
  std::map<std::string, entry> mEntries;
  std::unordered_map<request_id, std::string> mGranted; ///< keys of granted, unsettled requests

  claim_verdict Decide(const claim_request& aRequest)
  {
    if (!mAvailable) {
      return claim_unavailable{ "the platform is unavailable" };
    }
    const auto found = mEntries.find(aRequest.mKey);
    if (found == mEntries.end()) {
      mEntries[aRequest.mKey] = { state::Claimed, aRequest.mFingerprint, {} };
      mGranted[aRequest.mRequest] = aRequest.mKey;
      return claim_granted{};
    }
    const auto& known = found->second;
    if (known.mFingerprint != aRequest.mFingerprint) {
      return claim_mismatch{};
    }
    if (known.mState == state::Done) {
      return claim_recorded{ known.mOutcome.mStatus, {}, known.mOutcome.mBody, true };
    }
    return known.mState == state::Unknown ? claim_verdict{ claim_unknown{} } : claim_in_progress{};
  }

  void Claim(request_id aRequest,
             std::string_view aKey,
             std::string_view aFingerprint,
             instant,
             instant,
             effect_list&) override
  {
    mPendingRequests.push_back({ aRequest, std::string{ aKey }, std::string{ aFingerprint } });
  }
  void Record(request_id aRequest, const attempt_response& aOutcome, instant, effect_list&) override
  {
    auto& settled = Settle(aRequest);
    settled.mState = state::Done;
    settled.mOutcome = aOutcome;
  }
  void RecordUnknown(request_id aRequest, instant, effect_list&) override
  {
    Settle(aRequest).mState = state::Unknown;
  }
  void Withdraw(request_id aRequest, instant, effect_list&) override
  {
    const auto key = mGranted.at(aRequest);
    Settle(aRequest);
    mEntries.erase(key);
  }
  std::vector<claim_decision> TakeDecisions() override
  {
    std::vector<claim_decision> decisions;
    for (const auto& asked : std::exchange(mPendingRequests, {})) {
      decisions.push_back({ asked.mRequest, Decide(asked) });
    }
    return decisions;
  }
  bool Idle() const override { return true; }
  void OnTick(instant, wall_instant, effect_list&) override {}
  void OnPlatformReply(const platform_replied&, instant, effect_list&) override {}
  bool OnPeerRequestReceived(const peer_request_received&, instant, effect_list&) override
  {
    return false;
  }
  bool OnPeerResponse(const peer_response_received&, instant, effect_list&) override
  {
    return false;
  }

private:
  entry& Settle(request_id aRequest)
  {
    const auto found = mGranted.find(aRequest);
    RequireInTest(found != mGranted.end(), "a claim was settled that is not held");
    auto& settled = mEntries.at(found->second);
    mGranted.erase(found);
    return settled;
  }
};

inline constexpr std::string_view kWorldTable = R"({
  "serial": 1,
  "services": [
    {"name": "draft", "kind": "model", "time_limit_ms": 10000, "queue_limit": 4},
    {"name": "desk", "kind": "plain", "path_prefix": "/desk", "time_limit_ms": 10000},
    {"name": "orders", "kind": "plain", "path_prefix": "/orders", "non_idempotent": true,
     "time_limit_ms": 10000},
    {"name": "bookings", "kind": "plain", "path_prefix": "/bookings", "non_idempotent": true,
     "time_limit_ms": 10000}],
  "models": [{"name": "m", "service": "draft", "version": "1"}],
  "accounts": [
    {"name": "low", "api_key_sha256":
     "1111111111111111111111111111111111111111111111111111111111111111"},
    {"name": "high", "priority": 5, "api_key_sha256":
     "2222222222222222222222222222222222222222222222222222222222222222"}],
  "backends": [
    {"name": "b1", "address": "10.0.1.1:80", "data_centre": "a", "service": "orders"},
    {"name": "b2", "address": "10.0.1.2:80", "data_centre": "a", "service": "orders"},
    {"name": "d1", "address": "10.0.1.3:80", "data_centre": "a", "service": "desk"},
    {"name": "k1", "address": "10.0.1.4:80", "data_centre": "a", "service": "bookings",
     "honours_keys": true},
    {"name": "k2", "address": "10.0.1.5:80", "data_centre": "a", "service": "bookings",
     "honours_keys": true}]
})";

/// A `serving` object among fakes, with a clock that the test advances.
class serving_world
{
public:
  fake_backends mFleet;
  fake_shares mLimits;
  fake_claim_store mClaims;
  counters mCounters;
  std::unique_ptr<serving> mServing;
  instant mNow{ std::chrono::seconds{ 100 } };
  effect_list mOut;

  explicit serving_world(int aEngines = 2, serving_settings aSettings = {})
  {
    for (int i = 1; i <= aEngines; ++i) {
      mFleet.mEngines.push_back(Engine("e" + std::to_string(i)));
    }
    const auto rows = table::Parse(kWorldTable).value();
    for (const auto& row : rows.Backends()) {
      auto view = Engine(row.mName);
      view.mService = row.mService;
      view.mModel = view.mVersion = "";
      mFleet.mBackends.push_back(view);
    }
    aSettings.mSelf = { "vm", 7 };
    aSettings.mDataCentre = "a";
    aSettings.mResumeKey = "key";
    mServing = serving::Create(aSettings, mFleet, mLimits, mClaims, mCounters).value();
    mServing->OnTable(rows, mNow);
  }

  static engine_view Engine(std::string aName, engine_role aRole = engine_role::Both)
  {
    engine_view view;
    view.mAddress = "10.0.0.1:80";
    view.mName = std::move(aName);
    view.mDataCentre = "a";
    view.mService = "draft";
    view.mModel = "m";
    view.mVersion = "1";
    view.mRole = aRole;
    view.mStatus = engine_status::Serving;
    view.mIncarnation = 1;
    return view;
  }

  static caller_request Generation(std::string aPrompt = "hello", bool aHighPriority = false)
  {
    completion_request completion;
    completion.mStreaming = true;
    completion.mModel = "m";
    completion.mPromptTokens = aPrompt.size() / 4 + 1;
    completion.mPrompt = std::move(aPrompt);
    completion.mMaxTokens = 16;
    caller_request body;
    body.mApiKeySha256 = std::string(64, aHighPriority ? '2' : '1');
    body.mOperation = std::move(completion);
    return body;
  }
  static caller_request Plain(std::string aKey,
                              std::string aBody = "x",
                              std::string aPath = "/orders/1")
  {
    caller_request body;
    body.mApiKeySha256 = std::string(64, '1');
    body.mOperation = plain_request{ "POST", std::move(aPath), {}, std::move(aBody) };
    body.mIdempotencyKey = std::move(aKey);
    return body;
  }

  request_id Send(caller_request aBody)
  {
    const request_id id{ ++mLastRequest };
    mServing->OnCaller({ id, std::move(aBody) }, mNow, mOut);
    return id;
  }
  /// Sends a request with an idempotency key and delivers the decision on its claim.
  request_id SendNonIdempotent(const std::string& aKey, std::string aBody = "x")
  {
    const auto id = Send(Plain(aKey, std::move(aBody)));
    DecideClaims();
    return id;
  }
  void DecideClaims()
  {
    for (const auto& decision : mClaims.TakeDecisions()) {
      mServing->OnClaim(decision, mNow, mOut);
    }
  }
  void Report(attempt_id aAttempt, attempt_outcome aOutcome)
  {
    mServing->OnAttempt({ aAttempt, std::move(aOutcome) }, mNow, mOut);
  }
  void Fail(attempt_id aAttempt, attempt_failed::cause aCause, int aStatus = 0)
  {
    Report(aAttempt, attempt_failed{ aCause, aStatus, "test" });
  }
  void Token(attempt_id aAttempt, std::uint64_t aOffset)
  {
    Report(aAttempt, attempt_tokens{ "t" + std::to_string(aOffset), aOffset - 1, aOffset });
  }
  /// Reports the tokens after `aFrom` up to `aOffset` in one chunk.
  void Chunk(attempt_id aAttempt, std::uint64_t aFrom, std::uint64_t aOffset)
  {
    Report(aAttempt, attempt_tokens{ TextOf(aFrom, aOffset), aFrom, aOffset });
  }
  static std::string TextOf(std::uint64_t aFrom, std::uint64_t aOffset)
  {
    std::string text;
    while (aFrom < aOffset) {
      text += "t" + std::to_string(++aFrom);
    }
    return text;
  }
  void Finish(attempt_id aAttempt) { Report(aAttempt, attempt_generated{ "stop" }); }
  void Disconnect(request_id aRequest) { mServing->OnCallerDisconnected(aRequest, mNow, mOut); }
  void Tick(int aMilliseconds = 20)
  {
    mNow += std::chrono::milliseconds{ aMilliseconds };
    mServing->OnTick(mNow, mOut);
  }
  /// Ticks until another attempt starts, for at most 3 s.
  attempt_id NextAttempt()
  {
    const auto before = All<start_attempt>().size();
    for (int i = 0; i < 150 && All<start_attempt>().size() == before; ++i) {
      Tick();
    }
    return Last<start_attempt>().mAttempt;
  }

  /// All effects of this kind so far.
  template<class kind>
  std::vector<kind> All() const
  {
    std::vector<kind> found;
    for (const auto& each : mOut) {
      if (const auto* match = std::get_if<kind>(&each)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template<class kind>
  kind Last() const
  {
    const auto all = All<kind>();
    RequireInTest(!all.empty(), "no such effect");
    return all.back();
  }

private:
  std::uint64_t mLastRequest = 0;
};

} // namespace skylarkwind
