#pragma once

#include "request_reader_p.h"
#include "skylarkwind/events.h"
#include "skylarkwind/front.h"

#include <string_view>
#include <variant>

namespace skylarkwind {

/// Who answers a request.
enum class route
{
  Local,
  Completions,
  ChatCompletions,
  Plain
};

route RouteOf(std::string_view aTarget);

/// The token of "Authorization: Bearer <token>"; empty when there is none.
std::string_view BearerToken(const header_list& aHeaders);

local_request ToLocalRequest(received_request&& aRequest);

/// Checks a request for the core. A completion's body is parsed and its types are checked.
std::variant<caller_request, refusal> ParseCallerRequest(received_request&& aRequest);

/// True for headers that concern one connection only and are never passed on.
bool IsHopByHop(std::string_view aName);

} // namespace skylarkwind
