#include "service_index_p.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/limit_shares.h"

#include <algorithm>

namespace skylarkwind {

namespace {

constexpr std::array<engine_role, kRoles> kAllRoles = { engine_role::Prefill,
                                                        engine_role::Decode,
                                                        engine_role::Both };
constexpr std::array<std::string_view, kRequestOutcomes> kOutcomeTexts = { "completed",
                                                                           "refused",
                                                                           "rejected",
                                                                           "failed",
                                                                           "cancelled" };

void
FindCounters(service_entry& aEntry, counters& aCounters)
{
  for (std::size_t role = 0; role <= kRoles; ++role) {
    const std::string roleText{ role < kRoles ? RoleText(kAllRoles[role]) : "none" };
    for (std::size_t outcome = 0; outcome < kRequestOutcomes; ++outcome) {
      std::string labels = "service=\"" + aEntry.mRow.mName;
      labels += "\",role=\"" + roleText;
      labels += "\",outcome=\"";
      labels += kOutcomeTexts[outcome];
      labels += '"';
      aEntry.mEnded[role][outcome] = &aCounters.Get(
        "skylarkwind_requests_total", "Requests of callers that have ended.", labels);
    }
  }
}

void
FindBackendsOfKeys(service_entry& aEntry, const table& aTable)
{
  for (const auto& backend : aTable.Backends()) {
    if (backend.mService == aEntry.mRow.mName) {
      if (!backend.mHonoursKeys) {
        aEntry.mKeyBackends.clear();
        return;
      }
      if (backend.mIntent == engine_intent::Serve) {
        aEntry.mKeyBackends.push_back(backend.mName);
      }
    }
  }
}

std::shared_ptr<const service_entry>
MakeEntry(const service_row& aRow, const table& aTable, counters& aCounters)
{
  auto entry = std::make_shared<service_entry>();
  entry->mRow = aRow;
  entry->mLimit = ServiceLimit(aRow.mName);
  for (std::size_t i = 0; i < kRoles; ++i) {
    entry->mRoleLimits[i] = RoleLimit(aRow.mName, kAllRoles[i]);
    entry->mRoleWeights[i] = 1;
  }
  for (const auto& role : aTable.Roles()) {
    if (role.mService == aRow.mName) {
      entry->mRoleWeights[static_cast<std::size_t>(role.mRole)] = role.mWeight;
    }
  }
  FindBackendsOfKeys(*entry, aTable);
  FindCounters(*entry, aCounters);
  return entry;
}

/// "/orders" covers "/orders", "/orders/7" and "/orders?x", but not "/orders2".
bool
Covers(std::string_view aPrefix, std::string_view aPath)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') || aPath[aPrefix.size()] == '/' ||
         aPath[aPrefix.size()] == '?';
}

} // namespace

std::string_view
service_entry::BackendOfKey(std::string_view aKey) const
{
  std::string_view home;
  std::uint64_t best = 0;
  for (const auto& name : mKeyBackends) {
    const auto score = RendezvousScore(aKey, name);
    if (home.empty() || score > best) {
      home = name;
      best = score;
    }
  }
  return home;
}

service_index::service_index(const table& aTable, counters& aCounters)
  : mSerial(aTable.Serial())
{
  for (const auto& account : aTable.Accounts()) {
    mAccounts.emplace(account.mApiKeySha256, account);
  }
  for (const auto& model : aTable.Models()) {
    mServiceOfModel.emplace(model.mName, model.mService);
  }
  for (const auto& row : aTable.Services()) {
    auto entry = MakeEntry(row, aTable, aCounters);
    if (row.mKind == service_kind::Plain) {
      mPlain.push_back(entry);
    }
    mServices.emplace(row.mName, std::move(entry));
  }
  std::ranges::stable_sort(mPlain, [](const auto& aLeft, const auto& aRight) {
    return aLeft->mRow.mPathPrefix.size() > aRight->mRow.mPathPrefix.size();
  });
}

const account_row*
service_index::Account(std::string_view aApiKeySha256) const
{
  const auto found = mAccounts.find(std::string{ aApiKeySha256 });
  return aApiKeySha256.empty() || found == mAccounts.end() ? nullptr : &found->second;
}

std::shared_ptr<const service_entry>
service_index::ServiceOfModel(std::string_view aModel) const
{
  const auto found = mServiceOfModel.find(std::string{ aModel });
  return found == mServiceOfModel.end() ? nullptr : Service(found->second);
}

std::shared_ptr<const service_entry>
service_index::ServiceOfPath(std::string_view aPath) const
{
  for (const auto& entry : mPlain) {
    if (Covers(entry->mRow.mPathPrefix, aPath)) {
      return entry;
    }
  }
  return nullptr;
}

double
service_index::RoleWeight(std::string_view aService, engine_role aRole) const
{
  const auto entry = Service(aService);
  return entry == nullptr ? 1.0 : entry->mRoleWeights[static_cast<std::size_t>(aRole)];
}

std::shared_ptr<const service_entry>
service_index::Service(std::string_view aName) const
{
  const auto found = mServices.find(std::string{ aName });
  return found == mServices.end() ? nullptr : found->second;
}

} // namespace skylarkwind
