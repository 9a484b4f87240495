#include "claim_entry_p.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkwind {

namespace {

using nlohmann::json;

std::string
Encode(std::string_view aBytes)
{
  std::string text;
  text.reserve(aBytes.size());
  for (const char c : aBytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text += c;
    } else {
      text += static_cast<char>(0xC0 | (byte >> 6));
      text += static_cast<char>(0x80 | (byte & 0x3F));
    }
  }
  return text;
}

std::string
Decode(std::string_view aText)
{
  std::string bytes;
  bytes.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const auto lead = static_cast<unsigned char>(aText[i]);
    if (lead < 0x80) {
      bytes += aText[i];
    } else if ((lead & 0xFC) == 0xC0 && i + 1 < aText.size()) {
      bytes += static_cast<char>((lead << 6) | (static_cast<unsigned char>(aText[++i]) & 0x3F));
    } else {
      throw std::invalid_argument{ "a string holds a code point above U+00FF" };
    }
  }
  return bytes;
}

std::string
DecodeMember(const json& aObject, const char* aName)
{
  return Decode(aObject.at(aName).get_ref<const std::string&>());
}

const char*
StateText(claim_state aState)
{
  switch (aState) {
    case claim_state::Claimed:
      return "c";
    case claim_state::Done:
      return "d";
    case claim_state::Withdrawn:
      return "w";
    case claim_state::Unknown:
      break;
  }
  return "u";
}

claim_state
ParseState(const std::string& aText)
{
  if (aText == "c") {
    return claim_state::Claimed;
  }
  if (aText == "d") {
    return claim_state::Done;
  }
  // An unknown state, written by a later version, may mean that the request was executed.
  return aText == "w" ? claim_state::Withdrawn : claim_state::Unknown;
}

json
Write(const claim_entry& aEntry)
{
  json value{ { "s", StateText(aEntry.mState) },
              { "v", Encode(aEntry.mProcess.mVm) },
              { "i", aEntry.mProcess.mStartId },
              { "a", Encode(aEntry.mAttempt) },
              { "f", Encode(aEntry.mFingerprint) },
              { "x", aEntry.mDeadline.time_since_epoch().count() },
              { "t", aEntry.mChanged.time_since_epoch().count() } };
  if (aEntry.mState == claim_state::Done) {
    value["c"] = aEntry.mStatus;
    json headers = json::array();
    for (const auto& [name, text] : aEntry.mHeaders) {
      headers.push_back(json::array({ Encode(name), Encode(text) }));
    }
    value["h"] = std::move(headers);
    if (aEntry.mBodyRecorded) {
      value["b"] = Encode(aEntry.mBody);
    }
  }
  return value;
}

claim_entry
Read(const json& aValue)
{
  claim_entry entry;
  entry.mState = ParseState(aValue.at("s").get<std::string>());
  entry.mProcess = { DecodeMember(aValue, "v"), aValue.at("i").get<std::uint64_t>() };
  entry.mAttempt = DecodeMember(aValue, "a");
  entry.mFingerprint = DecodeMember(aValue, "f");
  entry.mDeadline = wall_instant{ std::chrono::milliseconds{ aValue.at("x").get<std::int64_t>() } };
  entry.mChanged = wall_instant{ std::chrono::milliseconds{ aValue.at("t").get<std::int64_t>() } };
  if (entry.mState == claim_state::Done) {
    entry.mStatus = aValue.at("c").get<int>();
    for (const auto& header : aValue.at("h")) {
      entry.mHeaders.emplace_back(Decode(header.at(0).get_ref<const std::string&>()),
                                  Decode(header.at(1).get_ref<const std::string&>()));
    }
    entry.mBodyRecorded = aValue.contains("b");
    entry.mBody = entry.mBodyRecorded ? DecodeMember(aValue, "b") : "";
  }
  return entry;
}

} // namespace

absl::StatusOr<claim_entry>
claim_entry::Parse(std::string_view aJson)
{
  try {
    return Read(json::parse(aJson));
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

std::string
claim_entry::ToJson() const
{
  return Write(*this).dump();
}

absl::StatusOr<claim_map>
ParseClaims(std::string_view aJson)
{
  try {
    claim_map claims;
    const json object = json::parse(aJson);
    for (const auto& [key, value] : object.items()) {
      claims.emplace(Decode(key), Read(value));
    }
    return claims;
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

std::string
ClaimsToJson(const claim_map& aClaims)
{
  json value = json::object();
  for (const auto& [key, entry] : aClaims) {
    value[Encode(key)] = Write(entry);
  }
  return value.dump();
}

} // namespace skylarkwind
