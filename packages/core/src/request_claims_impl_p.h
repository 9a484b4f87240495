#pragma once

#include "claim_shard_p.h"

#include <map>
#include <unordered_map>

namespace skylarkwind {

/// Handles claims of this process and of others that send them to it as the preferred owner.
///
/// An attempt is granted at most once, by this process, when its claim is seen stored. A claim of
/// this process that is found stored, but whose attempt is not open here, was never sent: it is
/// withdrawn.
class request_claims_impl final : public request_claims
{
public:
  request_claims_impl(request_claims_settings aSettings, const membership& aMembers);

  void Claim(request_id aRequest,
             std::string_view aKey,
             std::string_view aFingerprint,
             instant aDeadline,
             instant aNow,
             effect_list& aOut) override;
  void Record(request_id aRequest,
              const attempt_response& aOutcome,
              instant aNow,
              effect_list& aOut) override;
  void RecordUnknown(request_id aRequest, instant aNow, effect_list& aOut) override;
  void Withdraw(request_id aRequest, instant aNow, effect_list& aOut) override;
  std::vector<claim_decision> TakeDecisions() override;
  bool Idle() const override;
  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) override;
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) override;
  bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                             instant aNow,
                             effect_list& aOut) override;
  bool OnPeerResponse(const peer_response_received& aPeerResponse,
                      instant aNow,
                      effect_list& aOut) override;

private:
  /// Origin of an operation.
  enum class purpose
  {
    Claim,   ///< a request of this process awaits its decision
    Outcome, ///< an outcome or withdrawal of this process
    Repair,  ///< marks or removes a claim that no process will finish
    Peer     ///< another daemon awaits the response
  };
  struct open_operation
  {
    purpose mPurpose = purpose::Claim;
    std::uint32_t mShard = 0;
    claim_operation mOperation;
    instant mStartedAt;
    request_id mRequest;         ///< for purpose::Claim
    instant mDeadline;           ///< for purpose::Claim
    peer_call_id mPeerCall;      ///< call to the owner, or the peer's call to be answered
    instant mPeerLimit;          ///< latest time of the response from or to the peer
    bool mAwaitingOwner = false; ///< the owner has not responded yet
    bool mOwnerMayStore = false; ///< the owner may still store the operation
  };

  std::uint32_t ShardOf(std::string_view aKey) const;
  claim_shard& Shard(std::uint32_t aNumber);
  wall_instant WallAt(instant aTime) const;
  /// Address of the preferred owner of a shard; empty when that is this daemon.
  std::string OwnerAddress(std::uint32_t aShard) const;

  void Start(open_operation aOpen, bool aTryOwner, instant aNow, effect_list& aOut);
  void ForwardToOwner(open_operation& aOpen, std::string aAddress, instant aNow, effect_list& aOut);
  void UseOwnShard(open_operation& aOpen, instant aNow);
  void Finish(request_id aRequest, claim_entry aOutcome, instant aNow, effect_list& aOut);

  void CollectSettled(instant aNow, effect_list& aOut);
  void OnSettled(std::uint64_t aNumber,
                 const std::optional<claim_entry>& aStored,
                 instant aNow,
                 effect_list& aOut);
  void OnClaimSettled(open_operation aOpen,
                      const std::optional<claim_entry>& aStored,
                      instant aNow,
                      effect_list& aOut);
  void OnOwnStored(open_operation aOpen,
                   const claim_entry& aStored,
                   instant aNow,
                   effect_list& aOut);
  void OnOtherStored(open_operation aOpen,
                     const claim_entry& aStored,
                     instant aNow,
                     effect_list& aOut);
  void Repair(const open_operation& aOpen,
              claim_entry aEntry,
              claim_state aState,
              instant aNow,
              effect_list& aOut);
  bool IsOpenHere(const std::string& aAttempt) const;

  void CheckTimes(instant aNow, effect_list& aOut);
  void CheckClaim(std::uint64_t aNumber, instant aNow, effect_list& aOut);
  void Abandon(const open_operation& aOpen,
               claim_unavailable aVerdict,
               instant aNow,
               effect_list& aOut);
  void Decide(request_id aRequest, claim_verdict aVerdict);
  void RespondToPeer(const open_operation& aOpen,
                     bool aSettled,
                     const std::optional<claim_entry>& aStored,
                     effect_list& aOut) const;

  claim_context mContext;
  const membership& mMembers;
  std::map<std::uint32_t, claim_shard> mShards;
  std::map<std::uint64_t, open_operation> mOpen;
  std::unordered_map<std::uint64_t, std::uint64_t> mForwarded; ///< peer call -> operation
  std::unordered_map<request_id, open_operation> mGranted;
  std::vector<claim_decision> mDecisions;
  std::vector<open_operation> mBeforeFirstTick;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mLastAttempt = 0;
  std::uint64_t mLastPeerCall = 0;
  bool mTicked = false;
  instant mTickedAt;
  wall_instant mWallAtTick;
};

} // namespace skylarkwind
