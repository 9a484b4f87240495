#pragma once

#include "soak_checks.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylarkwind::soak {

struct soak_result
{
  std::vector<std::string> mBroken; ///< broken promises; empty when the run passed
  std::size_t mRequests = 0;
  std::map<int, std::size_t> mStatuses;       ///< answers by status; 0: none began
  std::map<std::string, std::size_t> mFaults; ///< carried out, by kind
  std::string mDirectory;                     ///< logs and records of a run that did not pass
};

/// Plays the disturbances of a seed against real processes under load and checks the promises.
soak_result RunSoak(std::uint64_t aSeed, std::int64_t aLengthMs);

} // namespace skylarkwind::soak
