#include "claim_bounds_p.h"
#include "claim_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class request_claims_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_claims_test);
  CPPUNIT_TEST(RepeatGetsTheRecordedOutcome);
  CPPUNIT_TEST(WithdrawnClaimIsGrantedAgain);
  CPPUNIT_TEST(LostReplyIsSettledByReading);
  CPPUNIT_TEST(OutageIsUnavailableAndLeavesNoClaim);
  CPPUNIT_TEST(ClaimThatLandsLateIsWithdrawn);
  CPPUNIT_TEST(ClaimOfDeadProcessBecomesUnknown);
  CPPUNIT_TEST(ClaimsAreBatched);
  CPPUNIT_TEST(SilentOwnerIsBypassed);
  CPPUNIT_TEST(OldOutcomesMakeRoom);
  CPPUNIT_TEST(RetentionEnds);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<claim_cluster> mCluster;
  std::map<std::uint64_t, claim_verdict> mVerdicts;
  std::uint64_t mLastRequest = 0;

public:
  void setUp() override
  {
    request_claims_settings settings;
    settings.mShards = 1;
    mCluster = std::make_unique<claim_cluster>(1, 3, settings);
    mVerdicts.clear();
    mCluster->mOnDecision = [this](std::size_t /*aCore*/, const claim_decision& aDecision) {
      CPPUNIT_ASSERT(mVerdicts.emplace(aDecision.mRequest.mValue, aDecision.mVerdict).second);
    };
    mCluster->Tick();
  }

