#include "skylarkwind/fleet_members.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <set>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A daemon that no summary has named for this long is gone. Summaries name all by turns.
constexpr milliseconds kHeardLife{ 3'000 };
/// The same for a daemon that was only listed: its process may have ended long ago.
constexpr milliseconds kListedLife{ 20'000 };
/// A collector that was silent is not chosen again for this long.
constexpr milliseconds kSilentFor{ 3'000 };
/// Strengths that differ by less than this, in thousandths of a core, count as equal.
constexpr std::uint32_t kStrengthStep = 100;
/// Daemons of each data centre that may take on duties of the whole fleet.
constexpr std::size_t kDutiesEach = 2;

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
  known.mKnownAt = aNow;
}

void
fleet_members::OnHeard(const fleet_member& aMember, instant aNow)
{
  if (aMember.mName == mSelf.mName) {
    return;
  }
  auto& known = mOthers[aMember.mName];
  // A daemon that stops does not change its mind; a summary that does not say so is older.
  const bool stops = known.mMember.mStops && known.mMember.mStart == aMember.mStart;
  known.mMember = aMember;
  known.mMember.mStops = aMember.mStops || stops;
  known.mKnownAt = aNow;
  known.mHeard = true;
}

void
fleet_members::OnSilent(std::string_view aName, instant aNow)
{
  if (const auto found = mOthers.find(aName); found != mOthers.end()) {
    found->second.mSilentUntil = aNow + kSilentFor;
  }
}

void
fleet_members::OnTick(instant aNow)
{
  std::erase_if(mOthers, [&](const auto& aEntry) {
    const auto& known = aEntry.second;
    return aNow - known.mKnownAt >= (known.mHeard ? kHeardLife : kListedLife);
  });
}

std::vector<const fleet_member*>
fleet_members::Choose(std::string_view aDataCentre,
                      std::size_t aMost,
                      bool aWithStore,
                      instant aNow) const
{
  struct candidate
  {
    const fleet_member* mMember;
    std::uint32_t mStrength;
    std::uint64_t mScore;
  };
  std::vector<candidate> candidates;
  const auto consider = [&](const fleet_member& aMember) {
    if (aMember.mDataCentre == aDataCentre && !aMember.mStops &&
        (!aWithStore || aMember.mReachesStore)) {
      candidates.push_back({ &aMember,
                             aMember.mStrength / kStrengthStep,
                             RendezvousScore(aDataCentre, aMember.mName) });
    }
  };
  consider(mSelf);
  for (const auto& [name, known] : mOthers) {
    if (aNow >= known.mSilentUntil) {
      consider(known.mMember);
    }
  }
  const auto count = std::min(aMost, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const candidate& aLeft, const candidate& aRight) {
                      return std::pair{ aLeft.mStrength, aLeft.mScore } >
                             std::pair{ aRight.mStrength, aRight.mScore };
                    });
  std::vector<const fleet_member*> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(candidates[i].mMember);
  }
  return chosen;
}

std::vector<const fleet_member*>
fleet_members::Best(std::string_view aDataCentre, std::size_t aMost, instant aNow) const
{
  return Choose(aDataCentre, aMost, false, aNow);
}

std::vector<const fleet_member*>
fleet_members::BestWithStore(std::string_view aDataCentre, std::size_t aMost, instant aNow) const
{
  return Choose(aDataCentre, aMost, true, aNow);
}

std::vector<const fleet_member*>
fleet_members::Neighbours() const
{
  std::vector<const fleet_member*> neighbours;
  for (const auto& [name, known] : mOthers) {
    if (known.mMember.mDataCentre == mSelf.mDataCentre) {
      neighbours.push_back(&known.mMember);
    }
  }
  return neighbours;
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
fleet_members::DutyRank(instant aNow) const
{
  std::vector<std::string_view> names;
  for (const auto& dataCentre : DataCentres()) {
    for (const auto* member : BestWithStore(dataCentre, kDutiesEach, aNow)) {
      names.push_back(member->mName);
    }
  }
  std::sort(names.begin(), names.end());
  const auto own = std::find(names.begin(), names.end(), std::string_view{ mSelf.mName });
  return own == names.end() ? mOthers.size() + 1 : static_cast<std::size_t>(own - names.begin());
}

} // namespace skylarkwind
