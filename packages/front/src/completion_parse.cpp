#include "completion_parse_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// The engine adapter writes the body again, and the JSON library does that recursively, so the
/// depth bounds the stack.
constexpr std::size_t kMaxJsonDepth = 64;
constexpr std::uint64_t kDefaultMaxTokens = 256;
constexpr std::uint64_t kMaxMaxTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;

using failure = std::optional<refusal>;

refusal
Invalid(std::string aMessage)
{
  return refusal{ 400, "invalid_value", std::move(aMessage), {} };
}

/// Depth of brackets outside strings.
std::size_t
NestingDepth(std::string_view aJson)
{
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool inString = false;
  for (std::size_t at = 0; at < aJson.size(); ++at) {
    const char byte = aJson[at];
    if (inString) {
      at += byte == '\\' ? 1 : 0;
      inString = byte != '"';
    } else if (byte == '"') {
      inString = true;
    } else if (byte == '{' || byte == '[') {
      deepest = std::max(deepest, ++depth);
    } else if ((byte == '}' || byte == ']') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

/// The member of this name; null counts as absent.
const json*
Member(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() || found->is_null() ? nullptr : &*found;
}

failure
ReadModel(const json& aBody, completion_request& aParsed)
{
  const auto* model = Member(aBody, "model");
  if (model == nullptr) {
    return refusal{ 400, "missing_model", "model is required", {} };
  }
  if (!model->is_string() || model->get_ref<const std::string&>().empty()) {
    return Invalid("model must be a string that is not empty");
  }
  aParsed.mModel = model->get<std::string>();
  return std::nullopt;
}

failure
ReadMaxTokens(const json& aBody, completion_request& aParsed)
{
  const auto* limit = Member(aBody, "max_tokens");
  if (limit == nullptr && aParsed.mChat) {
    limit = Member(aBody, "max_completion_tokens");
  }
  aParsed.mMaxTokens = kDefaultMaxTokens;
  if (limit == nullptr) {
    return std::nullopt;
  }
  if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() < 1 ||
      limit->get<std::uint64_t>() > kMaxMaxTokens) {
    return Invalid("max_tokens must be an integer from 1 to 1000000");
  }
  aParsed.mMaxTokens = limit->get<std::uint64_t>();
  return std::nullopt;
}

failure
CheckStop(const json& aBody)
{
  const auto* stop = Member(aBody, "stop");
  const auto isText = [](const json& aItem) { return aItem.is_string(); };
  if (stop != nullptr && !stop->is_string() &&
      !(stop->is_array() && std::all_of(stop->begin(), stop->end(), isText))) {
    return Invalid("stop must be a string or an array of strings");
  }
  return std::nullopt;
}

/// Types of members that are passed on to the engine unread.
failure
CheckOptions(const json& aBody, completion_request& aParsed)
{
  for (const char* name : { "temperature", "top_p", "presence_penalty", "frequency_penalty" }) {
    const auto* value = Member(aBody, name);
    if (value != nullptr && !value->is_number()) {
      return Invalid(std::string{ name } + " must be a number");
    }
  }
  const auto* seed = Member(aBody, "seed");
  if (seed != nullptr && !seed->is_number_integer()) {
    return Invalid("seed must be an integer");
  }
  const auto* choices = Member(aBody, "n");
  if (choices != nullptr && *choices != 1) {
    return Invalid("n must be 1");
  }
  const auto* stream = Member(aBody, "stream");
  if (stream != nullptr && !stream->is_boolean()) {
    return Invalid("stream must be true or false");
  }
  aParsed.mStreaming = stream != nullptr && stream->get<bool>();
  return CheckStop(aBody);
}

failure
ReadPrompt(const json& aBody, completion_request& aParsed)
{
  const auto* prompt = Member(aBody, "prompt");
  if (prompt == nullptr) {
    return refusal{ 400, "missing_prompt", "prompt is required", {} };
  }
  if (!prompt->is_string()) {
    return Invalid("prompt must be a string");
  }
  aParsed.mPrompt = prompt->get<std::string>();
  return std::nullopt;
}

/// Appends the text of a message: a string or an array of text parts.
bool
AppendContent(const json& aContent, std::string& aText)
{
  if (aContent.is_string()) {
    aText += aContent.get_ref<const std::string&>();
    return true;
  }
  if (!aContent.is_array()) {
    return false;
  }
  for (const auto& item : aContent) {
    const auto* text = item.is_object() ? Member(item, "text") : nullptr;
    if (text == nullptr || !text->is_string()) {
      return false;
    }
    aText += text->get_ref<const std::string&>();
  }
  return true;
}

failure
ReadMessages(const json& aBody, completion_request& aParsed)
{
  const auto* messages = Member(aBody, "messages");
  if (messages == nullptr) {
    return refusal{ 400, "missing_messages", "messages is required", {} };
  }
  if (!messages->is_array() || messages->empty()) {
    return Invalid("messages must be an array that is not empty");
  }
  for (const auto& message : *messages) {
    const auto* role = message.is_object() ? Member(message, "role") : nullptr;
    if (role == nullptr || !role->is_string()) {
      return Invalid("each message must be an object with a role");
    }
    aParsed.mPrompt += role->get_ref<const std::string&>() + "\n";
    const auto* content = Member(message, "content");
    if (content != nullptr && !AppendContent(*content, aParsed.mPrompt)) {
      return Invalid("the content of a message must be a string or an array of text parts");
    }
    aParsed.mPrompt += "\n";
  }
  return std::nullopt;
}

} // namespace

std::variant<completion_request, refusal>
ParseCompletion(std::string aBody, bool aChat)
{
  if (NestingDepth(aBody) > kMaxJsonDepth) {
    return refusal{ 400, "malformed_json", "the JSON body is nested too deeply", {} };
  }
  const auto body = json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return refusal{ 400, "malformed_json", "the body is not valid JSON", {} };
  }
  if (!body.is_object()) {
    return Invalid("the body must be a JSON object");
  }
  completion_request parsed;
  parsed.mChat = aChat;
  failure wrong = ReadModel(body, parsed);
  if (!wrong) {
    wrong = ReadMaxTokens(body, parsed);
  }
  if (!wrong) {
    wrong = CheckOptions(body, parsed);
  }
  if (!wrong) {
    wrong = aChat ? ReadMessages(body, parsed) : ReadPrompt(body, parsed);
  }
  if (wrong) {
    return std::move(*wrong);
  }
  parsed.mPromptTokens = (parsed.mPrompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  parsed.mBody = std::move(aBody);
  return parsed;
}

} // namespace skylarkwind
