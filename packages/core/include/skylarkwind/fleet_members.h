#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/work_messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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

  /// Up to `aMost` daemons of a data centre, the best first. Includes this daemon.
  std::vector<const fleet_member*> Best(std::string_view aDataCentre,
                                        std::size_t aMost,
                                        instant aNow) const;
  /// The same among those that reach the store.
  std::vector<const fleet_member*> BestWithStore(std::string_view aDataCentre,
                                                 std::size_t aMost,
                                                 instant aNow) const;
  /// All live daemons of this data centre but this one, by name.
  std::vector<const fleet_member*> Neighbours() const;
  std::vector<std::string> DataCentres() const;
  const fleet_member* Find(std::string_view aName) const;
  /// Other daemons that live or may live.
  std::size_t Known() const { return mOthers.size(); }
  /// How many daemons come before this one in the order in which they take on duties of the whole
  /// fleet: the best two of each data centre that reach the store, then nobody.
  std::size_t DutyRank(instant aNow) const;

private:
  struct entry
  {
    fleet_member mMember;
    instant mKnownAt{};
    bool mHeard = false;
    instant mSilentUntil{};
  };
  std::vector<const fleet_member*> Choose(std::string_view aDataCentre,
                                          std::size_t aMost,
                                          bool aWithStore,
                                          instant aNow) const;

  fleet_member mSelf;
  std::map<std::string, entry, std::less<>> mOthers;
};

} // namespace skylarkwind
