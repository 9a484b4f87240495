#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A value that may only be added to, or set when it is a gauge. Threads may add at once.
class counter
{
public:
  void Add(std::int64_t aAmount = 1) { mValue.fetch_add(aAmount, std::memory_order_relaxed); }
  void Set(std::int64_t aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  std::int64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

enum class counter_kind
{
  Counter,
  Gauge
};

/// Registry of counters, printed in the Prometheus text form.
class counters
{
public:
  /// Returns the counter of this name and label text (for example `service="stones"`), creating
  /// it at the first call. The reference stays valid as long as the registry.
  counter& Get(std::string_view aName,
               std::string_view aHelp,
               std::string_view aLabels = {},
               counter_kind aKind = counter_kind::Counter);

  std::string PrometheusText() const;

private:
  struct family
  {
    std::string mHelp;
    counter_kind mKind = counter_kind::Counter;
    std::map<std::string, counter, std::less<>> mValues;
  };
  std::map<std::string, family, std::less<>> mFamilies;
};

} // namespace skylarkwind
