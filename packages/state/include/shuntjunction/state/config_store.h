#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/config_objects.h"
#include "shuntjunction/state/recent_changes.h"

/// The active configuration, which never reverts to an older version.
namespace shuntjunction::state {

/// Version of a configuration: epoch, then platform revision.
///
/// Only operators raise the epoch, when they start to use a platform that was
/// restored to an older state; its lower revisions are accepted again then.
struct ConfigVersion
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mRevision = 0;

  auto operator<=>(const ConfigVersion&) const = default;

  /// Both parts in one number with the same order.
  std::uint64_t Packed() const { return (mEpoch << 48U) | mRevision; }

  /// Inverse of Packed.
  static ConfigVersion Unpack(std::uint64_t aPacked)
  {
    return { aPacked >> 48U, aPacked & ((1ULL << 48U) - 1) };
  }
};

/// An object that was not activated, and why.
struct QuarantinedObject
{
  std::string mKey;
  std::uint64_t mRevision = 0;
  std::string mReason;
};

/// A complete, validated configuration; immutable once published.
struct ConfigSnapshot
{
  ConfigVersion mVersion;
  std::unordered_map<std::string, TeamConfig> mTeams;
  std::unordered_map<std::string, ModelConfig> mModels;
  std::unordered_map<std::string, TemplateConfig> mTemplates;
  std::vector<ParametersConfig> mParameters;
  std::unordered_map<std::string, EndpointConfig> mEndpoints;
  std::unordered_map<std::string, ServiceConfig> mServices;
  std::vector<QuarantinedObject> mQuarantined;

  /// Team with a key of this SHA-256 digest; null when there is none.
  const TeamConfig* TeamByKeyDigest(const std::string& aDigest) const;

  /// Index of the teams: key digest to team name.
  std::unordered_map<std::string, std::string> mTeamsByDigest;
};

/// Result of an update.
enum class MergeOutcome : std::uint8_t
{
  kApplied,
  kUnchanged, ///< the same content is active already
  kOlder,     ///< older than the active configuration, and not applied
};

/// Names of MergeOutcome.
inline constexpr EnumNames<MergeOutcome, 3> kMergeOutcomeNames{
  { "applied", "unchanged", "older" }
};

/// Holds the configuration objects and builds snapshots of them.
///
/// Two numbers tell how recent a configuration is. Its cursor is the platform
/// revision up to which it is complete; a response with a lower cursor is stale
/// and is not applied. Its version is the revision of its latest change and is
/// what processes exchange: the cursor advances with every write to the
/// platform, the version only with the configuration.
///
/// A full list replaces all objects if its cursor is newer. Changes are applied
/// object by object; an object never returns to a lower revision within its
/// epoch. An invalid object is quarantined, and its last valid form stays
/// active.
///
/// Thread safety: none; owned by the control thread. Snapshots may be read from
/// any thread.
class ConfigStore
{
public:
  ConfigStore();

  /// Applies a full list of objects as of a platform revision.
  MergeOutcome ApplyList(std::uint64_t aRevision,
                         const std::vector<RawObject>& aObjects);

  /// Applies changes that bring the configuration up to a platform revision.
  ///
  /// @pre  the changes continue from the active version without a gap
  MergeOutcome ApplyChanges(std::uint64_t aRevision,
                            const std::vector<RawObject>& aChanges);

  /// Applies a configuration from a peer: in full, as Serialize wrote it, or
  /// the changes since an older one, as RecentChanges wrote them.
  ///
  /// Changes are applied only if the result equals the peer's objects.
  /// @return kConflict when changes do not apply: request the full
  /// configuration
  Result<MergeOutcome> ApplyPeer(std::string_view aText,
                                 std::string_view aPeer);

  /// Serializes the active configuration for a peer.
  std::string Serialize() const;

  /// The active configuration; never null.
  std::shared_ptr<const ConfigSnapshot> Current() const { return mCurrent; }

  /// The latest changes, for peers that lack only these.
  const RecentChanges& Recent() const { return mRecent; }

  /// Version of the active configuration.
  ConfigVersion Version() const { return mCurrent->mVersion; }

  /// Platform revision up to which the configuration is complete.
  ConfigVersion Cursor() const { return mCursor; }

private:
  struct StoredObject
  {
    RawObject mReceived;  ///< latest form received
    RawObject mLastValid; ///< latest valid form; may have no value
    std::string mReason;  ///< why mReceived is not active; empty when it is
  };
  using Objects = std::map<std::string, StoredObject>;

  static void ApplyObject(Objects& aObjects, const RawObject& aObject);
  static std::uint64_t EpochOf(const Objects& aObjects);
  static bool HasSameContent(const Objects& aLeft, const Objects& aRight);
  void Publish();

  /// Adopts the version of a peer with the same objects. After a deletion no
  /// object holds its revision, so a process that listed later learns it only
  /// from a peer.
  bool AdoptPeerVersion(std::uint64_t aPeerRevision,
                        const std::vector<RawObject>& aObjects);

  static std::uint64_t Digest(const Objects& aObjects);
  void ResetRecent();
  void RecordChanges(const std::vector<RawObject>& aChanges);
  Result<MergeOutcome> ApplyPeerChanges(std::string_view aText,
                                        std::string_view aPeer);

  Objects mObjects;
  RecentChanges mRecent;
  ConfigVersion mCursor;
  std::uint64_t mNewestRevision = 0; ///< within the current epoch
  std::shared_ptr<const ConfigSnapshot> mCurrent;
};

} // namespace shuntjunction::state
