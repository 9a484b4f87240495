#pragma once

#include "skylarkwind/account_index.h"
#include "skylarkwind/forward_types.h"

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Index of the active configuration for route lookups. A version is never replaced by an older
/// one.
class route_index
{
public:
  /// `aKeySecret`: see `account_index`.
  explicit route_index(std::uint64_t aKeySecret = 0)
    : mAccounts(aKeySecret)
  {
  }

  /// Activates a newer version; returns false if this version or a newer one is already active.
  bool Apply(std::shared_ptr<const forward_configuration> aConfiguration);

  /// The route of this host with the longest matching path prefix; null when none matches.
  const forward_route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// The service of a route for one request, chosen by weight. The same key always gives the same
  /// service.
  static const std::string& ServiceFor(const forward_route& aRoute, std::string_view aKey);

  /// The accounts of the active configuration, by key. They point into `Current()`.
  const account_index& Accounts() const { return mAccounts; }

  const std::shared_ptr<const forward_configuration>& Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent ? mCurrent->mVersion : 0; }

private:
  std::shared_ptr<const forward_configuration> mCurrent;
  /// Routes by normalised host, longest prefix first. They point into `mCurrent`.
  std::map<std::string, std::vector<const forward_route*>, std::less<>> mByHost;
  account_index mAccounts;
};

} // namespace skylarkwind
