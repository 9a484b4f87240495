#include "membership_p.h"

#include "skylarkwind/hash.h"

#include <absl/status/status.h>

#include <algorithm>
#include <utility>

namespace skylarkwind {
namespace {

/// Claims are kept for 24 h and check whether their process may still be alive, so the records of
/// dead members are kept a little longer.
constexpr std::chrono::hours kDeadRetention{ 25 };

/// Number of peers whose position in the member list is kept between exchanges.
constexpr std::size_t kMaxCursors = 16;

/// Number of random members that are told directly when this daemon leaves.
constexpr std::size_t kLeaveNotices = 4;

void
LogMember(log_level aLevel, const member_update& aMember, std::string_view aText, effect_list& aOut)
{
  aOut.push_back(log_line{ aLevel,
                           "membership",
                           aMember.mProcess.mVm + " at " + aMember.mLocation.mAddress + " " +
                             std::string{ aText } });
}

template<class list>
auto
FindDocument(list& aDocuments, std::string_view aName)
{
  return std::find_if(aDocuments.begin(), aDocuments.end(), [&](const document_version& aDocument) {
    return aDocument.mName == aName;
  });
}

} // namespace

absl::StatusOr<std::unique_ptr<membership>>
membership::Create(membership_settings aSettings)
{
  if (aSettings.mSelf.mVm.empty() || aSettings.mLocation.mAddress.empty()) {
    return absl::InvalidArgumentError("membership requires the name and the address of this VM");
  }
  if (aSettings.mProbeTimeout.count() <= 0 ||
      aSettings.mProbePeriod < 3 * aSettings.mProbeTimeout) {
    return absl::InvalidArgumentError("the probe period must be at least three probe time limits, "
                                      "for a direct and an indirect probe");
  }
  return std::unique_ptr<membership>{ new membership_core{ std::move(aSettings) } };
}

membership_core::membership_core(membership_settings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mRandomSeed ^ Hash64(mSettings.mSelf.mVm, mSettings.mSelf.mStartId))
{
  SetOwn(member_state::Alive, 0, {});
}

const member_update&
membership_core::Own() const
{
  return *mList.Find(mSettings.mSelf.mVm);
}

bool
membership_core::MayBeAlive(const process_id& aProcess) const
{
  return mList.MayBeAlive(aProcess);
}

void
membership_core::SetDocuments(std::span<const document_version> aDocuments)
{
  mDocuments.assign(aDocuments.begin(), aDocuments.end());
}

std::vector<membership::seen_document>
membership_core::TakeSeenDocuments()
{
  std::vector<seen_document> seen;
  for (auto& [name, document] : mSeen) {
    seen.push_back(std::move(document));
  }
  mSeen.clear();
  return seen;
}

void
membership_core::CompensatePause(instant aNow)
{
  // A paused process has received neither refutations nor replies in the meantime.
  if (mLastEvent && aNow - *mLastEvent > mSettings.mProbePeriod) {
    mList.DelaySuspicions(aNow - *mLastEvent);
    for (auto& [id, call] : mPending) {
      call.mInconclusive = true;
    }
  }
  mLastEvent = aNow;
}

void
membership_core::SetOwn(member_state aState, std::uint64_t aRefutation, instant aNow)
{
  mList.Merge({ mSettings.mSelf, mSettings.mLocation, aRefutation, aState }, aNow);
  mQueue.Add(mSettings.mSelf.mVm, aNow);
}

void
membership_core::Apply(const member_update& aUpdate, instant aNow, effect_list& aOut)
{
  if (aUpdate.mProcess.mVm.empty()) {
    return; // malformed
  }
  if (aUpdate.mProcess.mVm == mSettings.mSelf.mVm) {
    ApplyToSelf(aUpdate, aNow, aOut);
    return;
  }
  const auto* known = mList.Find(aUpdate.mProcess.mVm);
  const bool wasLive =
    known != nullptr && known->mProcess == aUpdate.mProcess && IsLive(known->mState);
  switch (mList.Merge(aUpdate, aNow)) {
    case member_list::merge_result::Changed:
      mQueue.Add(aUpdate.mProcess.mVm, aNow);
      OnChanged(aUpdate, wasLive, aNow, aOut);
      break;
    case member_list::merge_result::Stale:
      // The sender still considers a process live that is known to have ended: send the update
      // again.
      if (IsLive(aUpdate.mState) && !mList.MayBeAlive(aUpdate.mProcess) &&
          !mQueue.Contains(aUpdate.mProcess.mVm)) {
        mQueue.Add(aUpdate.mProcess.mVm, aNow);
      }
      break;
    case member_list::merge_result::Known:
      break;
  }
}

void
membership_core::ApplyToSelf(const member_update& aUpdate, instant aNow, effect_list& aOut)
{
  const auto own = Own();
  if (aUpdate.mProcess.mStartId > own.mProcess.mStartId) {
    if (!std::exchange(mSuperseded, true)) {
      LogMember(log_level::Error, own, "was replaced by a process that started later", aOut);
    }
  } else if (aUpdate.mProcess.mStartId < own.mProcess.mStartId) {
    if (!mQueue.Contains(own.mProcess.mVm)) {
      mQueue.Add(own.mProcess.mVm, aNow);
    }
  } else if (aUpdate.mState != own.mState && aUpdate.mRefutation >= own.mRefutation) {
    SetOwn(own.mState, aUpdate.mRefutation + 1, aNow);
    LogMember(log_level::Info, own, "refutes that it is suspect or dead", aOut);
  }
}

void
membership_core::OnChanged(const member_update& aUpdate,
                           bool aWasLive,
                           instant aNow,
                           effect_list& aOut)
{
  switch (aUpdate.mState) {
    case member_state::Suspect:
      LogMember(log_level::Debug, aUpdate, "is suspect", aOut);
      break;
    case member_state::Dead:
      LogMember(log_level::Info, aUpdate, "is dead", aOut);
      mReportedVersions.erase(aUpdate.mProcess.mVm);
      return;
    case member_state::Left:
      LogMember(log_level::Info, aUpdate, "has left", aOut);
      mReportedVersions.erase(aUpdate.mProcess.mVm);
      return;
    case member_state::Alive:
      break;
  }
  if (aWasLive) {
    return;
  }
  LogMember(log_level::Info, aUpdate, "is alive", aOut);
  mProbeOrder.insert(mProbeOrder.begin() +
                       static_cast<std::ptrdiff_t>(Random(mProbeOrder.size() + 1)),
                     aUpdate.mProcess.mVm);
  // An address belongs to one VM at a time, so an earlier process there has probably ended. It is
  // only suspected, because the start times of two VMs come from two clocks.
  if (const auto* replaced = mList.OlderProcessAt(aUpdate.mLocation.mAddress, aUpdate.mProcess)) {
    Suspect(member_update{ *replaced }, aNow, aOut);
  }
}

void
membership_core::Suspect(const member_update& aTarget, instant aNow, effect_list& aOut)
{
  const auto* known = mList.Find(aTarget.mProcess.mVm);
  // A refutation or another update since the start of the probe makes its result obsolete.
  if (known == nullptr || *known != aTarget || known->mState != member_state::Alive) {
    return;
  }
  auto suspect = aTarget;
  suspect.mState = member_state::Suspect;
  Apply(suspect, aNow, aOut);
  mOwnSuspects.push_back(suspect.mProcess.mVm);
  // Notifies the suspect at once, so that its refutation spreads right after the suspicion.
  SendProbe(purpose::Contact, suspect, aNow, aOut);
}

void
membership_core::DeclareDead(instant aNow, effect_list& aOut)
{
  for (auto& member : mList.SuspectsSince(aNow - mSettings.mSuspicionTimeout)) {
    member.mState = member_state::Dead;
    Apply(member, aNow, aOut);
  }
}

std::vector<document_version>
membership_core::Documents() const
{
  auto documents = mDocuments;
  documents.push_back({ std::string{ kMembersChecksum }, mList.Checksum() });
  return documents;
}

std::vector<member_update>
membership_core::UpdatesFor(std::string_view aVm, bool aWholeList)
{
  std::vector<member_update> updates;
  // The receiver must learn that it is suspect or dead, or it cannot refute.
  const auto* receiver = mList.Find(aVm);
  if (receiver != nullptr && receiver->mState != member_state::Alive) {
    updates.push_back(*receiver);
  }
  // In a list exchange a full queue must leave room for the list.
  const auto slots = aWholeList ? kUpdatesPerMessage / 4 : kUpdatesPerMessage;
  const auto queued = mQueue.Take(slots - updates.size(), mList.Live().size());
  for (const auto& vm : queued) {
    const auto* member = mList.Find(vm);
    // The sender field of the message already carries the state of this process.
    if (member != nullptr && vm != aVm && vm != mSettings.mSelf.mVm) {
      updates.push_back(*member);
    }
  }
  if (aWholeList) {
    AppendListSlice(aVm, updates);
  }
  return updates;
}

void
membership_core::AppendListSlice(std::string_view aVm, std::vector<member_update>& aOut)
{
  const auto live = mList.Live();
  auto cursor = std::find_if(mCursors.begin(), mCursors.end(), [&](const exchange_cursor& aCursor) {
    return aCursor.mPeer == aVm;
  });
  if (cursor == mCursors.end()) {
    if (mCursors.size() == kMaxCursors) {
      mCursors.erase(mCursors.begin());
    }
    mCursors.push_back({ std::string{ aVm }, live[Random(live.size())].mProcess.mVm });
    cursor = std::prev(mCursors.end());
  }
  auto next = std::lower_bound(
    live.begin(), live.end(), cursor->mNext, [](const member_update& aMember, const auto& aNext) {
      return aMember.mProcess.mVm < aNext;
    });
  for (std::size_t i = 0; i < live.size() && aOut.size() < kUpdatesPerMessage; ++i) {
    next = next == live.end() ? live.begin() : next;
    aOut.push_back(*next);
    ++next;
  }
  cursor->mNext = next == live.end() ? std::string{} : next->mProcess.mVm;
}

void
membership_core::RecordSeenDocument(const document_version& aDocument, const std::string& aAddress)
{
  const auto own =
    std::find_if(mDocuments.begin(), mDocuments.end(), [&](const document_version& aOwn) {
      return aOwn.mName == aDocument.mName;
    });
  if (own != mDocuments.end() && own->mVersion >= aDocument.mVersion) {
    return;
  }
  auto& seen = mSeen[aDocument.mName];
  if (seen.mDocument.mVersion < aDocument.mVersion) {
    seen = { aDocument, aAddress };
  }
}

void
membership_core::RecordVersions(const process_id& aSender,
                                std::span<const document_version> aDocuments)
{
  const auto* member = mList.Find(aSender.mVm);
  if (aSender.mVm == mSettings.mSelf.mVm || member == nullptr || member->mProcess != aSender ||
      !IsLive(member->mState)) {
    return; // late message of a process that has ended
  }
  auto& reported = mReportedVersions[aSender.mVm];
  if (reported.mProcess != aSender) {
    reported = { aSender, {} };
  }
  for (const auto& document : aDocuments) {
    if (document.mName == kMembersChecksum) {
      continue;
    }
    const auto known = FindDocument(reported.mDocuments, document.mName);
    if (known == reported.mDocuments.end()) {
      reported.mDocuments.push_back(document);
    } else {
      known->mVersion =
        std::max(known->mVersion, document.mVersion); // messages may arrive out of order
    }
  }
}

std::optional<std::uint64_t>
membership_core::ReportedVersion(const process_id& aProcess, std::string_view aDocument) const
{
  const auto versionIn =
    [&](const std::vector<document_version>& aDocuments) -> std::optional<std::uint64_t> {
    const auto found = FindDocument(aDocuments, aDocument);
    return found == aDocuments.end() ? std::nullopt : std::optional{ found->mVersion };
  };
  if (aProcess == mSettings.mSelf) {
    return versionIn(mDocuments);
  }
  const auto reported = mReportedVersions.find(aProcess.mVm);
  return reported == mReportedVersions.end() || reported->second.mProcess != aProcess
           ? std::nullopt
           : versionIn(reported->second.mDocuments);
}

template<class message>
bool
membership_core::Receive(const message& aMessage, instant aNow, effect_list& aOut)
{
  for (const auto& update : aMessage.mUpdates) {
    Apply(update, aNow, aOut);
  }
  Apply(aMessage.mSender, aNow, aOut);
  RecordVersions(aMessage.mSender.mProcess, aMessage.mDocuments);
  bool equal = true;
  for (const auto& document : aMessage.mDocuments) {
    if (document.mName == kMembersChecksum) {
      equal = document.mVersion == mList.Checksum();
    } else {
      RecordSeenDocument(document, aMessage.mSender.mLocation.mAddress);
    }
  }
  return equal;
}

bool
membership_core::OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                       instant aNow,
                                       effect_list& aOut)
{
  CompensatePause(aNow);
  if (const auto* probe = std::get_if<probe_message>(&aPeerRequest.mMessage)) {
    const bool equal = Receive(*probe, aNow, aOut);
    aOut.push_back(respond_to_peer{
      aPeerRequest.mCall,
      probe_reply{ Own(), UpdatesFor(probe->mSender.mProcess.mVm, !equal), Documents() } });
    return true;
  }
  if (const auto* probe = std::get_if<indirect_probe>(&aPeerRequest.mMessage)) {
    Apply(probe->mSender, aNow, aOut);
    pending_call relay{ purpose::Relay, probe->mTarget, aPeerRequest.mCall };
    Call(std::move(relay),
         probe->mTarget.mLocation.mAddress,
         probe_message{ Own(), UpdatesFor(probe->mTarget.mProcess.mVm, false), Documents() },
         mSettings.mProbeTimeout,
         aNow,
         aOut);
    return true;
  }
  return false;
}

