#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/config_objects.h"
#include "shuntjunction/state/error.h"

/// The latest changes of a configuration, for peers that lack only these.
namespace shuntjunction::state {

/// Maximum number of changes that are kept.
inline constexpr std::size_t kMaxRecentChanges = 256;

/// Maximum size of the values that are kept, in bytes; the newest change is
/// kept whatever its size.
inline constexpr std::size_t kMaxRecentBytes = 128UL * 1024;

/// Changes from one version of a configuration to a later one.
struct ConfigChanges
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mBaseRevision = 0; ///< revision of the last change before them
  std::uint64_t mNewest = 0;       ///< revision of the last of them
  std::uint64_t mCursor = 0;       ///< platform revision reached after them
  std::uint64_t mDigest = 0;       ///< ContentDigest of all objects after them
  std::vector<RawObject> mChanges; ///< deleted objects have no value
};

/// Digest of one object's key and revision; a configuration's is the sum over
/// its objects.
///
/// Thread safety: pure.
std::uint64_t
ContentDigest(const RawObject& aObject);

/// Serializes changes to JSON, and parses them.
std::string
WriteConfigChanges(const ConfigChanges& aChanges);
Result<ConfigChanges>
ReadConfigChanges(std::string_view aText, std::string_view aPeer);

/// Whether a peer's text holds changes rather than a full configuration.
bool
IsConfigChanges(std::string_view aText);

/// Keeps the latest changes, within bounds.
///
/// Thread safety: none; owned by the control thread. A copy may be read from
/// any thread.
class RecentChanges
{
public:
  /// Starts over at a version; the changes that led to it are not known.
  void Reset(std::uint64_t aEpoch, std::uint64_t aNewest);

  /// Adds changes that continue without a gap.
  void Add(std::vector<RawObject> aChanges);

  /// Sets the state of the configuration after the changes.
  void SetEndState(std::uint64_t aCursor, std::uint64_t aDigest);

  /// Serializes the changes for a peer that has a version.
  ///
  /// @return empty when the changes do not reach back that far, when the
  /// version is of another epoch, or when it is zero: that requests the full
  /// configuration, which changes never are
  std::string SerializeSince(std::uint64_t aEpoch,
                             std::uint64_t aPeerRevision) const;

private:
  ConfigChanges mRetained;
  std::size_t mBytes = 0;
};

} // namespace shuntjunction::state
