#include "replication_metrics_p.h"

#include <cstdint>
#include <string_view>

namespace skylarkwind {

namespace {

constexpr const char* kBytesHelp =
  "Bytes of encoded states of stored objects, exchanged with other daemons.";
constexpr const char* kStatesHelp = "States of stored objects received from other daemons.";
constexpr const char* kAgeHelp =
  "Time from the read of a state from the store, at any daemon, until it was applied here.";

/// Labels of a metric of this kind of object, with a second label if it is given.
std::string
Labels(const std::string& aKind, std::string_view aName = {}, std::string_view aValue = {})
{
  std::string text = "kind=\"";
  text.append(aKind).append("\"");
  if (!aName.empty()) {
    text.append(",").append(aName).append("=\"").append(aValue).append("\"");
  }
  return text;
}

void
PublishKind(const std::string& aKind,
            const replication_statistics& aStatistics,
            counters& aCounters)
{
  const auto set = [&aCounters](const char* aName,
                                const char* aHelp,
                                const std::string& aLabels,
                                std::uint64_t aValue) {
    aCounters.Get(aName, aHelp, aLabels).Set(static_cast<std::int64_t>(aValue));
  };
  constexpr const char* kBytes = "skylarkwind_replication_bytes_total";
  set(kBytes, kBytesHelp, Labels(aKind, "direction", "sent"), aStatistics.mSentBytes);
  set(kBytes, kBytesHelp, Labels(aKind, "direction", "received"), aStatistics.mReceivedBytes);
  constexpr const char* kStates = "skylarkwind_replication_states_total";
  set(kStates, kStatesHelp, Labels(aKind, "by", "announcement"), aStatistics.mPushed);
  set(kStates, kStatesHelp, Labels(aKind, "by", "parts"), aStatistics.mFetched);
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < aStatistics.mAges.size(); ++i) {
    count += aStatistics.mAges.at(i);
    const auto bound = i < replication_statistics::kAgeBounds.size()
                         ? std::to_string(replication_statistics::kAgeBounds.at(i).count())
                         : std::string{ "+Inf" };
    set("skylarkwind_replication_age_ms_bucket", kAgeHelp, Labels(aKind, "le", bound), count);
  }
  set("skylarkwind_replication_age_ms_count", kAgeHelp, Labels(aKind), count);
  set("skylarkwind_replication_age_ms_sum",
      kAgeHelp,
      Labels(aKind),
      static_cast<std::uint64_t>(aStatistics.mSumOfAges.count()));
}

} // namespace

void
PublishStatistics(const std::map<std::string, replication_statistics>& aStatistics,
                  counters& aCounters)
{
  for (const auto& [kind, statistics] : aStatistics) {
    PublishKind(kind, statistics, aCounters);
  }
}

} // namespace skylarkwind