void
membership_core::OnProbeReply(const pending_call& aCall,
                              const probe_reply& aReply,
                              instant aNow,
                              effect_list& aOut)
{
  const bool equal = Receive(aReply, aNow, aOut);
  const bool isTarget = aReply.mSender.mProcess == aCall.mTarget.mProcess;
  if (aCall.mPurpose == purpose::Relay) {
    aOut.push_back(respond_to_peer{ aCall.mRelayedRequest, indirect_probe_reply{ isTarget } });
    return;
  }
  if (aCall.mPurpose == purpose::Retry) {
    OnGroupReply(aCall, isTarget, aNow, aOut);
  }
  if (aCall.mPurpose == purpose::Probe && !isTarget) {
    Suspect(aCall.mTarget, aNow, aOut); // another process has taken over the address
  }
  const bool isPartner = aReply.mSender.mProcess == mPartner.mMember.mProcess;
  if (equal || mSuperseded || aReply.mSender.mProcess == mSettings.mSelf) {
    mPartner.mMessagesLeft = isPartner ? 0 : mPartner.mMessagesLeft;
    return;
  }
  // An exchange continues with the same partner until the lists are equal or have been gone through
  // once: slices from many partners would overlap.
  if (mPartner.mMessagesLeft == 0 && !isPartner) {
    mPartner.mMember = aReply.mSender;
    mPartner.mMessagesLeft =
      static_cast<std::uint32_t>(2 + mList.Live().size() * 2 / kUpdatesPerMessage);
    mPartner.mNextAt = aNow + mSettings.mProbePeriod / 5;
  } else if (isPartner) {
    mPartner.mNextAt = std::min(mPartner.mNextAt, aNow + mSettings.mProbePeriod / 5);
  }
}

