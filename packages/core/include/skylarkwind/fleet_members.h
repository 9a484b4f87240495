#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/load_messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The other daemons known to this one, and the selection of daemons that serve others, as
/// collectors or with duties of the whole fleet. The selection depends only on the known members,
/// so that daemons with the same view agree without messages. It prefers daemons with a larger CPU
/// share, and otherwise ranks by rendezvous hash, so that a rolling restart over the VMs in order
/// of their names does not stop all selected daemons at the same time.
class fleet_members
{
public:
  /// Number of daemons in each data centre that collect reports and relay store changes.
  static constexpr std::size_t kCollectorsPerDataCentre = 2;

  /// Rank of a daemon that is no candidate.
  static constexpr std::size_t kNoDuty = std::numeric_limits<std::size_t>::max();

  explicit fleet_members(fleet_member aSelf);

  const fleet_member& Self() const { return mSelf; }
  void SetReachesStore(bool aReaches) { mSelf.mReachesStore = aReaches; }
  void SetStops(bool aStops) { mSelf.mIsStopping = aStops; }

  /// A daemon is listed in the store (`OnListed`), was the sender of a message (`OnReceived`) or
  /// named in one (`OnHeard`). Listings may be out of date; they never replace an entry from a
  /// message.
  void OnListed(const fleet_member& aMember, instant aNow);
  void OnReceived(const fleet_member& aMember, instant aNow);
  void OnHeard(const fleet_member& aMember, instant aNow);
  /// A collector has not answered reports with summaries in time; it is not selected for a while.
  void OnSilent(std::string_view aName, instant aNow);
  /// Removes daemons that have not been mentioned for their timeout.
  void OnTick(instant aNow);

  /// Up to `aLimit` live daemons of a data centre in order of preference. Includes this daemon.
  std::vector<const fleet_member*> Preferred(std::string_view aDataCentre,
                                             std::size_t aLimit,
                                             instant aNow) const;
  /// Whether this daemon is among the `aLimit` preferred ones of its data centre.
  bool IsPreferred(std::size_t aLimit, instant aNow) const;
  /// Daemons for duties of the whole fleet in order of rank: the preferred one of each data centre,
  /// then the second one of each and so on, among those that reach the store. The others follow in
  /// the same order.
  std::vector<const fleet_member*> DutyCandidates(instant aNow) const;
  /// Zero-based rank of this daemon among the duty candidates; `kNoDuty` if it is not one.
  std::size_t DutyRank(instant aNow) const;
  /// All other live daemons of this data centre, in order of their names.
  std::vector<const fleet_member*> LocalPeers() const;
  /// The most recently known daemons of another data centre, whether or not they are still live.
  std::vector<const fleet_member*> LastKnown(std::string_view aDataCentre,
                                             std::size_t aLimit) const;
  /// Data centres of all known daemons, live or retained, including this daemon's own.
  std::vector<std::string> DataCentres() const;
  const fleet_member* Find(std::string_view aName) const;
  /// Whether a daemon has recently sent a message to this one, or is known from the store only.
  /// Others are known because a message named them. Naming these again would keep daemons that have
  /// ended, as two daemons would confirm them to each other.
  bool IsKnownFirstHand(std::string_view aName, instant aNow) const;
  /// Number of other daemons that are not known to be gone.
  std::size_t LivePeerCount() const;

private:
  struct entry
  {
    fleet_member mMember;
    instant mUpdatedAt{};
    instant mReceivedAt{};    ///< time of its last message to this daemon
    bool mHeard = false;      ///< known from a message, not only from a listing
    instant mExcludedUntil{}; ///< not selected until then, as it did not answer
    bool mAlive = true;       ///< false once it has not been mentioned for its timeout
  };
  std::vector<const fleet_member*> Choose(std::string_view aDataCentre,
                                          std::size_t aLimit,
                                          bool aWithStore,
                                          instant aNow) const;

  fleet_member mSelf;
  std::map<std::string, entry, std::less<>> mOthers;
};

} // namespace skylarkwind
