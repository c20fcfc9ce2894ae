#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Recognizes repeated requests by their content, whatever the id of each
/// attempt.
namespace shuntjunction::state {

/// The fields in which repeated requests are equal.
struct RequestContent
{
  std::string_view mMethod;
  std::string_view mHost;
  std::string_view mTarget; ///< path and query
  std::string_view mTeam;   ///< empty: none
  std::string_view mBody;
};

/// Identifies the content of a request.
///
/// The digest is cryptographic: a request may be refused because of what
/// another with the same digest did, so nobody may be able to craft a request
/// with the digest of somebody else's.
/// Thread safety: a value.
class RequestDigest
{
public:
  /// Creates an empty digest, which is that of no request.
  RequestDigest() = default;

  explicit RequestDigest(const RequestContent& aContent);

  /// Parses the result of Text; empty if aText is not a digest.
  static std::optional<RequestDigest> Parse(std::string_view aText);

  /// 32 hex digits; empty for an empty digest.
  const std::string& Text() const { return mText; }

  auto operator<=>(const RequestDigest&) const = default;

private:
  std::string mText;
};

/// Identifies a shared part of prompts, as RequestDigest does a request; no
/// request has the same digest.
///
/// @param aIsolatedTeam  team that shares no parts with others; empty: shared
RequestDigest
PartDigest(std::string_view aModel,
           std::string_view aPart,
           std::string_view aIsolatedTeam);

/// Identifies a shared part in the requests of one team.
///
/// @param aTeam  hash of the team's name
RequestDigest
PartOfTeamDigest(const RequestDigest& aPart, std::uint64_t aTeam);

} // namespace shuntjunction::state
