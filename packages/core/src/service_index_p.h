#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/table.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Outcome of a request, as a label of counters.
enum class request_outcome
{
  Completed,
  Refused,  ///< not run
  Rejected, ///< the backend server reported the request as invalid
  Failed,   ///< the outcome is not known
  Cancelled ///< the caller left
};
inline constexpr std::size_t kRequestOutcomes = 5;
inline constexpr std::size_t kRoles = 3;

/// A service with the data that its requests need, shared by the requests that arrived while this
/// table was in force.
struct service_entry
{
  /// The backend server that owns the idempotency key; empty when keys have no owner.
  std::string_view BackendOfKey(std::string_view aKey) const;

  service_row mRow;
  std::string mLimit;                          ///< name of the service's limit
  std::array<std::string, kRoles> mRoleLimits; ///< by role
  std::array<double, kRoles> mRoleWeights{};   ///< by role
  /// The backend servers of a plain service, if every one of them honours idempotency keys. Each
  /// key is then owned by one of them, since another one would not know that the key was run.
  std::vector<std::string> mKeyBackends;
  /// Requests ended, by role (the last one stands for "none") and outcome.
  std::array<std::array<counter*, kRequestOutcomes>, kRoles + 1> mEnded{};
};

/// Look-up of accounts, models and services of one table.
class service_index
{
public:
  service_index() = default;
  service_index(const table& aTable, counters& aCounters);

  std::uint64_t Serial() const { return mSerial; }
  const account_row* Account(std::string_view aApiKeySha256) const;
  std::shared_ptr<const service_entry> ServiceOfModel(std::string_view aModel) const;
  /// The plain service with the longest path prefix that matches; empty when none does.
  std::shared_ptr<const service_entry> ServiceOfPath(std::string_view aPath) const;
  double RoleWeight(std::string_view aService, engine_role aRole) const;

private:
  std::shared_ptr<const service_entry> Service(std::string_view aName) const;

  std::uint64_t mSerial = 0;
  std::unordered_map<std::string, account_row> mAccounts;
  std::unordered_map<std::string, std::string> mServiceOfModel;
  std::unordered_map<std::string, std::shared_ptr<const service_entry>> mServices;
  std::vector<std::shared_ptr<const service_entry>> mPlain; ///< longest prefix first
};

} // namespace skylarkwind
