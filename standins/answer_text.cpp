#include "answer_text.h"

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::standins {

std::uint64_t
PromptHash(std::string_view aBody)
{
  const auto value = state::ParseJson(aBody, "body");
  const auto* body = value ? value->if_object() : nullptr;
  if (body == nullptr) {
    return 0;
  }
  const auto kind = body->contains("messages")
                      ? state::RequestKind::kChat
                      : state::RequestKind::kCompletion;
  std::uint64_t hash = 0;
  for (const auto& level : coordination::PromptLevels(kind, *body)) {
    hash = state::PlacementHash(level, hash);
  }
  return hash;
}

std::string
AnswerToken(std::string_view aModel,
            std::uint32_t aWeights,
            std::uint64_t aPrompt,
            std::uint32_t aIndex)
{
  constexpr std::uint64_t kWords = 10000;
  const std::uint64_t seed = state::PlacementHash(aModel, aPrompt + aWeights);
  const std::uint64_t word =
    state::PlacementHash(std::to_string(aIndex), seed) % kWords;
  return " w" + std::to_string(word);
}

std::string
AnswerText(std::string_view aModel,
           std::uint32_t aWeights,
           std::uint64_t aPrompt,
           std::uint32_t aCount)
{
  std::string text;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    text += AnswerToken(aModel, aWeights, aPrompt, i);
  }
  return text;
}

} // namespace shuntjunction::standins
