#include "skylarkwind/route_index.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <cctype>

namespace skylarkwind {

namespace {

/// Host in lower case and without port, since hosts match regardless of either.
std::string
NormaliseHost(std::string_view aHost)
{
  std::string host{ aHost.substr(0, aHost.find(':')) };
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

} // namespace

bool
route_index::Apply(std::shared_ptr<const forward_configuration> aConfiguration)
{
  if (mCurrent && aConfiguration->mVersion <= mCurrent->mVersion) {
    return false;
  }
  mCurrent = std::move(aConfiguration);
  mByHost.clear();
  for (const auto& route : mCurrent->mRoutes) {
    mByHost[NormaliseHost(route.mHost)].push_back(&route);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
    });
  }
  mAccounts.Replace(mCurrent->mAccounts ? std::span<const client_account>{ *mCurrent->mAccounts }
                                        : std::span<const client_account>{});
  return true;
}

const forward_route*
route_index::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mByHost.find(NormaliseHost(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  for (const auto* route : host->second) {
    if (path.starts_with(route->mPathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const std::string&
route_index::ServiceFor(const forward_route& aRoute, std::string_view aKey)
{
  static const std::string kNoService;
  if (aRoute.mServices.empty()) {
    return kNoService;
  }
  std::uint64_t totalWeight = 0;
  for (const auto& share : aRoute.mServices) {
    totalWeight += share.mWeight;
  }
  if (totalWeight == 0) {
    return aRoute.mServices.front().mService;
  }
  std::uint64_t point = Hash64(aKey) % totalWeight;
  for (const auto& share : aRoute.mServices) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mServices.back().mService;
}

} // namespace skylarkwind
