#pragma once

#include "store_replication_p.h"

#include "skylarkwind/counters.h"

#include <map>
#include <string>

namespace skylarkwind {

/// Sets the metrics of the exchange of stored objects with other daemons, by kind of object.
void PublishStatistics(const std::map<std::string, replication_statistics>& aStatistics,
                       counters& aCounters);

} // namespace skylarkwind
