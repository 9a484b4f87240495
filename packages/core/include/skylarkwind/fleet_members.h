#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/work_messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The other daemons as far as this one knows them, and the choice of those that do work for
/// others. The choice follows from what is known alone, so that daemons with the same view agree
/// without a message; it prefers strong VMs and otherwise spreads by a hash, so that a roll over
/// the VMs in the order of their names does not stop all chosen ones at once.
class fleet_members
{
public:
  /// Daemons of each data centre that collect reports and pass changes on.
  static constexpr std::size_t kCollectors = 2;

  static constexpr std::size_t kNoDuty = std::numeric_limits<std::size_t>::max();

  explicit fleet_members(fleet_member aSelf);

  const fleet_member& Self() const { return mSelf; }
  void SetReachesStore(bool aReaches) { mSelf.mReachesStore = aReaches; }
  void SetStops(bool aStops) { mSelf.mStops = aStops; }

  /// A daemon is listed or has been heard of. Entries from a list may be old; they never replace
  /// what was heard.
  void OnListed(const fleet_member& aMember, instant aNow);
  void OnHeard(const fleet_member& aMember, instant aNow);
  /// A collector that was sent reports has not answered with summaries for a time.
  void OnSilent(std::string_view aName, instant aNow);
  /// Drops daemons that nobody has told of for a time.
  void OnTick(instant aNow);

  /// Up to `aLimit` daemons of a data centre, the best first. NewestSequence this daemon.
  std::vector<const fleet_member*> Best(std::string_view aDataCentre,
                                        std::size_t aLimit,
                                        instant aNow) const;
  /// Whether this daemon is among the best `aLimit` of its data centre.
  bool IsBest(std::size_t aLimit, instant aNow) const;
  /// Daemons for duties of the whole fleet, the first for it first: the best one of each data
  /// centre, then the second of each, among those that reach the store. If none does, among all.
  std::vector<const fleet_member*> DutyCandidates(instant aNow) const;
  /// How many daemons come before this one in that order; `kNoDuty` if it is not among them.
  std::size_t DutyRank(instant aNow) const;
  /// All live daemons of this data centre but this one, by name.
  std::vector<const fleet_member*> Neighbours() const;
  /// Daemons of another data centre that were last known there, whether or not they still live.
  std::vector<const fleet_member*> LastKnown(std::string_view aDataCentre,
                                             std::size_t aLimit) const;
  /// Data centres that any daemon is known or remembered of, this one's included.
  std::vector<std::string> DataCentres() const;
  const fleet_member* Find(std::string_view aName) const;
  /// Other daemons that live or may live.
  std::size_t Known() const;

private:
  struct entry
  {
    fleet_member mMember;
    instant mUpdatedAt{};
    bool mHeard = false;
    instant mExcludedUntil{};
    bool mAlive = true; ///< false once nobody tells of it any more
  };
  std::vector<const fleet_member*> Choose(std::string_view aDataCentre,
                                          std::size_t aLimit,
                                          bool aWithStore,
                                          instant aNow) const;

  fleet_member mSelf;
  std::map<std::string, entry, std::less<>> mOthers;
};

} // namespace skylarkwind
