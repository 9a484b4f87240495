#pragma once

#include "skylarkwind/control.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/distribution.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/limit_shares.h"
#include "skylarkwind/membership.h"
#include "skylarkwind/request_claims.h"
#include "skylarkwind/serving.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// Settings of a node. The identity is set once and copied into the settings of the components.
struct node_settings
{
  process_id mSelf;
  daemon_location mLocation;
  std::vector<std::string> mDataCentres; ///< of the region, this one included
  membership_settings mMembership;
  distribution_settings mDistribution;
  limit_shares_settings mLimitShares;
  request_claims_settings mRequestClaims;
  fleet_settings mFleet;
  control_settings mControl;
  serving_settings mServing;
  std::uint64_t mRandomSeed = 1;
};

/// The decision logic of one daemon, without I/O: it takes an event and the time, and returns
/// effects. The daemon, the golden sessions and the generated schedules all drive this class.
class node
{
public:
  static absl::StatusOr<std::unique_ptr<node>> Create(node_settings aSettings, counters& aCounters);

  /// Processes one event. The wall time is only used to label records.
  effect_list Handle(const event& aEvent, instant aNow, wall_instant aWallNow);

  /// Readiness for traffic of callers: a table is in force and no shutdown has begun.
  bool Ready() const;

  const table& Table() const { return mTable; }
  const membership& Members() const { return *mMembers; }
  const distribution& Documents() const { return *mDocuments; }
  const fleet& Fleet() const { return *mFleet; }
  const control& Control() const { return *mControl; }
  const limit_shares& Limits() const { return *mLimits; }

private:
  node() = default;

  void Dispatch(const event& aEvent, instant aNow, wall_instant aWallNow, effect_list& aOut);
  void OnPlatform(const platform_replied& aReply, instant aNow, effect_list& aOut);
  void OnVmList(const vm_list& aList, instant aNow, effect_list& aOut);
  void OnPeerRequest(const peer_request_received& aPeerRequest, instant aNow, effect_list& aOut);
  void OnPeerReply(const peer_response_received& aPeerResponse, instant aNow, effect_list& aOut);
  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut);
  void OnShutdown(instant aNow, effect_list& aOut);
  /// Forwards pending outputs of the components to one another until none are left.
  void PropagateChanges(instant aNow, effect_list& aOut);
  bool PropagateChangesOnce(instant aNow, effect_list& aOut);
  void OnDocument(std::string_view aName, instant aNow, effect_list& aOut);
  void PollVmList(instant aNow, effect_list& aOut);

  node_settings mSettings;
  table mTable;
  std::unique_ptr<membership> mMembers;
  std::unique_ptr<distribution> mDocuments;
  std::unique_ptr<limit_shares> mLimits;
  std::unique_ptr<request_claims> mClaims;
  std::unique_ptr<fleet> mFleet;
  std::unique_ptr<control> mControl;
  std::unique_ptr<serving> mServing;
  bool mShuttingDown = false;
  bool mShutdownReported = false;
  bool mVmListPending = false;
  std::uint64_t mVmListCalls = 0;
  instant mNextVmList;
};

} // namespace skylarkwind
