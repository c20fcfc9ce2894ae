#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Which engines and stores keep which cached parts, as they said.
namespace shuntjunction::state {

/// Parts of one holder that are remembered; it keeps no more that matter.
inline constexpr std::size_t kMaxPartsOfHolder = 4096;

/// Name of a part: its salt, a slash and its id.
std::string
PartName(std::string_view aSalt, std::string_view aPart);

/// Knows the holders of each part.
///
/// Hints, not truth: what it is told comes late, and a few changes never.
/// Thread safety: none; owned by one thread.
class PartIndex
{
public:
  /// Adds and takes away parts of a holder.
  ///
  /// @param aIsWhole  aGained is all that the holder keeps
  void Apply(const std::string& aHolder,
             bool aIsWhole,
             const std::vector<std::string>& aGained,
             const std::vector<std::string>& aLost);

  /// Forgets a holder.
  void Forget(const std::string& aHolder);

  /// Whether a holder keeps a part.
  bool Holds(std::string_view aHolder, const std::string& aPart) const;

  /// Whether anybody keeps a part.
  bool HasHolder(const std::string& aPart) const
  {
    return mByPart.contains(aPart);
  }

  /// All holders of a part, in the order of their names.
  std::vector<std::string> Holders(const std::string& aPart) const;

private:
  using Names = std::set<std::string, std::less<>>;

  void Remove(const std::string& aHolder, const std::string& aPart);

  std::map<std::string, Names, std::less<>> mByHolder;
  std::unordered_map<std::string, Names> mByPart;
};

} // namespace shuntjunction::state
