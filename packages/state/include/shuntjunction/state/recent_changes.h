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

/// Changes that are kept, at most.
inline constexpr std::size_t kMaxRecentChanges = 256;

/// Bytes of values that are kept, at most, but for the newest change.
inline constexpr std::size_t kMaxRecentBytes = 128UL * 1024;

/// Changes from one version of a configuration to a later one.
struct ConfigChanges
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mSince = 0;  ///< revision of the newest change before them
  std::uint64_t mNewest = 0; ///< revision of the last of them
  std::uint64_t mCursor = 0; ///< platform revision that they lead up to
  std::uint64_t mDigest = 0; ///< ContentDigest after them
  std::vector<RawObject> mChanges; ///< deleted ones have no value
};

/// Digest of one object's key and revision; a configuration's is their sum.
///
/// Thread safety: pure.
std::uint64_t
ContentDigest(const RawObject& aObject);

/// Changes as JSON text, and back.
std::string
WriteConfigChanges(const ConfigChanges& aChanges);
Result<ConfigChanges>
ReadConfigChanges(std::string_view aText, std::string_view aPeer);

/// Whether a peer's text holds changes rather than a whole configuration.
bool
IsConfigChanges(std::string_view aText);

/// Keeps the latest changes, within bounds.
///
/// Thread safety: none; owned by the control thread. A copy may be read from
/// any thread.
class RecentChanges
{
public:
  /// Begins anew: what led up to this version is not known.
  void Restart(std::uint64_t aEpoch, std::uint64_t aNewest);

  /// Adds changes that follow on.
  void Add(std::vector<RawObject> aChanges);

  /// Notes what the configuration is after the changes.
  void Complete(std::uint64_t aCursor, std::uint64_t aDigest);

  /// Text for a peer that has a version; empty where these changes do not
  /// reach back so far, or where it is not of this epoch. Zero asks for the
  /// whole, which changes never are.
  std::string SerializeSince(std::uint64_t aEpoch, std::uint64_t aHave) const;

private:
  ConfigChanges mKept;
  std::size_t mBytes = 0;
};

} // namespace shuntjunction::state
