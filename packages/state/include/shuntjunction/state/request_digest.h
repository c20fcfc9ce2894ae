#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

/// Which requests are the same, whatever id each try of them has.
namespace shuntjunction::state {

/// What makes a request the same when it comes again.
struct RequestContent
{
  std::string_view mMethod;
  std::string_view mHost;
  std::string_view mTarget; ///< path and query
  std::string_view mTeam;   ///< empty: none
  std::string_view mBody;
};

/// Names the content of a request.
///
/// A cryptographic digest, for what is believed of one request may get another
/// refused: nobody can make one whose digest is that of somebody else's.
/// Thread safety: a value.
class RequestDigest
{
public:
  /// Of no request.
  RequestDigest() = default;

  /// The digest of a request.
  explicit RequestDigest(const RequestContent& aContent);

  /// Reads what Text wrote; empty when that is something else.
  static std::optional<RequestDigest> Parse(std::string_view aText);

  /// 32 hex digits.
  const std::string& Text() const { return mText; }

  auto operator<=>(const RequestDigest&) const = default;

private:
  std::string mText;
};

} // namespace shuntjunction::state
