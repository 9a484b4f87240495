#include "skylarkwind/counters.h"

#include <sstream>

namespace skylarkwind {

counter&
counters::Get(std::string_view aName,
              std::string_view aHelp,
              std::string_view aLabels,
              counter_kind aKind)
{
  auto found = mFamilies.find(aName);
  if (found == mFamilies.end()) {
    found = mFamilies.emplace(std::string{ aName }, family{}).first;
    found->second.mHelp = aHelp;
    found->second.mKind = aKind;
  }
  auto& values = found->second.mValues;
  const auto value = values.find(aLabels);
  return value != values.end() ? value->second : values[std::string{ aLabels }];
}

std::string
counters::PrometheusText() const
{
  std::ostringstream out;
  for (const auto& [name, family] : mFamilies) {
    out << "# HELP " << name << ' ' << family.mHelp << '\n';
    out << "# TYPE " << name << (family.mKind == counter_kind::Gauge ? " gauge\n" : " counter\n");
    for (const auto& [labels, value] : family.mValues) {
      out << name;
      if (!labels.empty()) {
        out << '{' << labels << '}';
      }
      out << ' ' << value.Value() << '\n';
    }
  }
  return out.str();
}

} // namespace skylarkwind
