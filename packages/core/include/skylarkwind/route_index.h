#pragma once

#include "skylarkwind/forward_types.h"

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The configuration in force, arranged for lookups. A version never gives way to an older one.
class route_index
{
public:
  /// Takes a newer version; false when this version or a newer one is in force already.
  bool Apply(std::shared_ptr<const forward_configuration> aConfiguration);

  /// The route of this host with the longest prefix of the path; null when there is none.
  const forward_route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// The service of a route for one request; the same key always gives the same service.
  static const std::string& ServiceFor(const forward_route& aRoute, std::string_view aKey);

  const std::shared_ptr<const forward_configuration>& Current() const { return mCurrent; }
  std::uint64_t Version() const { return mCurrent ? mCurrent->mVersion : 0; }

private:
  std::shared_ptr<const forward_configuration> mCurrent;
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const forward_route*>, std::less<>> mByHost;
};

} // namespace skylarkwind
