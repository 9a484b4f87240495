#include "platform_json_p.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace skylarkwind {

namespace {

using nlohmann::json;
using answer = std::variant<platform_result, platform_error>;

std::optional<std::uint64_t>
Number(const json& aObject, const char* aName)
{
  if (!aObject.is_object()) {
    return std::nullopt;
  }
  auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::optional<std::string>
Text(const json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

answer
ReadObject(const json& aBody)
{
  auto version = Number(aBody, "version");
  if (!version || !aBody.contains("value")) {
    return platform_error::Malformed;
  }
  return platform_result{ object_found{ *version, aBody["value"].dump() } };
}

std::optional<vm_entry>
ReadVm(const json& aVm)
{
  if (!aVm.is_object()) {
    return std::nullopt;
  }
  auto name = Text(aVm, "name");
  auto address = Text(aVm, "address");
  auto dataCentre = Text(aVm, "data_centre");
  auto kind = Text(aVm, "kind");
  auto state = Text(aVm, "state");
  if (!name || !address || !dataCentre || !kind || !state) {
    return std::nullopt;
  }
  if ((*kind != "entry" && *kind != "backend") || (*state != "live" && *state != "leaving")) {
    return std::nullopt;
  }
  return vm_entry{ *name,
                   *address,
                   *dataCentre,
                   *kind == "entry" ? vm_kind::Entry : vm_kind::Backend,
                   *state == "leaving" };
}

/// A list with one entry that cannot be read is refused whole: a VM that is missing by mistake
/// would lose its shares.
answer
ReadVms(const json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("vms") || !aBody["vms"].is_array()) {
    return platform_error::Malformed;
  }
  vm_list list;
  for (const auto& entry : aBody["vms"]) {
    auto vm = ReadVm(entry);
    if (!vm) {
      return platform_error::Malformed;
    }
    list.mVms.push_back(std::move(*vm));
  }
  return platform_result{ std::move(list) };
}

answer
ReadWrite(int aStatus, const json& aBody)
{
  auto version = Number(aBody, "version");
  if (!version || (aStatus != 200 && aStatus != 409)) {
    return platform_error::Malformed;
  }
  if (aStatus == 200) {
    return platform_result{ write_accepted{ *version } };
  }
  return platform_result{ write_conflict{ *version } };
}

} // namespace

std::variant<platform_result, platform_error>
ReadPlatformAnswer(const platform_operation& aOperation, const http_result& aAnswer)
{
  auto status = aAnswer.mStatus;
  if (status == 429 || status == 503 || status == 413) {
    return platform_error::Refused;
  }
  bool write = std::holds_alternative<write_object>(aOperation);
  bool watch = std::holds_alternative<watch_object>(aOperation);
  bool vms = std::holds_alternative<read_vm_list>(aOperation);
  if (status == 304 && watch) {
    return platform_result{ object_unchanged{} };
  }
  if (status == 404 && !write && !vms) {
    return platform_result{ object_missing{} };
  }
  auto body = json::parse(aAnswer.mBody, nullptr, false);
  if (body.is_discarded()) {
    return platform_error::Malformed;
  }
  if (write) {
    return ReadWrite(status, body);
  }
  if (status != 200) {
    return platform_error::Malformed;
  }
  return vms ? ReadVms(body) : ReadObject(body);
}

std::string_view
PlatformErrorText(platform_error aError)
{
  switch (aError) {
    case platform_error::NotSent:
      return "not sent";
    case platform_error::Refused:
      return "refused";
    case platform_error::NoAnswer:
      return "no answer";
    case platform_error::Malformed:
      return "malformed answer";
  }
  return "unknown";
}

platform_result
ConvertPlatformError(platform_error aError, const std::string& aReason)
{
  auto reason = std::string{ PlatformErrorText(aError) };
  if (!aReason.empty()) {
    reason += ": " + aReason;
  }
  if (aError == platform_error::NotSent || aError == platform_error::Refused) {
    return platform_refused{ reason };
  }
  return platform_outcome_unknown{ reason };
}

std::string
EncodeSegment(const std::string& aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (unsigned char byte : aText) {
    if (std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.' || byte == '~') {
      encoded += static_cast<char>(byte);
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

} // namespace skylarkwind
