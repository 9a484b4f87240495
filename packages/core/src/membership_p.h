#pragma once

#include "member_list_p.h"
#include "skylarkwind/membership.h"
#include "update_queue_p.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace skylarkwind {

/// Marks the peer call ids that membership issues.
inline constexpr std::uint64_t kMembershipCallTag = std::uint64_t{ 1 } << 62;

/// Name under which probes carry the checksum of the sender's live list.
inline constexpr std::string_view kMembersChecksum = "members";

inline constexpr std::size_t kUpdatesPerMessage = 8;

/// SWIM with constant cost: one probe per period, one probe of an unreachable address every five
/// periods, and, while the member lists differ, exchange of the list with one partner at a time.
class membership_core final : public membership
{
public:
  explicit membership_core(membership_settings aSettings);

  const process_id& Self() const override { return mSettings.mSelf; }
  const daemon_location& Location() const override { return mSettings.mLocation; }
  std::span<const member_update> Live() const override { return mList.Live(); }
  bool MayBeAlive(const process_id& aProcess) const override;
  void SetDocuments(std::span<const document_version> aDocuments) override;
  void OnTick(instant aNow, effect_list& aOut) override;
  bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                             instant aNow,
                             effect_list& aOut) override;
  bool OnPeerResponse(const peer_response_received& aPeerResponse,
                      instant aNow,
                      effect_list& aOut) override;
  void OnVmList(const vm_list& aList, instant aNow) override;
  void OnShutdown(instant aNow, effect_list& aOut) override;
  std::vector<seen_document> TakeSeenDocuments() override;
  std::optional<std::uint64_t> ReportedVersion(const process_id& aProcess,
                                               std::string_view aDocument) const override;

private:
  enum class purpose
  {
    Probe,    ///< regular probe: without a reply, indirect probes follow
    Contact,  ///< unreachable address, suspect or leave notice: a missing reply is ignored
    Exchange, ///< carries the next slice of the member list
    Relay,    ///< on behalf of another member
    Retry,    ///< second direct probe, sent together with the indirect probes
    Indirect  ///< asks another member to probe the target
  };
  struct pending_call
  {
    purpose mPurpose = purpose::Probe;
    member_update mTarget;
    peer_call_id mRelayedRequest; ///< the call to reply to, for Relay
    std::uint64_t mGroup = 0;     ///< for Retry and Indirect
    instant mExpiresAt;
    /// This process was paused while the call was pending, so that a missing reply proves nothing.
    bool mInconclusive = false;
  };
  /// The retry and the indirect probes of one target.
  struct indirect_group
  {
    member_update mTarget;
    std::size_t mPendingCalls = 0;
  };
  /// Position in the member list for the next message to a peer.
  struct exchange_cursor
  {
    std::string mPeer; ///< VM
    std::string mNext; ///< VM that the next message begins with
  };
  /// Document versions that a live process has reported as in force.
  struct reported_versions
  {
    process_id mProcess;
    std::vector<document_version> mDocuments;
  };
  /// The member whose list differs from this one's.
  struct exchange_partner
  {
    member_update mMember;
    std::uint32_t mMessagesLeft = 0;
    instant mNextAt;
  };

  // membership.cpp: member states and updates
  const member_update& Own() const;
  void CompensatePause(instant aNow);
  void SetOwn(member_state aState, std::uint64_t aRefutation, instant aNow);
  void Apply(const member_update& aUpdate, instant aNow, effect_list& aOut);
  void ApplyToSelf(const member_update& aUpdate, instant aNow, effect_list& aOut);
  void OnChanged(const member_update& aUpdate, bool aWasLive, instant aNow, effect_list& aOut);
  void Suspect(const member_update& aTarget, instant aNow, effect_list& aOut);
  void DeclareDead(instant aNow, effect_list& aOut);
  std::vector<member_update> UpdatesFor(std::string_view aVm, bool aWholeList);
  void AppendListSlice(std::string_view aVm, std::vector<member_update>& aOut);
  std::vector<document_version> Documents() const;
  /// Applies a message; true when the sender's live list equals this daemon's.
  template<class message>
  bool Receive(const message& aMessage, instant aNow, effect_list& aOut);
  void RecordSeenDocument(const document_version& aDocument, const std::string& aAddress);
  void RecordVersions(const process_id& aSender, std::span<const document_version> aDocuments);

  // membership_probes.cpp: probes and pending calls
  void SendProbe(purpose aPurpose, const member_update& aTarget, instant aNow, effect_list& aOut);
  peer_call_id Call(pending_call aCall,
                    const std::string& aAddress,
                    peer_message aMessage,
                    std::chrono::milliseconds aTimeLimit,
                    instant aNow,
                    effect_list& aOut);
  void ProbeNext(instant aNow, effect_list& aOut);
  void ProbeOwnSuspect(instant aNow, effect_list& aOut);
  void ProbeUnreachable(instant aNow, effect_list& aOut);
  void ContinueExchange(instant aNow, effect_list& aOut);
  void ProbeIndirectly(const member_update& aTarget, instant aNow, effect_list& aOut);
  void OnProbeReply(const pending_call& aCall,
                    const probe_reply& aReply,
                    instant aNow,
                    effect_list& aOut);
  void OnNoReply(const pending_call& aCall, instant aNow, effect_list& aOut);
  void OnGroupReply(const pending_call& aCall, bool aReached, instant aNow, effect_list& aOut);
  void ExpireCalls(instant aNow, effect_list& aOut);
  std::vector<member_update> RandomMembers(std::size_t aCount, std::string_view aExceptVm);
  std::size_t Random(std::size_t aBelow);

  membership_settings mSettings;
  std::mt19937_64 mRandom;
  member_list mList;
  update_queue mQueue;
  std::vector<document_version> mDocuments;
  std::map<std::string, seen_document> mSeen;
  /// By VM; live processes only.
  std::map<std::string, reported_versions, std::less<>> mReportedVersions;
  std::set<std::string> mVmSeeds;
  std::map<std::uint64_t, pending_call> mPending;
  std::map<std::uint64_t, indirect_group> mGroups;
  std::uint64_t mCalls = 0;
  std::vector<std::string> mProbeOrder; ///< VMs still to be probed in this round, from the back
  std::vector<std::string> mOwnSuspects;
  std::vector<exchange_cursor> mCursors;
  exchange_partner mPartner;
  instant mNextProbe;
  instant mNextUnreachableProbe;
  instant mNextForget;
  std::optional<instant> mLastEvent;
  bool mSuperseded = false;
};

} // namespace skylarkwind
