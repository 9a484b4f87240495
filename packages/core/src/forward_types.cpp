#include "skylarkwind/forward_types.h"

#include <algorithm>

namespace skylarkwind {

const forward_service*
forward_configuration::FindService(std::string_view aName) const
{
  const auto found = std::find_if(mServices.begin(), mServices.end(), [&](const auto& aService) {
    return aService.mName == aName;
  });
  return found == mServices.end() ? nullptr : &*found;
}

std::uint32_t
generation_spec::SharedTokens() const
{
  std::uint32_t sum = 0;
  for (std::size_t index = 0; index + 1 < mSegments.size(); ++index) {
    sum += mSegments[index].mTokens;
  }
  return sum;
}

} // namespace skylarkwind
