#include "skylarkwind/quarantine_json.h"

#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace skylarkwind {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Numbers of entries that are read. More than any daemon keeps.
constexpr std::size_t kMaxEntries = 512;
/// Older entries are read as being of this age.
constexpr std::int64_t kMaxAgeMs = 24 * 3'600 * 1'000;
constexpr std::uint64_t kMaxCount = 1'000'000;
/// Bytes of a part in a list, and of everything else of an entry.
constexpr std::size_t kPartBytes = 20;
constexpr std::size_t kEntryBytes = 140;

std::int64_t
Age(instant aAt, instant aNow)
{
  return std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(aNow - aAt).count());
}

/// What an object has under a name, in the types of a state. Any deviation makes it invalid.
class field_reader
{
public:
  field_reader(const json& aObject, instant aNow)
    : mObject(aObject)
    , mNow(aNow)
    , mValid(aObject.is_object())
  {
  }

  bool Valid() const { return mValid; }
  std::string Text(const char* aName) const
  {
    const auto* value = Find(aName);
    mValid = mValid && value != nullptr && value->is_string();
    return mValid ? value->get<std::string>() : std::string{};
  }
  prompt_part Part(const char* aName) const { return PromptPartOf(Text(aName)); }
  std::uint32_t Count(const char* aName) const
  {
    const auto* value = Find(aName);
    mValid = mValid && value != nullptr && value->is_number_unsigned() &&
             value->get<std::uint64_t>() <= kMaxCount;
    return mValid ? value->get<std::uint32_t>() : 0;
  }
  bool Flag(const char* aName) const
  {
    const auto* value = Find(aName);
    mValid = mValid && value != nullptr && value->is_boolean();
    return mValid && value->get<bool>();
  }
  instant Time(const char* aName) const
  {
    const auto* value = Find(aName);
    mValid = mValid && value != nullptr && value->is_number_unsigned();
    const auto age = mValid ? value->get<std::uint64_t>() : 0;
    return mNow - milliseconds{ std::min<std::uint64_t>(age, kMaxAgeMs) };
  }

private:
  const json* Find(const char* aName) const
  {
    if (!mObject.is_object()) {
      return nullptr;
    }
    const auto found = mObject.find(aName);
    return found == mObject.end() ? nullptr : &*found;
  }

  const json& mObject;
  instant mNow;
  mutable bool mValid;
};

/// The parts of a crash in a list "ID/POSITION", as many as there is room for.
std::string
PartList(const engine_crash& aCrash,
         const std::map<prompt_part, std::size_t>& aCrashes,
         std::size_t& aRoom)
{
  auto parts = aCrash.mParts;
  std::stable_sort(
    parts.begin(), parts.end(), [&](const crash_part& aLeft, const crash_part& aRight) {
      return aCrashes.at(aLeft.mPart) > aCrashes.at(aRight.mPart);
    });
  std::string text;
  for (const auto& part : parts) {
    if (aRoom < kPartBytes) {
      break;
    }
    aRoom -= kPartBytes;
    text +=
      (text.empty() ? "" : " ") + PromptPartText(part.mPart) + '/' + std::to_string(part.mPosition);
  }
  return text;
}

std::optional<std::vector<crash_part>>
ParsePartList(const std::string& aText)
{
  std::vector<crash_part> parts;
  std::istringstream list{ aText };
  for (std::string item; list >> item;) {
    const auto slash = item.find('/');
    const auto position = item.substr(std::min(item.size(), slash + 1));
    const bool numeric = !position.empty() && position.size() <= 3 &&
                         std::all_of(position.begin(), position.end(), [](char aDigit) {
                           return aDigit >= '0' && aDigit <= '9';
                         });
    if (slash == std::string::npos || !numeric || parts.size() >= kMaxEntries) {
      return std::nullopt;
    }
    parts.push_back({ PromptPartOf(std::string_view{ item }.substr(0, slash)),
                      static_cast<std::uint8_t>(std::min(std::stoi(position), UINT8_MAX)) });
  }
  return parts;
}

/// Calls `aRead` for each object of the list of that name. False when the list is missing or too
/// long, or an object is invalid.
template<class reader>
bool
ReadList(const json& aState, const char* aName, reader aRead)
{
  const auto list = aState.find(aName);
  if (list == aState.end() || !list->is_array() || list->size() > kMaxEntries) {
    return false;
  }
  return std::all_of(list->begin(), list->end(), aRead);
}

} // namespace

std::string
QuarantineToJson(const quarantine_state& aState, std::size_t aMaxBytes, instant aNow)
{
  json state{ { "parts", json::array() },
              { "acquittals", json::array() },
              { "crashes", json::array() } };
  auto room = aMaxBytes;
  const auto take = [&room] {
    const bool fits = room >= kEntryBytes;
    room -= fits ? kEntryBytes : 0;
    return fits;
  };
  for (const auto& part : aState.mParts) {
    if (take()) {
      state["parts"].push_back({ { "part", PromptPartText(part.mPart) },
                                 { "term", part.mTerm },
                                 { "released", part.mReleased },
                                 { "since_ms", Age(part.mSince, aNow) },
                                 { "requested_ms", Age(part.mRequestedAt, aNow) },
                                 { "crashes", part.mCrashes },
                                 { "probes", part.mProbes },
                                 { "probed_ms", Age(part.mProbedAt, aNow) } });
    }
  }
  std::map<prompt_part, std::size_t> counts;
  std::vector<const engine_crash*> crashes;
  for (const auto& crash : aState.mCrashes) {
    crashes.push_back(&crash);
    for (const auto& part : crash.mParts) {
      ++counts[part.mPart];
    }
  }
  std::sort(crashes.begin(), crashes.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mAt > aRight->mAt;
  });
  for (const auto* crash : crashes) {
    if (take()) {
      state["crashes"].push_back({ { "engine", PromptPartText(crash->mEngine) },
                                   { "ms", Age(crash->mAt, aNow) },
                                   { "parts", PartList(*crash, counts, room) } });
    }
  }
  for (const auto& [part, at] : aState.mAcquittals) {
    if (take()) {
      state["acquittals"].push_back({ { "part", PromptPartText(part) }, { "ms", Age(at, aNow) } });
    }
  }
  return state.dump();
}

std::optional<quarantine_state>
QuarantineFromJson(std::string_view aText, instant aNow)
{
  const auto text = ParseUntrustedJson(aText);
  if (!text.is_object()) {
    return std::nullopt;
  }
  quarantine_state state;
  const bool parts = ReadList(text, "parts", [&](const json& aObject) {
    const field_reader in{ aObject, aNow };
    state.mParts.push_back({ in.Part("part"),
                             in.Count("term"),
                             in.Flag("released"),
                             in.Time("since_ms"),
                             in.Time("requested_ms"),
                             in.Count("crashes"),
                             in.Count("probes"),
                             in.Time("probed_ms") });
    return in.Valid();
  });
  const bool crashes = ReadList(text, "crashes", [&](const json& aObject) {
    const field_reader in{ aObject, aNow };
    const auto list = ParsePartList(in.Text("parts"));
    state.mCrashes.push_back(
      { in.Part("engine"), in.Time("ms"), list.value_or(std::vector<crash_part>{}) });
    return in.Valid() && list.has_value();
  });
  const bool acquittals = ReadList(text, "acquittals", [&](const json& aObject) {
    const field_reader in{ aObject, aNow };
    state.mAcquittals.emplace_back(in.Part("part"), in.Time("ms"));
    return in.Valid();
  });
  return parts && crashes && acquittals ? std::optional{ std::move(state) } : std::nullopt;
}

} // namespace skylarkwind
