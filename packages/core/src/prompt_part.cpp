#include "skylarkwind/prompt_part.h"

#include "skylarkwind/hash.h"

#include <array>
#include <charconv>

namespace skylarkwind {

namespace {

constexpr int kHexadecimal = 16;

} // namespace

prompt_part
PromptPartOf(std::string_view aId)
{
  prompt_part value = 0;
  const auto* end = aId.data() + aId.size();
  const auto [rest, error] = std::from_chars(aId.data(), end, value, kHexadecimal);
  return error == std::errc{} && rest == end && !aId.empty() ? value : Hash64(aId);
}

std::string
PromptPartText(prompt_part aPart)
{
  std::array<char, 2 * sizeof(prompt_part)> digits{};
  const auto written =
    std::to_chars(digits.data(), digits.data() + digits.size(), aPart, kHexadecimal);
  return { digits.data(), written.ptr };
}

} // namespace skylarkwind