void
membership_core::OnVmList(const vm_list& aList, instant aNow)
{
  CompensatePause(aNow);
  mVmSeeds.clear();
  const auto& own = mSettings.mLocation.mAddress;
  for (const auto& vm : aList.mVms) {
    if (vm.mKind == vm_kind::Entry) {
      // A bare IP address gets the port that all daemons use.
      const bool hasPort = vm.mAddress.find(':') != std::string::npos;
      mVmSeeds.insert(hasPort ? vm.mAddress : vm.mAddress + own.substr(own.rfind(':')));
    }
  }
}

void
membership_core::OnShutdown(instant aNow, effect_list& aOut)
{
  CompensatePause(aNow);
  SetOwn(member_state::Left, Own().mRefutation + 1, aNow);
  for (const auto& member : RandomMembers(kLeaveNotices, mSettings.mSelf.mVm)) {
    SendProbe(purpose::Contact, member, aNow, aOut);
  }
}

void
membership_core::OnTick(instant aNow, effect_list& aOut)
{
  CompensatePause(aNow);
  DeclareDead(aNow, aOut);
  if (aNow >= mNextProbe) {
    mNextProbe = aNow + mSettings.mProbePeriod;
    ExpireCalls(aNow, aOut);
    mQueue.Expire(aNow - update_queue::SendLimit(mList.Live().size()) * mSettings.mProbePeriod);
    ProbeNext(aNow, aOut);
    ProbeOwnSuspect(aNow, aOut);
  }
  if (aNow >= mNextUnreachableProbe) {
    ProbeUnreachable(aNow, aOut);
  }
  if (mPartner.mMessagesLeft > 0 && aNow >= mPartner.mNextAt) {
    ContinueExchange(aNow, aOut);
  }
  if (aNow >= mNextForget) {
    mNextForget = aNow + std::chrono::minutes{ 1 };
    mList.Forget(aNow - kDeadRetention);
  }
}

} // namespace skylarkwind