private:
  request_id Claim(std::size_t aCore,
                   const std::string& aKey,
                   const std::string& aFingerprint = "f",
                   seconds aTime = seconds{ 30 })
  {
    const request_id request{ ++mLastRequest };
    mCluster->With(aCore, [&](auto& aClaims, auto& aOut) {
      const instant now = mCluster->mTime.Now();
      aClaims.Claim(request, aKey, aFingerprint, now + aTime, now, aOut);
    });
    return request;
  }

  template<class verdict>
  const verdict* Decided(request_id aRequest, milliseconds aLimit = milliseconds{ 7'000 })
  {
    for (const instant end = mCluster->mTime.Now() + aLimit;
         mCluster->mTime.Now() < end && !mVerdicts.contains(aRequest.mValue);) {
      mCluster->Tick();
    }
    const auto found = mVerdicts.find(aRequest.mValue);
    return found == mVerdicts.end() ? nullptr : std::get_if<verdict>(&found->second);
  }

  void Record(std::size_t aCore, request_id aRequest, const std::string& aBody)
  {
    mCluster->With(aCore, [&](auto& aClaims, auto& aOut) {
      aClaims.Record(aRequest, { 201, { { "X", "y" } }, aBody }, mCluster->mTime.Now(), aOut);
    });
    mCluster->Run(milliseconds{ 500 });
    CPPUNIT_ASSERT(mCluster->mCores[aCore].mClaims->Idle());
  }

  claim_map Stored() const
  {
    const auto value = mCluster->mPlatform.Value({ "claims", "0" });
    return value.empty() ? claim_map{} : *ParseClaims(value);
  }

  /// Guards against a second execution of a repeated request, and against a changed outcome.
  void RepeatGetsTheRecordedOutcome()
  {
    const auto first = Claim(0, "k");
    CPPUNIT_ASSERT(Decided<claim_granted>(first));
    CPPUNIT_ASSERT(Decided<claim_in_progress>(Claim(1, "k")));
    CPPUNIT_ASSERT(Decided<claim_mismatch>(Claim(1, "k", "other")));
    const std::string bytes{ "\x00\xff\"\\\n\xc3\xa9", 7 };
    Record(0, first, bytes);
    const auto* recorded = Decided<claim_recorded>(Claim(2, "k"));
    CPPUNIT_ASSERT(recorded != nullptr);
    CPPUNIT_ASSERT_EQUAL(201, recorded->mStatus);
    CPPUNIT_ASSERT_EQUAL(bytes, recorded->mBody);

    const auto second = Claim(0, "long");
    CPPUNIT_ASSERT(Decided<claim_granted>(second));
    Record(0, second, std::string(5'000, 'x'));
    recorded = Decided<claim_recorded>(Claim(1, "long"));
    CPPUNIT_ASSERT(recorded != nullptr && !recorded->mBodyRecorded && recorded->mBody.empty());
  }

  /// Guards against a key that stays blocked by a request that was never sent.
  void WithdrawnClaimIsGrantedAgain()
  {
    const auto first = Claim(0, "k");
    CPPUNIT_ASSERT(Decided<claim_granted>(first));
    mCluster->With(
      0, [&](auto& aClaims, auto& aOut) { aClaims.Withdraw(first, mCluster->mTime.Now(), aOut); });
    mCluster->Run(milliseconds{ 500 });
    CPPUNIT_ASSERT(Decided<claim_granted>(Claim(1, "k")));
  }

  /// Guards against a stored claim whose request is never sent because the write's reply was lost.
  void LostReplyIsSettledByReading()
  {
    mCluster->mPlatform.mFaults.mLoseWriteReply = 1;
    CPPUNIT_ASSERT(Decided<claim_granted>(Claim(0, "k")));
  }

  /// Guards against reporting a request as not executed while its claim blocks the key, and against
  /// a long wait.
  void OutageIsUnavailableAndLeavesNoClaim()
  {
    for (auto& core : mCluster->mCores) {
      core.mSilent = true;
    }
    mCluster->mCores[0].mMembers->mLive.clear();
    mCluster->mPlatform.mFaults.mOutage = true;
    const auto request = Claim(0, "k");
    CPPUNIT_ASSERT(Decided<claim_unavailable>(request, milliseconds{ 2'500 }));
    mCluster->mPlatform.mFaults.mOutage = false;
    mCluster->Run(seconds{ 10 });
    CPPUNIT_ASSERT(Stored().empty());
  }

  /// Guards against a claim that takes effect after its request was answered and then blocks its
  /// key, although no process will send the request.
  void ClaimThatLandsLateIsWithdrawn()
  {
    mCluster->mCores[0].mMembers->mLive.clear();
    const auto first = Claim(0, "k");
    mCluster->mPlatform.mFaults.mDelay = seconds{ 12 };
    mCluster->mPlatform.mFaults.mLoseWriteReply = 1;
    CPPUNIT_ASSERT(Decided<claim_unknown>(first, seconds{ 30 }) ||
                   Decided<claim_unavailable>(first));
    mCluster->mPlatform.mFaults = {};
    mCluster->Run(seconds{ 40 });
    CPPUNIT_ASSERT(Stored().empty());
    CPPUNIT_ASSERT(Decided<claim_granted>(Claim(1, "k")));
  }

  /// Guards against a second execution after the claiming process died, and against reporting "in
  /// progress" for ever.
  void ClaimOfDeadProcessBecomesUnknown()
  {
    CPPUNIT_ASSERT(Decided<claim_granted>(Claim(0, "k")));
    CPPUNIT_ASSERT(Decided<claim_granted>(Claim(1, "expires", "f", seconds{ 2 })));
    mCluster->Kill(0, true);
    CPPUNIT_ASSERT(Decided<claim_unknown>(Claim(2, "k")));
    mCluster->Run(seconds{ 3 });
    CPPUNIT_ASSERT(Decided<claim_unknown>(Claim(2, "expires")));
    mCluster->Run(milliseconds{ 500 });
    CPPUNIT_ASSERT(Stored().at("k").mState == claim_state::Unknown);
    CPPUNIT_ASSERT(Stored().at("expires").mState == claim_state::Unknown);
  }

  /// Guards against a platform write for each request.
  void ClaimsAreBatched()
  {
    const auto before = mCluster->mPlatform.mWrites;
    request_id last;
    for (int i = 0; i < 90; ++i) {
      last = Claim(static_cast<std::size_t>(i % 3), "k" + std::to_string(i));
    }
    mCluster->Run(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 90 }, mVerdicts.size());
    CPPUNIT_ASSERT(Decided<claim_granted>(last));
    CPPUNIT_ASSERT(mCluster->mPlatform.mWrites - before <= 3);
  }

  /// Guards against claims that fail when the preferred owner does not respond.
  void SilentOwnerIsBypassed()
  {
    for (auto& core : mCluster->mCores) {
      core.mSilent = true;
    }
    for (std::size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(Decided<claim_granted>(Claim(i, "k" + std::to_string(i))));
    }
  }

  /// Guards against an object too large for the platform, and against the loss of open claims.
  void OldOutcomesMakeRoom()
  {
    claim_map claims;
    for (int i = 0; i < 400; ++i) {
      claim_entry entry;
      entry.mState = i % 10 == 0 ? claim_state::Claimed : claim_state::Done;
      entry.mChanged = wall_instant{ seconds{ i } };
      entry.mBody = std::string(4'000, 'x');
      claims.emplace("key" + std::to_string(i), entry);
    }
    CPPUNIT_ASSERT(LimitClaimBytes(claims));
    CPPUNIT_ASSERT(ClaimsToJson(claims).size() <= kClaimBytesLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 400 }, claims.size());
    CPPUNIT_ASSERT(!claims.at("key1").mBodyRecorded && claims.at("key399").mBodyRecorded);
    CPPUNIT_ASSERT(LimitClaimBytes(claims, 20'000));
    CPPUNIT_ASSERT(claims.contains("key0") && claims.contains("key399"));
    CPPUNIT_ASSERT(!claims.contains("key1"));
    CPPUNIT_ASSERT(!LimitClaimBytes(claims, 1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, claims.size());
  }

  /// Guards against shards that grow without bound, and against outcomes removed too early.
  void RetentionEnds()
  {
    claim_map claims;
    const wall_instant start{ std::chrono::hours{ 1'000 } };
    claims["done"].mState = claim_state::Done;
    claims["done"].mChanged = start;
    claims["open"].mDeadline = start + seconds{ 60 };
    RemoveExpiredClaims(claims, start + std::chrono::hours{ 24 }, std::chrono::hours{ 24 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, claims.size());
    RemoveExpiredClaims(
      claims, start + std::chrono::hours{ 24 } + seconds{ 1 }, std::chrono::hours{ 24 });
    CPPUNIT_ASSERT(claims.contains("open") && !claims.contains("done"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_claims_test);

} // namespace skylarkwind
