#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Index of the cached parts that engines and stores have reported.
namespace shuntjunction::state {

/// Upper limit of the parts indexed per holder; further ones are of no use.
inline constexpr std::size_t kMaxPartsOfHolder = 4096;

/// Name of a part: salt, slash, id.
std::string
PartName(std::string_view aSalt, std::string_view aPart);

/// Maps each part to its holders, the engines and stores that keep it.
///
/// The index is only a hint: reports arrive late, and a few changes are never
/// reported.
/// Thread safety: none; owned by one thread.
class PartIndex
{
public:
  /// Adds and removes parts of a holder.
  ///
  /// @param aIsSnapshot  aGained lists all parts that the holder keeps
  void Apply(const std::string& aHolder,
             bool aIsSnapshot,
             const std::vector<std::string>& aGained,
             const std::vector<std::string>& aLost);

  /// Removes a holder and its parts.
  void Forget(const std::string& aHolder);

  /// Whether a holder keeps a part.
  bool Holds(std::string_view aHolder, const std::string& aPart) const;

  /// Whether any holder keeps a part.
  bool HasHolder(const std::string& aPart) const
  {
    return mByPart.contains(aPart);
  }

  /// All holders of a part, sorted by name.
  std::vector<std::string> Holders(const std::string& aPart) const;

private:
  using Names = std::set<std::string, std::less<>>;

  void RemoveHolder(const std::string& aHolder, const std::string& aPart);

  std::map<std::string, Names, std::less<>> mByHolder;
  std::unordered_map<std::string, Names> mByPart;
};

} // namespace shuntjunction::state
