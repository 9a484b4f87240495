#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/http_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// What went wrong in an exchange with an engine.
enum class engine_error
{
  NotSent,
  NotRun,
  Rejected,
  Broken,
  Silent,
  Malformed ///< an answer that docs/design.md 5.2 does not describe
};

std::string_view EngineErrorText(engine_error aError);
attempt_failed::cause ConvertEngineError(engine_error aError);

/// The body that goes to the engine; empty when the caller's body is not a JSON object.
std::optional<std::string> GenerationBody(const generate_call& aCall);

/// One chunk of a generation.
struct generation_chunk
{
  std::string mText;
  std::optional<std::uint64_t> mOffset;
  std::string mFinishReason;
  std::optional<token_usage> mUsage;
  std::optional<engine_report> mReport;
  std::string mError; ///< message of an error that the engine reported within the stream
};

/// Empty when the text is no chunk.
std::optional<generation_chunk> ReadChunk(std::string_view aText, bool aChat);
std::optional<engine_report> ReadReport(std::string_view aText);

/// Error of an answer that is no stream.
engine_error ReadRefusal(int aStatus, std::string_view aBody);

std::string OrderBody(const engine_command& aOrder);
engine_command_result ReadOrderStatus(int aStatus);
std::string ExportBody(const std::string& aStream);
std::optional<std::string> ReadExport(std::string_view aText);

struct cache_events_page
{
  std::vector<cache_event> mEvents;
  std::uint64_t mNext = 0;
  std::uint64_t mIncarnation = 0; ///< 0 when the engine does not give it
};
std::optional<cache_events_page> ReadCacheEventsPage(std::string_view aText);

/// Leaves out the headers that belong to one connection, and those that are set anew.
header_list EndToEndHeaders(const header_list& aHeaders);

} // namespace skylarkwind
