#include "skylarkwind/fleet_members.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <set>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A daemon of this data centre that no message has named for this long is considered gone.
/// Summaries name all daemons in turn.
constexpr milliseconds kLocalMemberTimeout{ 3'000 };
/// The same for daemons of other data centres; each summary names those that are still received
/// from.
constexpr milliseconds kRemoteMemberTimeout{ 1'000 };
/// Daemons of other data centres are retained for this long, to reach them again after a partition.
constexpr milliseconds kRemoteMemberRetention{ 600'000 };
/// Timeout of a daemon that is only known from a listing; its process may have ended long before.
constexpr milliseconds kListedMemberTimeout{ 20'000 };
/// A collector that did not answer is not selected again for this long.
constexpr milliseconds kSilentBackoff{ 3'000 };
/// CPU shares, in thousandths of a core, are compared in steps of this size.
constexpr std::uint32_t kCpuShareStep = 100;
/// Daemons per data centre that are candidates for duties of the whole fleet.
constexpr std::size_t kDutyCandidatesPerDataCentre = 4;

} // namespace

backend_key
BackendKey(std::string_view aBackendId)
{
  return static_cast<backend_key>(Hash64(aBackendId));
}

fleet_members::fleet_members(fleet_member aSelf)
  : mSelf(std::move(aSelf))
{
}

void
fleet_members::OnListed(const fleet_member& aMember, instant aNow)
{
  if (aMember.mName == mSelf.mName) {
    return;
  }
  auto& known = mOthers[aMember.mName];
  if (known.mHeard) {
    return;
  }
  known.mMember = aMember;
  known.mUpdatedAt = aNow;
  known.mAlive = true;
}

void
fleet_members::OnHeard(const fleet_member& aMember, instant aNow)
{
  if (aMember.mName == mSelf.mName) {
    return;
  }
  auto& known = mOthers[aMember.mName];
  // Shutdown of a process is final, so that a message without the flag is an older one.
  const bool stops = known.mMember.mIsStopping && known.mMember.mStart == aMember.mStart;
  known.mMember = aMember;
  known.mMember.mIsStopping = aMember.mIsStopping || stops;
  known.mUpdatedAt = aNow;
  known.mHeard = true;
  known.mAlive = true;
}

void
fleet_members::OnReceived(const fleet_member& aMember, instant aNow)
{
  OnHeard(aMember, aNow);
  if (const auto found = mOthers.find(aMember.mName); found != mOthers.end()) {
    found->second.mReceivedAt = aNow;
  }
}

bool
fleet_members::IsKnownFirstHand(std::string_view aName, instant aNow) const
{
  const auto found = mOthers.find(aName);
  return found != mOthers.end() &&
         (!found->second.mHeard || aNow - found->second.mReceivedAt < kRemoteMemberTimeout);
}

void
fleet_members::OnSilent(std::string_view aName, instant aNow)
{
  if (const auto found = mOthers.find(aName); found != mOthers.end()) {
    found->second.mExcludedUntil = aNow + kSilentBackoff;
  }
}

void
fleet_members::OnTick(instant aNow)
{
  for (auto& [name, known] : mOthers) {
    const bool own = known.mMember.mDataCentre == mSelf.mDataCentre;
    const auto timeout = own ? kLocalMemberTimeout : kRemoteMemberTimeout;
    if (aNow - known.mUpdatedAt >= (known.mHeard ? timeout : kListedMemberTimeout)) {
      known.mAlive = false;
      known.mHeard = false;
    }
  }
  std::erase_if(mOthers, [&](const auto& aEntry) {
    const auto& known = aEntry.second;
    const bool own = known.mMember.mDataCentre == mSelf.mDataCentre;
    return !known.mAlive && (own || aNow - known.mUpdatedAt >= kRemoteMemberRetention);
  });
}

std::vector<const fleet_member*>
fleet_members::Choose(std::string_view aDataCentre,
                      std::size_t aLimit,
                      bool aWithStore,
                      instant aNow) const
{
  struct candidate
  {
    const fleet_member* mMember;
    std::uint32_t mCpuMillicores;
    std::uint64_t mScore;
  };
  std::vector<candidate> candidates;
  const auto consider = [&](const fleet_member& aMember) {
    if (aMember.mDataCentre == aDataCentre && !aMember.mIsStopping &&
        (!aWithStore || aMember.mReachesStore)) {
      candidates.push_back({ &aMember,
                             aMember.mCpuMillicores / kCpuShareStep,
                             RendezvousScore(aDataCentre, aMember.mName) });
    }
  };
  consider(mSelf);
  for (const auto& [name, known] : mOthers) {
    if (known.mAlive && aNow >= known.mExcludedUntil) {
      consider(known.mMember);
    }
  }
  const auto count = std::min(aLimit, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const candidate& aLeft, const candidate& aRight) {
                      return std::pair{ aLeft.mCpuMillicores, aLeft.mScore } >
                             std::pair{ aRight.mCpuMillicores, aRight.mScore };
                    });
  std::vector<const fleet_member*> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(candidates[i].mMember);
  }
  return chosen;
}

std::vector<const fleet_member*>
fleet_members::Preferred(std::string_view aDataCentre, std::size_t aLimit, instant aNow) const
{
  return Choose(aDataCentre, aLimit, false, aNow);
}

bool
fleet_members::IsPreferred(std::size_t aLimit, instant aNow) const
{
  const auto best = Preferred(mSelf.mDataCentre, aLimit, aNow);
  return std::find(best.begin(), best.end(), &mSelf) != best.end();
}

std::vector<const fleet_member*>
fleet_members::DutyCandidates(instant aNow) const
{
  const auto dataCentres = DataCentres();
  std::vector<const fleet_member*> chosen;
  for (const bool withStore : { true, false }) {
    std::vector<std::vector<const fleet_member*>> preferred;
    preferred.reserve(dataCentres.size());
    for (const auto& dataCentre : dataCentres) {
      preferred.push_back(Choose(dataCentre, kDutyCandidatesPerDataCentre, withStore, aNow));
    }
    for (std::size_t place = 0; place < kDutyCandidatesPerDataCentre; ++place) {
      for (const auto& members : preferred) {
        if (members.size() > place &&
            std::find(chosen.begin(), chosen.end(), members[place]) == chosen.end()) {
          chosen.push_back(members[place]);
        }
      }
    }
  }
  return chosen;
}

std::vector<const fleet_member*>
fleet_members::LastKnown(std::string_view aDataCentre, std::size_t aLimit) const
{
  std::vector<const entry*> known;
  for (const auto& [name, other] : mOthers) {
    if (other.mMember.mDataCentre == aDataCentre) {
      known.push_back(&other);
    }
  }
  std::sort(known.begin(), known.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mUpdatedAt > aRight->mUpdatedAt;
  });
  std::vector<const fleet_member*> members;
  for (const auto* other : known) {
    if (members.size() < aLimit) {
      members.push_back(&other->mMember);
    }
  }
  return members;
}

std::vector<const fleet_member*>
fleet_members::LocalPeers() const
{
  std::vector<const fleet_member*> peers;
  for (const auto& [name, known] : mOthers) {
    if (known.mAlive && known.mMember.mDataCentre == mSelf.mDataCentre) {
      peers.push_back(&known.mMember);
    }
  }
  return peers;
}

std::vector<std::string>
fleet_members::DataCentres() const
{
  std::set<std::string> names{ mSelf.mDataCentre };
  for (const auto& [name, known] : mOthers) {
    names.insert(known.mMember.mDataCentre);
  }
  return { names.begin(), names.end() };
}

const fleet_member*
fleet_members::Find(std::string_view aName) const
{
  if (aName == mSelf.mName) {
    return &mSelf;
  }
  const auto found = mOthers.find(aName);
  return found == mOthers.end() ? nullptr : &found->second.mMember;
}

std::size_t
fleet_members::LivePeerCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mOthers.begin(), mOthers.end(), [](const auto& aEntry) { return aEntry.second.mAlive; }));
}

std::size_t
fleet_members::DutyRank(instant aNow) const
{
  const auto chosen = DutyCandidates(aNow);
  const auto own = std::find(chosen.begin(), chosen.end(), &mSelf);
  return own == chosen.end() ? kNoDuty : static_cast<std::size_t>(own - chosen.begin());
}

} // namespace skylarkwind
