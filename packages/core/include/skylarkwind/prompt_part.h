#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Identity of one part of a prompt. Unlike the key of a `prompt_segment` it depends neither on the
/// parts before it nor on the model, so that it is the same in all requests that hold the part.
using prompt_part = std::uint64_t;

/// The identity of a part whose id is this text: its value if it is a hexadecimal number of up to
/// 64 bits, else a hash of it.
prompt_part PromptPartOf(std::string_view aId);

/// The part's id for people, in hexadecimal.
std::string PromptPartText(prompt_part aPart);

} // namespace skylarkwind
