#pragma once

#include "skylarkwind/types.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Limits of a row. 0 means that there is no limit.
struct row_limits
{
  std::uint64_t mMaxConcurrent = 0; ///< requests in flight over all daemons
  double mMaxRequestsPerSecond = 0; ///< over all daemons
  bool operator==(const row_limits&) const = default;
};

/// How requests are routed to a service.
enum class service_kind
{
  Model, ///< by the model name in the request
  Plain  ///< by path prefix
};

/// A service: a model service is routed by its models' names, a plain service by path prefix.
struct service_row
{
  std::string mName;
  service_kind mKind = service_kind::Model;
  std::string mPathPrefix;                         ///< plain services only, for example "/orders"
  bool mNonIdempotent = false;                     ///< calls may not be retried; a key is required
  std::chrono::milliseconds mTimeLimit{ 120'000 }; ///< longest time limit of a request
  double mRoleChangePrice = 1;    ///< goodput seconds that one role change must gain
  std::uint32_t mMaxChanging = 1; ///< engines out of service at once, per data centre
  /// Time for which an engine keeps a role before the planner may change it, unless the change is
  /// urgent.
  std::chrono::milliseconds mMinimumStay{ 60'000 };
  std::uint32_t mQueueLimit = 256; ///< waiting requests per daemon
  row_limits mLimits;
  bool operator==(const service_row&) const = default;
};

/// A model and the service that it belongs to.
struct model_row
{
  std::string mName;
  std::string mService;
  std::string mVersion; ///< the version that engines must serve
  bool operator==(const model_row&) const = default;
};

/// Weight and limits of a service's role.
struct role_row
{
  std::string mService;
  engine_role mRole = engine_role::Both;
  double mWeight = 1;
  row_limits mLimits;
  std::uint32_t mMinimumEngines = 0;
  bool operator==(const role_row&) const = default;
};

/// A client account.
struct account_row
{
  std::string mName;
  std::string mApiKeySha256;
  int mPriority = 0; ///< a higher value is served first
  row_limits mLimits;
  bool operator==(const account_row&) const = default;
};

/// Whether a backend server shall take requests.
enum class engine_intent
{
  Serve,
  Drain ///< no new requests; requests in flight finish
};

/// An engine of a model service.
struct engine_row
{
  std::string mName;
  std::string mAddress; ///< ip:port
  std::string mDataCentre;
  std::string mService;
  std::string mModel;
  engine_role mRole = engine_role::Both; ///< role at the start; the planner may change it
  bool mPinned = false;                  ///< the planner does not change the role
  double mWeight = 1;
  bool mChecksFencing = false;
  engine_intent mIntent = engine_intent::Serve;
  bool operator==(const engine_row&) const = default;
};

/// A backend server of a plain service.
struct backend_row
{
  std::string mName;
  std::string mAddress; ///< ip:port
  std::string mDataCentre;
  std::string mService;
  double mWeight = 1;
  bool mHonoursKeys = false; ///< itself runs an idempotency key at most once
  engine_intent mIntent = engine_intent::Serve;
  bool operator==(const backend_row&) const = default;
};

/// One error in a table, with its row.
struct table_problem
{
  std::string mRow; ///< for example "engines[3] e4"
  std::string mText;
  bool operator==(const table_problem&) const = default;
};

/// The operators' configuration table. Immutable; an edit creates a new one with a higher serial.
class table
{
public:
  /// An empty table with serial 0, in force until another is known.
  table() = default;

  /// Parses and validates the JSON form. The status lists every problem, one a line.
  static absl::StatusOr<table> Parse(std::string_view aJson);

  /// Validates the rows and returns every problem.
  std::vector<table_problem> Problems() const;

  /// The JSON form; members with their default value are left out.
  std::string ToJson() const;

  std::uint64_t Serial() const { return mSerial; }
  std::span<const service_row> Services() const { return mServices; }
  std::span<const model_row> Models() const { return mModels; }
  std::span<const role_row> Roles() const { return mRoles; }
  std::span<const account_row> Accounts() const { return mAccounts; }
  std::span<const engine_row> Engines() const { return mEngines; }
  std::span<const backend_row> Backends() const { return mBackends; }

  // The look-ups return null when there is no such row.
  const service_row* FindService(std::string_view aName) const;
  const model_row* FindModel(std::string_view aName) const;
  const role_row* FindRole(std::string_view aService, engine_role aRole) const;
  const account_row* FindAccountByKey(std::string_view aApiKeySha256) const;
  const engine_row* FindEngine(std::string_view aName) const;
  /// The plain service with the longest path prefix that matches.
  const service_row* FindServiceByPath(std::string_view aPath) const;

  /// A copy of this table with another serial.
  table WithSerial(std::uint64_t aSerial) const;

private:
  friend struct table_json;

  /// Positions of rows in the order of their keys, for binary search.
  struct sorted_index
  {
    std::vector<std::uint32_t> mServices;
    std::vector<std::uint32_t> mModels;
    std::vector<std::uint32_t> mAccounts; ///< by hash of the key
    std::vector<std::uint32_t> mEngines;
  };

  void BuildIndex();

  std::uint64_t mSerial = 0;
  std::vector<service_row> mServices;
  std::vector<model_row> mModels;
  std::vector<role_row> mRoles;
  std::vector<account_row> mAccounts;
  std::vector<engine_row> mEngines;
  std::vector<backend_row> mBackends;
  sorted_index mIndex;
};

/// Difference of one row between two tables.
struct row_change
{
  enum class kind
  {
    Added,
    Removed,
    Changed
  } mKind = kind::Changed;
  std::string mRow;    ///< for example "engines e4"
  std::string mBefore; ///< JSON, empty when added
  std::string mAfter;  ///< JSON, empty when removed
};

/// The rows that were added, removed or changed, by section.
std::vector<row_change> DiffTables(const table& aBefore, const table& aAfter);

/// One accepted edit, kept in the table object's history.
struct table_edit
{
  std::uint64_t mSerial = 0;
  std::string mWho;
  std::string mWhy;
  std::string mWhen;              ///< UTC, ISO 8601
  std::vector<std::string> mRows; ///< the rows that changed
};

/// The platform object `table/current`: {"table":..., "history":[...]}.
struct table_object
{
  table mTable;
  std::vector<table_edit> mHistory; ///< newest last, at most kTableHistoryLimit

  static absl::StatusOr<table_object> Parse(std::string_view aJson);
  /// Omits the oldest edits that exceed the limits below.
  std::string ToJson() const;
};

inline constexpr std::size_t kTableHistoryLimit = 200;
/// Bytes of JSON that the history may take. The platform refuses values above 1 MB; a table of the
/// target size (600 engines, 450 accounts) takes less than half of that.
inline constexpr std::size_t kTableHistoryBytes = 400'000;

std::string_view RoleText(engine_role aRole);
std::optional<engine_role> ParseRole(std::string_view aText);

} // namespace skylarkwind
