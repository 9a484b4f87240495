#include "row_reader_p.h"
#include "skylarkwind/table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <utility>

namespace skylarkwind {
namespace {

constexpr std::size_t kMaxNameLength = 128;

/// Paths that a daemon serves itself.
constexpr std::string_view kReservedPaths[] = { "/v1/chat/completions",
                                                "/v1/completions",
                                                "/v1/models",
                                                "/admin",
                                                "/healthz",
                                                "/readyz",
                                                "/metrics" };

/// Names appear in URLs, object names and limit names, where '/' is the separator. Model names may
/// contain one, because callers use such names.
bool
IsName(std::string_view aName, bool aSlashAllowed)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), [&](char aLetter) {
           return aLetter > ' ' && aLetter <= '~' && aLetter != '"' && aLetter != '\\' &&
                  (aSlashAllowed || aLetter != '/');
         });
}

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), port);
  return error == std::errc{} && end == aText.data() + aText.size() && port != 0;
}

/// Accepts 10.0.0.1:80 and [fe80::1]:80.
bool
IsIpAndPort(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  auto host = std::string{ aText.substr(0, colon) };
  in6_addr bytes{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &bytes) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &bytes) == 1;
}

bool
IsSha256(std::string_view aText)
{
  return aText.size() == 64 &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string_view
WithoutTrailingSlash(std::string_view aPath)
{
  while (!aPath.empty() && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

/// Whether one path is the other or lies below it.
bool
Overlaps(std::string_view aLeft, std::string_view aRight)
{
  aLeft = WithoutTrailingSlash(aLeft);
  aRight = WithoutTrailingSlash(aRight);
  if (aLeft.size() > aRight.size()) {
    std::swap(aLeft, aRight);
  }
  return aRight.starts_with(aLeft) &&
         (aRight.size() == aLeft.size() || aRight[aLeft.size()] == '/');
}

/// Collects the problems of one table.
class table_checker
{
public:
  explicit table_checker(const table& aTable)
    : mTable(aTable)
  {
  }

  problem_list Run()
  {
    CheckServices();
    CheckModels();
    CheckRoles();
    CheckAccounts();
    CheckEngines();
    CheckBackends();
    return std::move(mProblems);
  }

private:
  using first_uses = std::map<std::string, std::string, std::less<>>;

  void Begin(std::string_view aSection, std::size_t aIndex, std::string_view aName)
  {
    mLabel = RowLabel(aSection, aIndex, aName);
  }

  void Require(bool aHolds, std::string_view aMember, std::string_view aMistake)
  {
    if (!aHolds) {
      mProblems.push_back({ mLabel, std::string{ aMember } + ": " + std::string{ aMistake } });
    }
  }

  void CheckName(std::string_view aMember, std::string_view aName, bool aSlashAllowed = false)
  {
    Require(IsName(aName, aSlashAllowed),
            aMember,
            "must be 1 to 128 visible ASCII characters without quotes, backslashes or slashes");
  }

  void CheckUnique(first_uses& aUses, std::string_view aMember, const std::string& aValue)
  {
    if (aValue.empty()) {
      return;
    }
    const auto [use, isFirst] = aUses.try_emplace(aValue, mLabel);
    Require(isFirst, aMember, "is already used in " + use->second);
  }

  void CheckWeight(double aWeight)
  {
    Require(std::isfinite(aWeight) && aWeight > 0, "weight", "must be above 0");
  }

  void CheckLimits(const row_limits& aLimits)
  {
    Require(std::isfinite(aLimits.mMaxRequestsPerSecond) && aLimits.mMaxRequestsPerSecond >= 0,
            "max_requests_per_second",
            "must be 0 or above");
  }

  /// The row's service, when it exists and is of the kind that the row needs.
  void CheckService(std::string_view aService, service_kind aKind)
  {
    const auto* service = mTable.FindService(aService);
    Require(service != nullptr, "service", "there is no service " + std::string{ aService });
    Require(service == nullptr || service->mKind == aKind,
            "service",
            std::string{ aService } +
              (aKind == service_kind::Model ? " is not of kind model" : " is not of kind plain"));
  }

  void CheckPathPrefix(const service_row& aRow, std::size_t aIndex)
  {
    if (aRow.mKind == service_kind::Model) {
      Require(aRow.mPathPrefix.empty(), "path_prefix", "is only for services of kind plain");
      return;
    }
    if (!aRow.mPathPrefix.starts_with('/')) {
      Require(false, "path_prefix", "must begin with a slash");
      return;
    }
    Require(aRow.mPathPrefix.find_first_of("?# ") == std::string::npos,
            "path_prefix",
            "must not hold a question mark, a hash sign or a space");
    for (const auto path : kReservedPaths) {
      Require(!Overlaps(path, aRow.mPathPrefix),
              "path_prefix",
              "overlaps the daemons' own path " + std::string{ path });
    }
    for (std::size_t i = 0; i < aIndex; ++i) {
      const auto& other = mTable.Services()[i];
      Require(other.mKind != service_kind::Plain || !other.mPathPrefix.starts_with('/') ||
                !Overlaps(other.mPathPrefix, aRow.mPathPrefix),
              "path_prefix",
              "overlaps that of " + RowLabel("services", i, other.mName));
    }
  }

  void CheckServices()
  {
    first_uses names;
    for (std::size_t i = 0; i < mTable.Services().size(); ++i) {
      const auto& row = mTable.Services()[i];
      Begin("services", i, row.mName);
      CheckName("name", row.mName);
      CheckUnique(names, "name", row.mName);
      CheckPathPrefix(row, i);
      Require(row.mTimeLimit.count() > 0, "time_limit_ms", "must be above 0");
      Require(std::isfinite(row.mRoleChangePrice) && row.mRoleChangePrice >= 0,
              "role_change_price",
              "must be 0 or above");
      Require(row.mMaxChanging > 0, "max_changing", "must be above 0");
      Require(row.mMinimumStay.count() >= 0, "minimum_stay_ms", "must be 0 or above");
      CheckLimits(row.mLimits);
    }
  }

  void CheckModels()
  {
    first_uses names;
    for (std::size_t i = 0; i < mTable.Models().size(); ++i) {
      const auto& row = mTable.Models()[i];
      Begin("models", i, row.mName);
      CheckName("name", row.mName, true);
      CheckUnique(names, "name", row.mName);
      CheckService(row.mService, service_kind::Model);
    }
  }

  void CheckRoles()
  {
    first_uses roles;
    for (std::size_t i = 0; i < mTable.Roles().size(); ++i) {
      const auto& row = mTable.Roles()[i];
      Begin("roles", i, row.mService);
      CheckService(row.mService, service_kind::Model);
      CheckUnique(roles, "role", row.mService + "/" + std::string{ RoleText(row.mRole) });
      CheckWeight(row.mWeight);
      CheckLimits(row.mLimits);
    }
  }

  void CheckAccounts()
  {
    first_uses names;
    first_uses hashes;
    for (std::size_t i = 0; i < mTable.Accounts().size(); ++i) {
      const auto& row = mTable.Accounts()[i];
      Begin("accounts", i, row.mName);
      CheckName("name", row.mName);
      CheckUnique(names, "name", row.mName);
      Require(IsSha256(row.mApiKeySha256), "api_key_sha256", "must be 64 hexadecimal digits");
      CheckUnique(hashes, "api_key_sha256", row.mApiKeySha256);
      CheckLimits(row.mLimits);
    }
  }

  /// Engines and backends share one space of names and addresses: both are backend servers.
  template<class row>
  void CheckServer(const row& aRow)
  {
    CheckName("name", aRow.mName);
    CheckUnique(mServerNames, "name", aRow.mName);
    Require(IsIpAndPort(aRow.mAddress), "address", "must be ip:port");
    CheckUnique(mServerAddresses, "address", aRow.mAddress);
    CheckName("data_centre", aRow.mDataCentre);
    CheckWeight(aRow.mWeight);
  }

  void CheckEngines()
  {
    for (std::size_t i = 0; i < mTable.Engines().size(); ++i) {
      const auto& row = mTable.Engines()[i];
      Begin("engines", i, row.mName);
      CheckServer(row);
      CheckService(row.mService, service_kind::Model);
      const auto* model = mTable.FindModel(row.mModel);
      Require(model != nullptr, "model", "there is no model " + row.mModel);
      Require(model == nullptr || model->mService == row.mService,
              "model",
              row.mModel + " does not belong to service " + row.mService);
    }
  }

  void CheckBackends()
  {
    for (std::size_t i = 0; i < mTable.Backends().size(); ++i) {
      const auto& row = mTable.Backends()[i];
      Begin("backends", i, row.mName);
      CheckServer(row);
      CheckService(row.mService, service_kind::Plain);
    }
  }

  const table& mTable;
  std::string mLabel;
  problem_list mProblems;
  first_uses mServerNames;
  first_uses mServerAddresses;
};

} // namespace

std::vector<table_problem>
table::Problems() const
{
  return table_checker{ *this }.Run();
}

} // namespace skylarkwind
