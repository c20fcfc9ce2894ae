#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Deterministic output of the engine stand-in, which callers can verify.
namespace shuntjunction::standins {

/// Hash of the prompt in a request body; seeds its answer. 0 for invalid JSON.
std::uint64_t
PromptHash(std::string_view aBody);

/// Token at position aIndex of the answer to a prompt.
std::string
AnswerToken(std::string_view aModel,
            std::uint32_t aWeights,
            std::uint64_t aPrompt,
            std::uint32_t aIndex);

/// The first aCount tokens of the answer, concatenated.
std::string
AnswerText(std::string_view aModel,
           std::uint32_t aWeights,
           std::uint64_t aPrompt,
           std::uint32_t aCount);

} // namespace shuntjunction::standins
