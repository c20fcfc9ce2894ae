#include "request_parts.h"

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

RequestParts
SharedPartsOf(const CallInfo& aCall, std::string_view aTeam, bool aIsIsolated)
{
  RequestParts parts;
  parts.mTeam = aTeam.empty() ? 0 : state::PlacementHash(aTeam);
  // The last part is the request's own.
  for (std::size_t i = 0; i + 1 < aCall.mParts.size() &&
                          parts.mParts.size() < protocol::kMaxPartsInReport;
       ++i) {
    parts.mParts.push_back(state::PartDigest(
      aCall.mModel, aCall.mParts[i].mId, aIsIsolated ? aTeam : ""));
    parts.mPartsOfTeam.push_back(
      state::PartOfTeamDigest(parts.mParts.back(), parts.mTeam));
  }
  return parts;
}

} // namespace shuntjunction::coordination
