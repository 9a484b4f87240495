#pragma once

#include "request_reader_p.h"
#include "skylarkwind/events.h"

#include <string>
#include <variant>

namespace skylarkwind {

/// Parses and checks the JSON body of a completion.
std::variant<completion_request, refusal> ParseCompletion(std::string aBody, bool aChat);

} // namespace skylarkwind
