#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// The text that the engine stand-in generates, so that callers can check it.
namespace shuntjunction::standins {

/// Hash of a prompt that all its answers depend on.
std::uint64_t
PromptHash(std::string_view aBody);

/// Token number aIndex of the answer to a prompt.
std::string
AnswerToken(std::string_view aModel,
            std::uint32_t aWeights,
            std::uint64_t aPrompt,
            std::uint32_t aIndex);

/// The first aCount tokens of an answer.
std::string
AnswerText(std::string_view aModel,
           std::uint32_t aWeights,
           std::uint64_t aPrompt,
           std::uint32_t aCount);

} // namespace shuntjunction::standins
