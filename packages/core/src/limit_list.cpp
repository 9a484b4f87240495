#include "limit_list_p.h"

#include "skylarkwind/limit_shares.h"

namespace skylarkwind {

namespace {

void
Add(std::vector<limit_row>& aRows, std::string aName, const row_limits& aLimits)
{
  if (aLimits.mMaxConcurrent > 0 || aLimits.mMaxRequestsPerSecond > 0) {
    aRows.push_back({ std::move(aName), aLimits });
  }
}

} // namespace

std::string
AccountLimit(std::string_view aAccount)
{
  return "account/" + std::string{ aAccount };
}

std::string
ServiceLimit(std::string_view aService)
{
  return "service/" + std::string{ aService };
}

std::string
RoleLimit(std::string_view aService, engine_role aRole)
{
  return "role/" + std::string{ aService } + "/" + std::string{ RoleText(aRole) };
}

std::vector<limit_row>
LimitsOf(const table& aTable)
{
  std::vector<limit_row> rows;
  for (const auto& account : aTable.Accounts()) {
    Add(rows, AccountLimit(account.mName), account.mLimits);
  }
  for (const auto& service : aTable.Services()) {
    Add(rows, ServiceLimit(service.mName), service.mLimits);
  }
  for (const auto& role : aTable.Roles()) {
    Add(rows, RoleLimit(role.mService, role.mRole), role.mLimits);
  }
  return rows;
}

} // namespace skylarkwind
