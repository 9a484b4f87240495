#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_dialect.h"
#include "skylarkwind/forward_types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

struct role_keeper_settings
{
  std::string mSelf;
  /// Part of a model service's engines that should prefill.
  double mPrefillShare = 0.5;
  /// Least time between the last order of one holder and the first of the next.
  std::chrono::milliseconds mLease{ 3'000 };
};

/// The stored lease: who may give orders to engines, under which fencing number.
struct order_lease
{
  std::uint64_t mRevision = 0; ///< of the stored object
  std::string mHolder;
  std::uint64_t mFencing = 0;
};

/// Reads the stored lease; answered by `OnLease`.
struct read_lease
{};

/// Writes the lease if its revision is still `mRevision`, or creates it when that is 0; answered by
/// `OnLeaseWritten`.
struct write_lease
{
  std::uint64_t mRevision = 0;
  std::uint64_t mFencing = 0;
};

/// Asks an engine for its state; answered by `OnState`.
struct ask_engine_state
{
  std::string mBackendId;
};

/// Sends an order; answered by `OnOrdered`. It must not be sent after `mNotAfter`.
struct give_role_order
{
  role_order mOrder;
  instant mNotAfter{};
};

using role_action = std::variant<read_lease, write_lease, ask_engine_state, give_role_order>;

/// Keeps the wanted number of prefill engines in each model service. Only the holder of the stored
/// lease gives orders. A lease is taken when an order is due and is not renewed otherwise, so that
/// it costs nothing while the roles are as wanted.
///
/// A holder orders within a second after the start of the write that gave it the lease, by a clock
/// that counts on through a suspension, and writes again before later orders. Another daemon takes
/// the lease only when it has seen the same revision for that second and a lease time more. Its
/// conditional write then shows that nobody wrote in between, so that the orders of two holders
/// are always a lease time apart.
class role_keeper
{
public:
  explicit role_keeper(role_keeper_settings aSettings);
  void SetPrefillShare(double aShare) { mSettings.mPrefillShare = aShare; }

  struct engine_view
  {
    backend_server mServer;
    std::uint32_t mRunning = 0; ///< requests of all daemons
  };
  struct service_view
  {
    std::string mService;
    std::chrono::milliseconds mRoleChange{}; ///< how long a change takes
    std::vector<engine_view> mEngines;
  };

  /// What is to be done now. `aRank` is the number of live daemons that come before this one. The
  /// first gives orders and the next two watch the lease, so that they can follow at once; this
  /// keeps daemons from competing, while the lease keeps them apart.
  std::vector<role_action> OnTick(std::span<const service_view> aServices,
                                  std::size_t aRank,
                                  instant aNow);
  /// Empty when there is none; `aFailed` when the store gave no answer.
  void OnLease(const std::optional<order_lease>& aLease, bool aFailed, instant aNow);
  void OnLeaseWritten(const std::optional<std::uint64_t>& aRevision, instant aNow);
  std::vector<role_action> OnState(const std::string& aBackendId,
                                   const std::optional<engine_state_report>& aReport,
                                   instant aNow);
  void OnOrdered(const std::string& aBackendId, role_order_answer aAnswer, instant aNow);

  /// Engines that change their role now, with the time at which they are expected back.
  const std::map<std::string, instant>& Changing() const { return mChanging; }

  /// The role that an engine should have but has not, in the order in which to change them.
  static std::vector<std::pair<std::string, engine_role>> Changes(const service_view& aService,
                                                                  double aPrefillShare);

private:
  struct wanted_change
  {
    engine_role mRole = engine_role::Both;
    std::chrono::milliseconds mTakes{};
  };

  bool HoldsLease(instant aNow) const;
  /// Whether the lease as last seen may be written by this daemon now.
  bool MayTake(instant aNow) const;
  /// Takes the lease when orders are due, else keeps the knowledge of it fresh.
  std::optional<role_action> Acquire(bool aDue, instant aNow);

  role_keeper_settings mSettings;
  std::optional<instant> mWantedSince; ///< first time that the roles differed
  std::optional<order_lease> mSeen;
  bool mSeenNone = false; ///< the store said that there is no lease
  instant mSeenAt{};      ///< when that revision was first seen
  instant mCheckedAt{};   ///< last read
  bool mCallOpen = false; ///< a store call is under way
  instant mCallAt{};
  std::uint64_t mHeldFencing = 0; ///< 0 while no lease is held
  instant mHeldUntil{};
  std::map<std::string, wanted_change> mAsked; ///< engines whose state was asked for an order
  std::map<std::string, std::chrono::milliseconds> mOrdered; ///< orders without an answer yet
  std::map<std::string, instant> mChanging;
  std::map<std::string, instant> mNotBefore; ///< engines that were ordered lately
};

} // namespace skylarkwind
